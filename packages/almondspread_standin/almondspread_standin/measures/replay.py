"""Replays a day of arrivals through a scheduler with a manual clock.

There is no model of machines or network: a task ends when its drawn run time is
over, and one that is asked to stop ends ``STOP_TIME`` later.
"""

import heapq
import itertools
from datetime import datetime, timedelta

from attrs import define, field

from almondspread.clock import ManualClock
from almondspread.resources.capacity import Capacity
from almondspread_standin.measures.days import DAY, DayJob
from almondspread_standin.measures.schedulers import DayScheduler, Start

STOP_TIME = timedelta(seconds=1)


@define
class DayReport:
    """What came of a day: seconds waited by class and committed work.

    ``committed`` and ``possible`` are sums over time of the parts of the cell that
    were committed, and that could have been at most, of the resource most in demand.
    """

    waits: dict[str, list[float]] = field(factory=dict)
    urgent_at_full: list[float] = field(factory=list)
    committed: float = 0.0
    possible: float = 0.0
    preempted: int = 0
    lost_core_seconds: float = 0.0
    unstarted: int = 0
    overcommitted: int = 0


@define
class _Task:
    """One task of the day as it stands."""

    job: DayJob
    index: int
    remaining: timedelta
    start: Start | None = None
    started: datetime | None = None
    attempt: int = 0
    stopping: bool = False
    waited: bool = False


@define
class _Demand:
    """Amounts that run and that wait."""

    running: Capacity = Capacity(0, 0)
    waiting: Capacity = Capacity(0, 0)


class DayReplay:
    """Moves the clock from event to event and asks the scheduler after each."""

    def __init__(
        self, scheduler: DayScheduler, total: Capacity, jobs: list[DayJob]
    ) -> None:
        self._scheduler = scheduler
        self._total = total
        self._clock = ManualClock()
        self._order = itertools.count()
        self._events: list[tuple[datetime, int, str, str, int]] = []
        self._jobs = {job.workload.name: job for job in jobs}
        self._tasks: dict[str, _Task] = {}
        self._demand = _Demand()
        self._report = DayReport()
        for job in jobs:
            self._push(job.workload.submitted, "arrive", job.workload.name, 0)

    def run(self) -> DayReport:
        """Replay the events of the day; what has not started by its end is counted."""
        midnight = self._clock.now() + DAY
        while self._events:
            due = self._events[0][0]
            if due >= midnight:
                break
            self._integrate(due)
            self._clock.advance(due - self._clock.now())
            while self._events and self._events[0][0] == due:
                self._handle(*heapq.heappop(self._events)[2:])
            self._decide()
        self._integrate(midnight)
        self._count_unstarted(midnight)
        return self._report

    def _push(self, due: datetime, kind: str, name: str, attempt: int) -> None:
        """Add an event."""
        heapq.heappush(self._events, (due, next(self._order), kind, name, attempt))

    def _handle(self, kind: str, name: str, attempt: int) -> None:
        """Let one event happen."""
        if kind == "arrive":
            self._arrive(self._jobs[name])
            return
        task = self._tasks[name]
        if task.start is None or task.attempt != attempt:
            return
        self._end(name, task, finished=kind == "finish")

    def _arrive(self, job: DayJob) -> None:
        """Submit all tasks of a job."""
        names = []
        for index, run in enumerate(job.runs):
            name = f"{job.workload.name}/{index}"
            self._tasks[name] = _Task(job, index, run)
            names.append(name)
        size = job.workload.size.times(len(names))
        self._demand.waiting = self._demand.waiting.plus(size)
        self._scheduler.submit(job, names)

    def _decide(self) -> None:
        """Let the scheduler act at the present time."""
        now = self._clock.now()
        for step in self._scheduler.decide(now):
            task = self._tasks[step.task]
            if isinstance(step, Start):
                self._start(step, task, now)
                continue
            if task.start is not None and not task.stopping:
                task.stopping = True
                self._push(now + STOP_TIME, "stop", step.task, task.attempt)

    def _start(self, start: Start, task: _Task, now: datetime) -> None:
        """Start a task; its first wait is reported."""
        size = task.job.workload.size
        waited = (now - task.job.workload.submitted).total_seconds()
        if not task.waited:
            self._note_wait(task, waited)
        task.start = start
        task.started = now
        task.attempt += 1
        task.stopping = False
        self._demand.running = self._demand.running.plus(size)
        self._demand.waiting = self._demand.waiting.minus(size)
        self._push(now + task.remaining, "finish", start.task, task.attempt)
        running, total = self._demand.running, self._total
        if not running.fits_in(total):
            self._report.overcommitted += 1

    def _note_wait(self, task: _Task, waited: float) -> None:
        """Report how long a task waited for its first start."""
        task.waited = True
        label = task.job.label
        self._report.waits.setdefault(label, []).append(waited)
        if label != "urgent":
            return
        size = task.job.workload.size
        if not size.plus(self._demand.running).fits_in(self._total) or waited > 0:
            self._report.urgent_at_full.append(waited)

    def _end(self, name: str, task: _Task, finished: bool) -> None:
        """End a task; one that was stopped waits again."""
        now = self._clock.now()
        assert task.start is not None and task.started is not None
        size = task.job.workload.size
        self._scheduler.end(task.start, finished, now, task.index)
        self._demand.running = self._demand.running.minus(size)
        ran = now - task.started
        task.start = None
        if finished:
            return
        self._report.preempted += 1
        if task.job.workload.checkpointable:
            task.remaining -= ran
        else:
            lost = ran.total_seconds() * size.cpu_millis / 1_000
            self._report.lost_core_seconds += lost
        self._demand.waiting = self._demand.waiting.plus(size)
        self._scheduler.submit(task.job, [name])

    def _integrate(self, until: datetime) -> None:
        """Add up what was committed and what could have been since the last event."""
        seconds = (until - self._clock.now()).total_seconds()
        running, waiting, total = (
            self._demand.running,
            self._demand.waiting,
            self._total,
        )
        cpu_wanted = (running.cpu_millis + waiting.cpu_millis) / total.cpu_millis
        memory_wanted = (running.memory_mib + waiting.memory_mib) / total.memory_mib
        committed = running.cpu_millis / total.cpu_millis
        if memory_wanted > cpu_wanted:
            committed = running.memory_mib / total.memory_mib
        self._report.committed += committed * seconds
        self._report.possible += min(1.0, max(cpu_wanted, memory_wanted)) * seconds

    def _count_unstarted(self, midnight: datetime) -> None:
        """Count tasks that never started; their wait so far is in the waits."""
        for task in self._tasks.values():
            if task.waited:
                continue
            self._report.unstarted += 1
            waited = (midnight - task.job.workload.submitted).total_seconds()
            self._report.waits.setdefault(task.job.label, []).append(waited)
