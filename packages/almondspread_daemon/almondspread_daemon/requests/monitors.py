"""Standing monitors: one stream for the caller, resumed from minion to minion."""

import itertools
import random
from collections.abc import AsyncIterator, Callable
from datetime import timedelta
from typing import Any

from attrs import define
from expression import Error, Ok, Result

from almondspread.clock import Clock
from almondspread.errors import Problem
from almondspread.interfaces import MinionRequest
from almondspread.ownership import Member
from almondspread.requests import choose_backoff
from almondspread.requests.kinds import MONITOR
from almondspread_daemon.peers import CallContext
from almondspread_daemon.peers.messages import Accepted, Refused, refuse
from almondspread_daemon.peers.request_messages import (
    CloseMonitor,
    FetchLines,
    MonitorLines,
    MonitorOpened,
    OpenMonitor,
)
from almondspread_daemon.requests.minion_pools import MinionPools
from almondspread_daemon.requests.monitor_streams import MonitorStream
from almondspread_daemon.requests.refusals import (
    refuse_no_minion,
    refuse_unreached_minion,
)

FETCH_WAIT = timedelta(seconds=1)
FETCH_TIMEOUT = timedelta(seconds=3)
UNFETCHED_TIMEOUT = timedelta(seconds=10)
REOPEN_TIMEOUT = timedelta(seconds=30)
OPEN_TIMEOUT = timedelta(seconds=2)

CallPeer = Callable[[Member, Any, timedelta], Any]


@define(frozen=True)
class StreamHandle:
    """A leg here or at a peer, as its monitor fetches from it."""

    fetch: Callable[[], Any]
    close: Callable[[], None]


class Monitors:
    """Opens legs for the callers of this instance and for those of its peers."""

    def __init__(
        self,
        pools: MinionPools,
        order_owners: Callable[[str], list[Member | None]],
        call_peer: CallPeer,
        note_peer: Callable[[Member, Any], None],
        find_length: Callable[[str], timedelta],
        clock: Clock,
    ) -> None:
        self._pools = pools
        self._order_owners = order_owners
        self._call_peer = call_peer
        self._notify_peer = note_peer
        self._get_max_duration = find_length
        self._clock = clock
        self._random = random.Random()
        self._numbers = itertools.count(1)
        self._peer_streams: dict[int, tuple[MonitorStream, timedelta]] = {}

    def get_handlers(self) -> dict[type, Any]:
        """Return what serves each type of message."""
        return {
            OpenMonitor: self.handle_open,
            FetchLines: self.handle_fetch,
            CloseMonitor: self.handle_close,
        }

    async def follow(
        self, service: str, body: bytes, position: int, is_wanted: Callable[[], bool]
    ) -> AsyncIterator[Result[list[bytes], Problem]]:
        """Yield the lines after a position, from one minion after another.

        A leg that breaks is resumed at the last position that was yielded, and only
        once the earlier leg has ended. A problem is yielded where no first leg can be
        opened, or no further one for a while; the stream ends with it, or once it is
        wanted no more.
        """
        tries = 0
        give_up = self._clock.monotonic()
        while is_wanted():
            opened = await self._open_stream(service, body, position)
            if opened.is_error():
                if self._clock.monotonic() >= give_up:
                    yield Error(opened.error)
                    return
                await self._clock.sleep(choose_backoff(tries, self._random))
                tries += 1
                continue
            ended = False
            try:
                while is_wanted() and not ended:
                    lines, position, ended = await opened.ok.fetch(position)
                    if lines:
                        tries = 0
                    yield Ok(lines)
            finally:
                opened.ok.close()
            give_up = self._clock.monotonic() + REOPEN_TIMEOUT
            await self._clock.sleep(choose_backoff(tries, self._random))
            tries += 1

    async def _open_stream(
        self, service: str, body: bytes, position: int
    ) -> Result[StreamHandle, Problem]:
        """Open a leg at the first owner of minions that has room."""
        refused: Problem = refuse_no_minion(service)
        for owner in self._order_owners(service):
            if owner is None:
                leg = await self._open_local_stream(service, body, position)
                if leg.is_ok():
                    return Ok(_make_local_handle(leg.ok))
                refused = leg.error
                continue
            message = OpenMonitor(service, body, position)
            due = self._clock.monotonic() + OPEN_TIMEOUT
            asked = await self._call_peer(owner, message, due)
            if asked.is_ok():
                return Ok(self._make_peer_handle(owner, asked.ok.number))
            refused = asked.error
        return Error(refused)

    async def _open_local_stream(
        self, service: str, body: bytes, position: int
    ) -> Result[MonitorStream, Problem]:
        """Open a leg at an own minion."""
        length = self._get_max_duration(service)
        due = self._clock.monotonic() + length
        deadline = (self._clock.now() + length).timestamp()
        request = MinionRequest(service, MONITOR, body, "", deadline, "", position)
        leg = MonitorStream(position)
        opened = await self._pools.open_stream(request, due, leg)
        if opened is not None:
            return Error(opened)
        return Ok(leg)

    def _make_peer_handle(self, owner: Member, number: int) -> StreamHandle:
        """Return a peer's leg as one that can be fetched from."""

        async def fetch(position: int) -> tuple[list[bytes], int, bool]:
            due = self._clock.monotonic() + FETCH_TIMEOUT
            told = await self._call_peer(owner, FetchLines(number), due)
            if told.is_error():
                # What the lost reply held comes again on the next leg.
                return [], position, True
            return list(told.ok.lines), max(position, told.ok.position), told.ok.ended

        return StreamHandle(
            fetch, lambda: self._notify_peer(owner, CloseMonitor(number))
        )

    async def handle_open(
        self, message: OpenMonitor, _: CallContext
    ) -> MonitorOpened | Refused:
        """Open a leg for a peer."""
        self._cancel_unfetched()
        leg = await self._open_local_stream(
            message.service, message.body, message.position
        )
        if leg.is_error():
            return refuse(leg.error)
        number = next(self._numbers)
        self._peer_streams[number] = (leg.ok, self._clock.monotonic())
        return MonitorOpened(number)

    async def handle_fetch(
        self, message: FetchLines, _: CallContext
    ) -> MonitorLines | Refused:
        """Give a peer the lines of its leg."""
        found = self._peer_streams.get(message.number)
        if found is None:
            return refuse(refuse_unreached_minion("", "the monitor was closed"))
        leg, _since = found
        self._peer_streams[message.number] = (leg, self._clock.monotonic())
        lines, ended = await leg.fetch(FETCH_WAIT)
        if ended:
            self._peer_streams.pop(message.number, None)
        return MonitorLines(tuple(lines), leg.position, ended)

    async def handle_close(self, message: CloseMonitor, _: CallContext) -> Accepted:
        """Close a leg that a peer wants no more."""
        found = self._peer_streams.pop(message.number, None)
        if found is not None:
            found[0].cancel()
        return Accepted()

    def _cancel_unfetched(self) -> None:
        """Cut the legs whose peers have gone."""
        now = self._clock.monotonic()
        for number, (leg, since) in list(self._peer_streams.items()):
            if now - since > UNFETCHED_TIMEOUT:
                leg.cancel()
                del self._peer_streams[number]

    async def run(self) -> None:
        """Cut legs that nobody fetches from, until cancelled."""
        while True:
            self._cancel_unfetched()
            await self._clock.sleep(FETCH_WAIT)


def _make_local_handle(leg: MonitorStream) -> StreamHandle:
    """Return an own leg as one that can be fetched from."""

    async def fetch(position: int) -> tuple[list[bytes], int, bool]:
        lines, ended = await leg.fetch(FETCH_WAIT)
        return lines, max(position, leg.position), ended

    return StreamHandle(fetch, leg.cancel)
