"""The curl clients of a caller, so that single addresses get new connections."""

from collections.abc import Callable
from datetime import timedelta

from attrs import define, field
from tornado.curl_httpclient import CurlAsyncHTTPClient

from almondspread.clock import Clock

OpenClient = Callable[[], CurlAsyncHTTPClient]

# New clients are opened no more often than this, whatever the callees do.
MIN_OPEN_INTERVAL = timedelta(milliseconds=500)
# Beyond this number the oldest client goes, and its addresses move to the next one.
MAX_CLIENTS = 4
# Each client remembers so many addresses that have answered.
MAX_ANSWERED = 4_096


@define(eq=False)
class ClientUse:
    """A client, its calls under way, and the addresses that have answered through it.

    Only an address that has answered can have left an idle connection.
    """

    client: CurlAsyncHTTPClient
    open_calls: int = 0
    answered: set[str] = field(factory=set)


class ClientSet:
    """Chooses the client, and with it the connections, of each call to an address.

    Every client has connections of its own. All addresses begin with the same client.
    An address whose connections are given up moves to a newer client, where it has none
    yet; the others keep theirs. A client that no address uses any more is closed after
    its last call. Without ``open_client`` there is one client, and nothing moves.
    """

    def __init__(
        self,
        client: CurlAsyncHTTPClient,
        open_client: OpenClient | None,
        clock: Clock,
    ) -> None:
        self._open_client = open_client
        self._clock = clock
        self._opened_at = timedelta.min
        # From the oldest to the newest. Addresses that have not moved use the oldest.
        self._uses = [ClientUse(client)]
        self._moved: dict[str, ClientUse] = {}
        self._closing: list[ClientUse] = []

    def find(self, address: str) -> ClientUse:
        """Return the client that an address uses now."""
        return self._moved.get(address, self._uses[0])

    def begin_call(self, address: str) -> ClientUse:
        """Return the client for a call to an address; ``end_call`` has to follow."""
        use = self.find(address)
        use.open_calls += 1
        return use

    def end_call(self, use: ClientUse) -> None:
        """Note the end of a call; close its client if that was the last one there."""
        use.open_calls -= 1
        self._close_unused()

    def record_answer(self, address: str, use: ClientUse) -> None:
        """Note that an address has answered a call through a client."""
        if self._open_client is None or use is not self.find(address):
            return
        if len(use.answered) >= MAX_ANSWERED:
            use.answered.clear()
        use.answered.add(address)

    def give_up_connections(self, address: str, use: ClientUse) -> bool:
        """Have later calls to an address use new connections, after a lost answer.

        ``use`` is the client of the call without an answer. The result is false where
        later calls find no older connection anyway: the address has moved since, or has
        not answered through this client yet. It is false, too, if clients were opened
        too recently.
        """
        if use is not self.find(address) or address not in use.answered:
            return False
        target = self._uses[-1]
        if target is use:
            opened = self._open_next()
            if opened is None:
                return False
            target = opened
        use.answered.discard(address)
        self._moved[address] = target
        while len(self._uses) > MAX_CLIENTS or self._is_oldest_unused():
            self._drop_oldest()
        self._close_unused()
        return True

    def _open_next(self) -> ClientUse | None:
        """Open a further client, unless one was opened a moment ago."""
        now = self._clock.monotonic()
        if self._open_client is None or now < self._opened_at + MIN_OPEN_INTERVAL:
            return None
        self._opened_at = now
        self._uses.append(ClientUse(self._open_client()))
        return self._uses[-1]

    def _is_oldest_unused(self) -> bool:
        """Tell whether no address has an idle connection of the oldest client."""
        return len(self._uses) > 1 and not self._uses[0].answered

    def _drop_oldest(self) -> None:
        """Take the oldest client out of use; its addresses go on with the next one."""
        self._closing.append(self._uses.pop(0))
        oldest = self._uses[0]
        for address in [each for each, use in self._moved.items() if use is oldest]:
            del self._moved[address]

    def _close_unused(self) -> None:
        """Close the clients that are out of use and have no call under way."""
        for use in [each for each in self._closing if not each.open_calls]:
            self._closing.remove(use)
            use.client.close()
