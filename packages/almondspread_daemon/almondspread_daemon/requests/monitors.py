"""Monitors: one long-lived stream to a caller, fed by one minion after another.

Where another instance owns the minion, this instance fetches the lines from that one.
"""

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
from almondspread_daemon.requests.minion_calls import MinionCalls
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
    """Access to a minion's stream that this instance or a peer holds.

    ``fetch`` takes the position of the latest line, and returns the further lines, the
    new position, and whether the stream has ended.
    """

    fetch: Callable[[], Any]
    close: Callable[[], None]


class Monitors:
    """Follows monitors for callers of this instance, and opens streams for peers.

    ``order_owners`` lists the instances that own minions of a service, the best first,
    with ``None`` for this instance. ``get_max_duration`` returns how long a stream of a
    service may stay open.
    """

    def __init__(
        self,
        calls: MinionCalls,
        order_owners: Callable[[str], list[Member | None]],
        call_peer: CallPeer,
        notify_peer: Callable[[Member, Any], None],
        get_max_duration: Callable[[str], timedelta],
        clock: Clock,
    ) -> None:
        self._calls = calls
        self._order_owners = order_owners
        self._call_peer = call_peer
        self._notify_peer = notify_peer
        self._get_max_duration = get_max_duration
        self._clock = clock
        self._random = random.Random()
        self._numbers = itertools.count(1)
        self._peer_streams: dict[int, tuple[MonitorStream, timedelta]] = {}

    def get_handlers(self) -> dict[type, Any]:
        """Return the handler of each type of message."""
        return {
            OpenMonitor: self.handle_open,
            FetchLines: self.handle_fetch,
            CloseMonitor: self.handle_close,
        }

    async def follow(
        self, service: str, body: bytes, position: int, is_wanted: Callable[[], bool]
    ) -> AsyncIterator[Result[list[bytes], Problem]]:
        """Yield the lines after a position, from one minion after another.

        When a minion's stream breaks, the next one is opened at the last position that
        was yielded, and only after the earlier stream has ended. If no first stream
        can be opened, or no further one for ``REOPEN_TIMEOUT``, a problem is yielded
        last. The generator also ends once ``is_wanted`` returns false.
        """
        attempts = 0
        give_up_at = self._clock.monotonic()
        while is_wanted():
            opened = await self._open_stream(service, body, position)
            if opened.is_error():
                if self._clock.monotonic() >= give_up_at:
                    yield Error(opened.error)
                    return
                await self._clock.sleep(choose_backoff(attempts, self._random))
                attempts += 1
                continue
            ended = False
            try:
                while is_wanted() and not ended:
                    lines, position, ended = await opened.ok.fetch(position)
                    if lines:
                        attempts = 0
                    yield Ok(lines)
            finally:
                opened.ok.close()
            give_up_at = self._clock.monotonic() + REOPEN_TIMEOUT
            await self._clock.sleep(choose_backoff(attempts, self._random))
            attempts += 1

    async def _open_stream(
        self, service: str, body: bytes, position: int
    ) -> Result[StreamHandle, Problem]:
        """Open a stream at the first owner of minions that has a free slot."""
        refused: Problem = refuse_no_minion(service)
        for owner in self._order_owners(service):
            if owner is None:
                stream = await self._open_local_stream(service, body, position)
                if stream.is_ok():
                    return Ok(_make_local_handle(stream.ok))
                refused = stream.error
                continue
            message = OpenMonitor(service, body, position)
            due = self._clock.monotonic() + OPEN_TIMEOUT
            opened = await self._call_peer(owner, message, due)
            if opened.is_ok():
                return Ok(self._make_peer_handle(owner, opened.ok.number))
            refused = opened.error
        return Error(refused)

    async def _open_local_stream(
        self, service: str, body: bytes, position: int
    ) -> Result[MonitorStream, Problem]:
        """Open a stream at a minion that this instance owns."""
        max_duration = self._get_max_duration(service)
        due = self._clock.monotonic() + max_duration
        deadline = (self._clock.now() + max_duration).timestamp()
        request = MinionRequest(service, MONITOR, body, "", deadline, "", position)
        stream = MonitorStream(position)
        problem = await self._calls.open_stream(request, due, stream)
        if problem is not None:
            return Error(problem)
        return Ok(stream)

    def _make_peer_handle(self, owner: Member, number: int) -> StreamHandle:
        """Return access to a stream that a peer holds under a number."""

        async def fetch(position: int) -> tuple[list[bytes], int, bool]:
            due = self._clock.monotonic() + FETCH_TIMEOUT
            reply = await self._call_peer(owner, FetchLines(number), due)
            if reply.is_error():
                # The next stream starts at ``position``, so that it repeats the lines
                # of a lost reply.
                return [], position, True
            return (
                list(reply.ok.lines),
                max(position, reply.ok.position),
                reply.ok.ended,
            )

        return StreamHandle(
            fetch, lambda: self._notify_peer(owner, CloseMonitor(number))
        )

    async def handle_open(
        self, message: OpenMonitor, _: CallContext
    ) -> MonitorOpened | Refused:
        """Open a stream for a peer."""
        self._cancel_unfetched()
        stream = await self._open_local_stream(
            message.service, message.body, message.position
        )
        if stream.is_error():
            return refuse(stream.error)
        number = next(self._numbers)
        self._peer_streams[number] = (stream.ok, self._clock.monotonic())
        return MonitorOpened(number)

    async def handle_fetch(
        self, message: FetchLines, _: CallContext
    ) -> MonitorLines | Refused:
        """Return the buffered lines of a stream to the peer that opened it."""
        found = self._peer_streams.get(message.number)
        if found is None:
            return refuse(refuse_unreached_minion("", "the monitor was closed"))
        stream, _fetched_at = found
        self._peer_streams[message.number] = (stream, self._clock.monotonic())
        lines, ended = await stream.fetch(FETCH_WAIT)
        if ended:
            self._peer_streams.pop(message.number, None)
        return MonitorLines(tuple(lines), stream.position, ended)

    async def handle_close(self, message: CloseMonitor, _: CallContext) -> Accepted:
        """Cancel a stream that a peer needs no more."""
        found = self._peer_streams.pop(message.number, None)
        if found is not None:
            found[0].cancel()
        return Accepted()

    def _cancel_unfetched(self) -> None:
        """Cancel the streams that no peer fetched from within ``UNFETCHED_TIMEOUT``."""
        now = self._clock.monotonic()
        for number, (stream, fetched_at) in list(self._peer_streams.items()):
            if now - fetched_at > UNFETCHED_TIMEOUT:
                stream.cancel()
                del self._peer_streams[number]

    async def run(self) -> None:
        """Cancel streams that no peer fetches from, until cancelled itself."""
        while True:
            self._cancel_unfetched()
            await self._clock.sleep(FETCH_WAIT)


def _make_local_handle(stream: MonitorStream) -> StreamHandle:
    """Return access to a stream that this instance holds."""

    async def fetch(position: int) -> tuple[list[bytes], int, bool]:
        lines, ended = await stream.fetch(FETCH_WAIT)
        return lines, max(position, stream.position), ended

    return StreamHandle(fetch, stream.cancel)
