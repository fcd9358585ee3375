"""The check that tasks that last run at all times, as the rule LOST asks."""

import asyncio
import math
import random
from datetime import UTC, datetime

from attrs import define, field
from loguru import logger

from almondspread.jobs.submissions import TaskId
from almondspread.resources.capacity import Capacity
from almondspread_adapter.run_lists import format_task_id
from almondspread_standin.soak.calm import (
    Disturbance,
    compute_deadline,
    find_calm_start,
)
from almondspread_standin.soak.clients import EXTRA_QUEUE, JobClients
from almondspread_standin.soak.pool import UpstreamPool
from almondspread_standin.soak.run_counts import RunCounts

WATCH_INTERVAL_SECONDS = 0.05
# The rule asks for a run only where a task has room twice over.
ROOM_FACTOR = 2
# After the last fault, all tasks that last must be at work at this time.
LASTING_SECONDS = 20.0
FINISH_POLL_SECONDS = 0.5


@define(eq=False)
class LastingWatch:
    """Looks at all accepted tasks that last, and records those that are lost.

    A lost task is recorded once for each time that it has no run. The rule counts from
    the last run; ``late_starts`` has the tasks that have not run yet and would be lost
    if it counted from the acknowledgement of their job.
    """

    clients: JobClients
    pool: UpstreamPool
    run_counts: RunCounts
    disturbances: list[Disturbance]
    rng: random.Random
    late_starts: set[TaskId] = field(factory=set)
    _room_since: dict[Capacity, float] = field(factory=dict)
    _recorded: dict[TaskId, float] = field(factory=dict)

    async def run(self) -> None:
        """Look at the tasks again and again until cancelled."""
        while True:
            self.pool.advance_all()
            self.check(asyncio.get_running_loop().time())
            await asyncio.sleep(WATCH_INTERVAL_SECONDS)

    def check(self, now: float) -> None:
        """Record the tasks that are lost now."""
        calm_since = find_calm_start(self.disturbances)
        jobs = self.clients.list_watched()
        self._note_room(jobs, now)
        for job in jobs:
            for task in self.clients.list_absent_tasks(job):
                last_end = self._find_last_end(task)
                room_since = self._room_since[self.clients.history.find_claim(task)]
                deadline = compute_deadline(last_end, calm_since, room_since)
                if now < deadline or self._recorded.get(task) == last_end:
                    continue
                if self.clients.is_given_up(job):
                    break
                self._recorded[task] = last_end
                self._record(task, now, calm_since, room_since)

    def _find_last_end(self, task: TaskId) -> float:
        """Return the end of a task's last run, or when its job was acknowledged."""
        accepted_at = self.clients.accepted_at[task.job]
        return max(self.run_counts.changed_at.get(task, accepted_at), accepted_at)

    def _note_room(self, jobs: list[str], now: float) -> None:
        """Note since when there is room for a task of each size twice over."""
        for job in jobs:
            for step in self.clients.history.submissions[job].steps:
                self._room_since.setdefault(step.claim, math.inf)
        for claim, since in self._room_since.items():
            has_room = self.pool.count_room(claim) >= ROOM_FACTOR
            self._room_since[claim] = min(since, now) if has_room else math.inf

    def _record(
        self, task: TaskId, now: float, calm_since: float, room_since: float
    ) -> None:
        """Record a task that is lost, with a time that leads to lines of processes."""
        absent = now - self._find_last_end(task)
        text = (
            f"lasting: nothing of {format_task_id(task)} for {absent:.2f} s,"
            f" calm for {now - calm_since:.2f} s,"
            f" room for {min(now - room_since, absent):.2f} s"
        )
        if task not in self.run_counts.changed_at:
            logger.info(f"late start: {text}")
            self.late_starts.add(task)
            return
        logger.info(f"LOST: {text}")
        moment = datetime.now(UTC).time()
        self.clients.record_violation(f"LOST: {text}, at {moment} UTC")

    async def check_finally(self) -> None:
        """Check that all tasks that last are at work, and cancel their jobs."""
        clients = self.clients
        deadline = asyncio.get_running_loop().time() + LASTING_SECONDS
        pending = []
        for job in clients.list_lasting():
            if not clients.may_be_cancelled(job):
                pending.append(job)
        while pending and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(FINISH_POLL_SECONDS)
            pending = [job for job in pending if clients.list_absent(job)]
            # Such a job may be given up as late as now.
            pending = [job for job in pending if not clients.is_given_up(job)]
        for job in pending:
            absent = ", ".join(clients.list_absent(job))
            clients.record_violation(f"lasting tasks are not at work: {absent}")
        for job in clients.list_lasting():
            if clients.history.submissions[job].queue != EXTRA_QUEUE:
                await self._cancel_until_acknowledged(job)

    async def _cancel_until_acknowledged(self, job: str) -> None:
        """Cancel a job, in several attempts if some are refused."""
        clients = self.clients
        deadline = asyncio.get_running_loop().time() + LASTING_SECONDS
        while job not in clients.history.cancelled:
            if asyncio.get_running_loop().time() > deadline:
                clients.record_violation(f"{job} cannot be cancelled")
                return
            await clients.cancel(job)
            await asyncio.sleep(self.rng.uniform(0.0, 0.1))
