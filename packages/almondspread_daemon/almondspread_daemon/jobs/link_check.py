"""Tells a link that has fallen silent from a leader that does not answer.

A link may lose all that either side sends, without an error, while new links to the
same process work. It then does not show the end of that process either.
"""

import asyncio
from datetime import timedelta

from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from almondspread.clock import Clock
from almondspread_daemon.addresses import parse_destination
from almondspread_daemon.jobs.link_messages import AskLink, LeaderKnown
from almondspread_daemon.jobs.links import LeaderLink, Link

# A leader sends heartbeats more often than this.
SUSPICION_TIME = timedelta(milliseconds=450)
CHECK_TIMEOUT = timedelta(milliseconds=300)
# The heartbeat that a leader sends before its answer has arrived by then.
GRACE_TIME = timedelta(milliseconds=100)


class LinkCheck:
    """Checks the link of ``instance`` to a leader whose peer address is ``address``."""

    def __init__(
        self, leader: LeaderLink, address: str, instance: str, clock: Clock
    ) -> None:
        self._leader = leader
        self._address = address
        self._instance = instance
        self._clock = clock
        self._bytes_seen = 0

    async def find_silent(self) -> bool:
        """Tell whether to leave this link, since nothing will arrive on it any more.

        That is so if the leader answers on a new link and not on this one, or if its
        process has ended. A link on which any bytes arrive is not silent: they may be
        part of a large message. Call this at intervals, since it compares with the
        call before.
        """
        received = self._leader.link.bytes_received
        is_still = received == self._bytes_seen
        self._bytes_seen = received
        silence = self._clock.monotonic() - self._leader.last_heard
        if not is_still or silence < SUSPICION_TIME:
            return False
        if not await shows_its_state(self._address, self._instance):
            return False
        await self._clock.sleep(GRACE_TIME)
        return self._leader.link.bytes_received == received


async def shows_its_state(address: str, instance: str) -> bool:
    """Tell whether a leader answers on a new link, or has certainly ended.

    A leader that answers has sent ``instance`` a heartbeat on its own link before.
    """
    try:
        async with asyncio.timeout(CHECK_TIMEOUT.total_seconds()):
            host, port = parse_destination(address)
            link = Link(await TCPClient().connect(host, port))
            try:
                link.send(AskLink(instance))
                async for message in link.receive_messages():
                    return isinstance(message, LeaderKnown)
            finally:
                link.close()
    except (OSError, TimeoutError, StreamClosedError, ValueError) as error:
        return is_refusal(error)
    return False


def is_refusal(error: Exception) -> bool:
    """Return whether a connection failed because no process listens at the address.

    tornado raises the system's error in some cases, and in others names it as the cause
    for which the stream was closed.
    """
    if isinstance(error, StreamClosedError):
        return isinstance(error.real_error, ConnectionRefusedError)
    return isinstance(error, ConnectionRefusedError)
