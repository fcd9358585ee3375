"""Finds the leader through other instances, while the store does not tell it.

The instance that is asked also sends the operators' rows that this instance lacks.
"""

import asyncio
import random
from collections.abc import Callable
from datetime import timedelta

from loguru import logger
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from almondspread.clock import Clock
from almondspread.jobs.leases import LeaderRow
from almondspread_daemon.addresses import parse_destination
from almondspread_daemon.jobs.link_messages import (
    AskLeader,
    AskOperatorRows,
    LeaderKnown,
    OperatorRowsSent,
)
from almondspread_daemon.jobs.links import Link

# Between instances of a region, one exchange of messages takes a few milliseconds.
INQUIRY_TIMEOUT = timedelta(milliseconds=400)
INQUIRY_INTERVAL = timedelta(milliseconds=300)
# Besides those of the settings, so many addresses are remembered.
MAX_REMEMBERED = 16
# So many instances are asked at once.
INQUIRIES_AT_ONCE = 6


class LeaderInquiry:
    """Asks other instances which of them leads.

    ``contacts`` are the peer addresses that the settings name; they may be out of date,
    and the store may turn all of them away. ``make_request`` returns the request for
    newer rows, and ``take_rows`` takes them.
    """

    def __init__(
        self,
        own_address: str,
        contacts: tuple[str, ...],
        clock: Clock,
        random_source: random.Random,
        make_request: Callable[[], AskOperatorRows],
        take_rows: Callable[[OperatorRowsSent, str], None],
    ) -> None:
        self._own_address = own_address
        self._contacts = contacts
        self._clock = clock
        self._random = random_source
        self._asked_at = timedelta.min
        self._remembered: dict[str, None] = {}
        self._make_request = make_request
        self._take_rows = take_rows

    @property
    def addresses(self) -> list[str]:
        """The addresses of all instances that may be asked."""
        return list(dict.fromkeys((*self._contacts, *self._remembered)))

    def remember(self, address: str) -> None:
        """Ask the instance at an address as well, rather than one named long ago."""
        if address in ("", self._own_address):
            return
        self._remembered.pop(address, None)
        self._remembered[address] = None
        if len(self._remembered) > MAX_REMEMBERED:
            del self._remembered[next(iter(self._remembered))]

    async def find_leader(self) -> LeaderRow | None:
        """Return the row of the newest leader that some other instances know.

        They are asked no more often than once per ``INQUIRY_INTERVAL``; in between, the
        result is ``None``.
        """
        now = self._clock.monotonic()
        if now < self._asked_at + INQUIRY_INTERVAL:
            return None
        self._asked_at = now
        addresses = self.addresses
        if len(addresses) > INQUIRIES_AT_ONCE:
            addresses = self._random.sample(addresses, INQUIRIES_AT_ONCE)
        rows = await asyncio.gather(*(self._ask(address) for address in addresses))
        known = [row for row in rows if row is not None]
        return max(known, key=lambda row: (row.epoch, row.renewal), default=None)

    async def _ask(self, address: str) -> LeaderRow | None:
        """Ask one instance, ``None`` if it does not answer or knows no leader."""
        try:
            async with asyncio.timeout(INQUIRY_TIMEOUT.total_seconds()):
                host, port = parse_destination(address)
                link = Link(await TCPClient().connect(host, port))
                try:
                    return await self._exchange(link, address)
                finally:
                    link.close()
        except (OSError, TimeoutError, StreamClosedError, ValueError) as error:
            logger.info("no answer about the leader", peer=address, reason=str(error))
            return None

    async def _exchange(self, link: Link, address: str) -> LeaderRow | None:
        """Ask on an open link; the rows come before the leader."""
        link.send(self._make_request())
        link.send(AskLeader())
        async for message in link.receive_messages():
            if isinstance(message, OperatorRowsSent):
                self._take_rows(message, address)
            if isinstance(message, LeaderKnown):
                return message.row
        return None
