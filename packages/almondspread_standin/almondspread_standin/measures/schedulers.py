"""The real decision code and the first-fit baseline behind one set of questions."""

from collections.abc import Iterator
from datetime import datetime, timedelta
from typing import Protocol

from attrs import define

from almondspread.placement import Cell
from almondspread.resources.capacity import Capacity
from almondspread.scheduling.policies.estimates import UsageEstimator
from almondspread.scheduling.policies.ordering import WaitingQueue, WaitingWorkload
from almondspread.scheduling.policies.pending_preemptions import Preemption
from almondspread.scheduling.policies.quotas import TeamQuotas
from almondspread.scheduling.policies.running import SERVICE, RunningTask
from almondspread.scheduling.policies.scheduling_pass import (
    Eviction,
    PassState,
    Placement,
    schedule_waiting,
)
from almondspread_standin.measures.days import DayJob, DayPlan


@define(frozen=True)
class Start:
    """A task starts on a worker."""

    job: DayJob
    task: str
    worker: str


@define(frozen=True)
class Stop:
    """A running task is asked to stop."""

    task: str


Step = Start | Stop


class DayScheduler(Protocol):
    """What the replay of a day asks of a scheduler."""

    def submit(self, job: DayJob, tasks: list[str]) -> None:
        """Take in tasks that wait from now on."""

    def decide(self, now: datetime) -> Iterator[Step]:
        """Yield what happens now."""

    def end(self, start: Start, finished: bool, now: datetime, index: int) -> None:
        """Note that a task has ended, or was stopped before its end."""


def fill_cell(plan: DayPlan) -> tuple[Cell, Capacity]:
    """Return the operator's cell, a rack in each failure domain, and its capacity."""
    cell = Cell()
    total = Capacity(0, 0)
    for domain in plan.failure_domains:
        for number in range(plan.workers_per_rack):
            cell.add_worker(f"{domain}-{number}", domain, "rack", plan.worker)
            total = total.plus(plan.worker)
    return cell, total


class PolicyScheduler:
    """The real passes, with estimates learnt during the day."""

    def __init__(self, plan: DayPlan) -> None:
        self.cell, total = fill_cell(plan)
        ledger = TeamQuotas(total)
        for number in range(plan.teams):
            ledger.set_team(f"team-{number}", total, 1.0)
        self.state = PassState(
            self.cell,
            ledger,
            WaitingQueue(),
            plan.policy,
            estimate_max_run_time=self._estimate_longest,
        )
        self.book = UsageEstimator()
        self._jobs: dict[str, DayJob] = {}
        self._starts: dict[str, datetime] = {}

    def _estimate_longest(self, workload: WaitingWorkload) -> timedelta | None:
        """Return a run time that few tasks of a job exceed."""
        job = self._jobs[workload.name]
        if job.kind == SERVICE:
            return None
        return self.book.estimate_run_time(
            job.family, workload.team, job.declared_run
        ).upper

    def submit(self, job: DayJob, tasks: list[str]) -> None:
        """Put tasks in the queue."""
        self._jobs[job.workload.name] = job
        self.state.queue.add(job.workload, tasks)

    def decide(self, now: datetime) -> Iterator[Step]:
        """Yield the starts and preemptions of one pass."""
        for decision in schedule_waiting(self.state, now):
            if isinstance(decision, Preemption):
                for victim in decision.victims.tasks:
                    yield Stop(victim)
            if isinstance(decision, Eviction):
                for borrower in decision.tasks:
                    yield Stop(borrower)
            if not isinstance(decision, tuple):
                continue
            for placement in decision:
                yield self._start(placement, now)

    def _start(self, placement: Placement, now: datetime) -> Start:
        """Note a placed task as running."""
        job = self._jobs[placement.workload]
        self._starts[placement.task] = now
        estimate = self.book.estimate_run_time(
            job.family, job.workload.team, job.declared_run
        )
        self.state.running.add(
            RunningTask(
                placement.task,
                placement.workload,
                placement.worker,
                placement.size,
                job.workload.priority,
                job.kind,
                now,
                job.workload.checkpointable,
                None if job.kind == SERVICE else now + estimate.expected,
            )
        )
        return Start(job, placement.task, placement.worker)

    def end(self, start: Start, finished: bool, now: datetime, index: int) -> None:
        """Release a task, and learn from it when it finished."""
        workload = start.job.workload
        self.cell.release(start.worker, workload.name, workload.size)
        self.state.quotas.release(workload.team, workload.size)
        self.state.running.remove(start.task)
        began = self._starts.pop(start.task)
        if not finished:
            return
        self.book.record_finished(
            start.job.family,
            workload.team,
            start.job.declared_run,
            now - began,
            workload.size.memory_mib,
            start.job.peaks_mib[index],
        )


class FirstFitScheduler:
    """First come, first served, each task on the first worker that fits.

    With ``skips`` a workload that does not fit lets later ones pass; without, all
    wait for the first.
    """

    def __init__(self, plan: DayPlan, skips: bool) -> None:
        self.cell, _ = fill_cell(plan)
        self._skips = skips
        self._waiting: dict[str, tuple[DayJob, dict[str, None]]] = {}

    def submit(self, job: DayJob, tasks: list[str]) -> None:
        """Append tasks to the queue."""
        _, waiting = self._waiting.setdefault(job.workload.name, (job, {}))
        waiting.update(dict.fromkeys(tasks))

    def decide(self, now: datetime) -> Iterator[Step]:
        """Yield the starts in the order of arrival."""
        for name, (job, waiting) in list(self._waiting.items()):
            yield from self._start_job(job, waiting)
            if not waiting:
                del self._waiting[name]
            elif not self._skips:
                return

    def _start_job(self, job: DayJob, waiting: dict[str, None]) -> Iterator[Step]:
        """Start the tasks of a job that fit, or all of a gang."""
        workload = job.workload
        chosen = []
        for task in list(waiting):
            worker = self._find_first(workload.size)
            if worker is None:
                break
            self.cell.commit(worker, workload.name, workload.size)
            chosen.append(Start(job, task, worker))
        if workload.gang and len(chosen) < len(waiting):
            for start in chosen:
                self.cell.release(start.worker, workload.name, workload.size)
            return
        for start in chosen:
            del waiting[start.task]
            yield start

    def _find_first(self, size: Capacity) -> str | None:
        """Return the first worker with room."""
        for state in self.cell.iterate_workers():
            if state.has_room(size):
                return state.name
        return None

    def end(self, start: Start, finished: bool, now: datetime, index: int) -> None:
        """Release a task."""
        workload = start.job.workload
        self.cell.release(start.worker, workload.name, workload.size)
