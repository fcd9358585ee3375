"""The dispatch of one keyed request: slot first, then journal, then send.

Nothing is sent unless the dispatch is journalled, and nothing is journalled unless a
slot is free. Where the journal is slow, the slot is given back meanwhile, so that
lookups have it. A request that is given up before it was sent is refused as not run,
and its dispatch is taken back in the journal.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

from attrs import define, evolve
from expression import Error, Result

from almondspread.clock import Clock
from almondspread.errors import Problem
from almondspread.interfaces import MinionAnswer, MinionRequest
from almondspread.requests import Dispatched, choose_backoff
from almondspread.requests.events import KeyEvent, NotSent
from almondspread_daemon.requests.refusals import (
    refuse_during_handover,
    refuse_past_deadline,
    refuse_unjournalled,
)

MAX_SLOT_HOLD_TIME = timedelta(seconds=2)

SendInSlot = Callable[
    [str, MinionRequest, timedelta], Awaitable[Result[MinionAnswer, Problem]]
]


@define(frozen=True)
class HeldSlot:
    """A slot of some minion, here or at a peer, set aside for one request.

    ``send`` takes the key's shard, the request and its due time; ``drop`` returns the
    slot unused.
    """

    send: SendInSlot
    release: Callable[[], None]


AcquireSlot = Callable[[str, str, timedelta], Awaitable[Result[HeldSlot, Problem]]]


class Dispatch:
    """One keyed request on its way to a minion.

    ``withdrawn`` tells, once the request was given up after its dispatch may have been
    journalled, whether that was taken back.
    """

    def __init__(
        self,
        take_slot: AcquireSlot,
        commit: Callable[[KeyEvent], asyncio.Future[bool]],
        stopping: asyncio.Event,
        clock: Clock,
    ) -> None:
        self.withdrawal: asyncio.Future[bool] | None = None
        self._acquire_slot = take_slot
        self._commit = commit
        self._stopping = stopping
        self._clock = clock
        self._commit_result: asyncio.Future[bool] | None = None
        self._random = random.Random()

    async def run(
        self,
        shard: str,
        event: Dispatched,
        request: MinionRequest,
        due: timedelta,
        detach: Callable[[], None],
    ) -> Result[MinionAnswer, Problem]:
        """Run the request once; ``detach`` is called before it is first sent."""
        tries = 0
        while True:
            taken = await self._wait_for_slot(request, due)
            if taken.is_error():
                return Error(self._withdraw(event, taken.error))
            refused = await self._journal_dispatch(event, taken.ok, due)
            if refused is not None:
                taken.ok.release()
                return Error(refused)
            if not self._is_journalled:
                # The slot was given back while the journal is slow.
                await self._wait(self._commit_result, due)
                continue
            detach()
            sent = await taken.ok.send(shard, request, due)
            if sent.is_ok() or sent.error.not_run is not True:
                return sent
            pause = choose_backoff(tries, self._random)
            tries += 1
            if self._clock.monotonic() + pause >= due or self._stopping.is_set():
                return Error(self._withdraw(event, sent.error))
            await self._clock.sleep(pause)

    @property
    def _is_journalled(self) -> bool:
        """Whether the dispatch is known to be committed."""
        committed = self._commit_result
        return committed is not None and committed.done() and committed.result()

    async def _wait_for_slot(
        self, request: MinionRequest, due: timedelta
    ) -> Result[HeldSlot, Problem]:
        """Take a slot, unless the shard is handed over first."""
        if self._stopping.is_set():
            return Error(refuse_during_handover())
        taking = asyncio.ensure_future(
            self._acquire_slot(request.service, request.kind, due)
        )
        await self._wait(taking, due)
        if taking.done():
            return taking.result()
        taking.add_done_callback(_release_late_slot)
        if self._stopping.is_set():
            return Error(refuse_during_handover())
        return Error(refuse_past_deadline(request.service))

    async def _journal_dispatch(
        self, event: Dispatched, slot: HeldSlot, due: timedelta
    ) -> Problem | None:
        """Have the dispatch committed while the slot is held, for a while."""
        if self._commit_result is None:
            self._commit_result = self._commit(event)
        hold = min(due, self._clock.monotonic() + MAX_SLOT_HOLD_TIME)
        await self._wait(self._commit_result, hold)
        if self._commit_result.done() and not self._commit_result.result():
            return refuse_unjournalled()
        if self._stopping.is_set():
            return self._withdraw(event, refuse_during_handover())
        if self._clock.monotonic() >= due:
            return self._withdraw(event, refuse_unjournalled())
        if not self._commit_result.done():
            slot.release()
        return None

    async def _wait(self, future: Any, until: timedelta) -> None:
        """Wait until a future is done, the shard is handed over, or a time."""
        if future.done():
            return
        stopped = asyncio.ensure_future(self._stopping.wait())
        left = until - self._clock.monotonic()
        try:
            await asyncio.wait(
                [future, stopped],
                timeout=max(0.0, left.total_seconds()),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            stopped.cancel()

    def _withdraw(self, event: Dispatched, problem: Problem) -> Problem:
        """Take the dispatch back: nothing was sent and nothing will be."""
        if self._commit_result is None:
            return problem
        known = self._is_journalled
        self.withdrawal = self._commit(NotSent(event.service, event.key))
        # Only a commit under this epoch proves that no other owner ran the key.
        return evolve(problem, earlier_not_run=True if known else None)


def _release_late_slot(taking: asyncio.Future[Result[HeldSlot, Problem]]) -> None:
    """Return a slot that came when it was no longer wanted."""
    if taking.cancelled() or taking.exception() is not None:
        return
    if taking.result().is_ok():
        taking.result().ok.release()
