"""The dispatch of one keyed request: slot first, then journal, then send.

A request is sent only after its dispatch is journalled, and a dispatch is journalled
only after a slot was acquired. While the journal is slow, the slot is released, so that
lookups can use it. A request that is abandoned before it was sent is refused as not
run, and a withdrawal of its dispatch is journalled.
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
    """A slot of some minion, here or at a peer, reserved for one request.

    ``send`` takes the key's shard, the request and its deadline in monotonic time;
    ``release`` returns the slot unused.
    """

    send: SendInSlot
    release: Callable[[], None]


AcquireSlot = Callable[[str, str, timedelta], Awaitable[Result[HeldSlot, Problem]]]


class Dispatch:
    """Dispatches one keyed request to a minion.

    ``withdrawal`` stays ``None`` unless the request was abandoned after its dispatch
    may have been journalled. The future resolves to whether the withdrawal was
    journalled.
    """

    def __init__(
        self,
        acquire_slot: AcquireSlot,
        commit: Callable[[KeyEvent], asyncio.Future[bool]],
        stopping: asyncio.Event,
        clock: Clock,
    ) -> None:
        self.withdrawal: asyncio.Future[bool] | None = None
        self._acquire_slot = acquire_slot
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
        allow_handover: Callable[[], None],
    ) -> Result[MinionAnswer, Problem]:
        """Run the request at most once, and return the answer of its minion.

        ``due`` is the deadline in monotonic time. ``allow_handover`` is called before
        each send: once the request is sent, a handover need not wait for it. The
        request is sent again only where the error proves that no minion ran it.
        """
        attempts = 0
        while True:
            taken = await self._wait_for_slot(request, due)
            if taken.is_error():
                return Error(self._withdraw(event, taken.error))
            refused = await self._journal_dispatch(event, taken.ok, due)
            if refused is not None:
                taken.ok.release()
                return Error(refused)
            if not self._is_journalled:
                # The slot was released because the journal is slow.
                await self._wait(self._commit_result, due)
                continue
            allow_handover()
            sent = await taken.ok.send(shard, request, due)
            if sent.is_ok() or sent.error.not_run is not True:
                return sent
            pause = choose_backoff(attempts, self._random)
            attempts += 1
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
        """Acquire a slot, unless a handover starts or ``due`` passes first."""
        if self._stopping.is_set():
            return Error(refuse_during_handover())
        acquiring = asyncio.ensure_future(
            self._acquire_slot(request.service, request.kind, due)
        )
        await self._wait(acquiring, due)
        if acquiring.done():
            return acquiring.result()
        acquiring.add_done_callback(_release_late_slot)
        if self._stopping.is_set():
            return Error(refuse_during_handover())
        return Error(refuse_past_deadline(request.service))

    async def _journal_dispatch(
        self, event: Dispatched, slot: HeldSlot, due: timedelta
    ) -> Problem | None:
        """Commit the dispatch, and hold the slot for at most ``MAX_SLOT_HOLD_TIME``.

        Returns the problem if the request must be refused. Otherwise the dispatch is
        either committed, or its commit still goes on and the slot is released.
        """
        if self._commit_result is None:
            self._commit_result = self._commit(event)
        hold_until = min(due, self._clock.monotonic() + MAX_SLOT_HOLD_TIME)
        await self._wait(self._commit_result, hold_until)
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
        """Wait until a future is done, a handover starts, or a monotonic time."""
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
        """Queue a withdrawal of the dispatch, and return the refusal.

        Called only where no minion has run the request and none will.
        """
        if self._commit_result is None:
            return problem
        is_journalled = self._is_journalled
        self.withdrawal = self._commit(NotSent(event.service, event.key))
        # Only a commit under this epoch proves that no other owner ran the key.
        return evolve(problem, earlier_not_run=True if is_journalled else None)


def _release_late_slot(acquiring: asyncio.Future[Result[HeldSlot, Problem]]) -> None:
    """Release a slot that was acquired after its request was refused."""
    if acquiring.cancelled() or acquiring.exception() is not None:
        return
    if acquiring.result().is_ok():
        acquiring.result().ok.release()
