"""Replays arrivals of jobs against admission control, without a network.

A leader places the tasks of admitted jobs in order of rank, as long as they fit, and
sends its estimate every 300 ms to instances that decide in turn on the arriving jobs.
"""

import math
import zlib
from collections import Counter
from collections.abc import Iterable
from datetime import timedelta
from heapq import heappop, heappush

import attrs

from almondspread.jobs.admission_control import AdmissionControl, Refusal
from almondspread.jobs.bound_runs import Run, RunPhase
from almondspread.jobs.configuration import Configuration
from almondspread.jobs.durations import DurationRatios
from almondspread.jobs.exceeded_rates import ExceededRates
from almondspread.jobs.leader_loads import estimate_loads
from almondspread.jobs.messages import DONE, RunEnd
from almondspread.jobs.ordering import rank_step
from almondspread.jobs.progress import JobProgress
from almondspread.jobs.submissions import Step, Submission
from almondspread.jobs.tests.cells import CORE, SECOND
from almondspread.jobs.upstreams import Upstream
from almondspread.resources.capacity import Capacity
from almondspread.testing.cell_input import QUEUE, make_configuration, make_entry
from almondspread.testing.fake_cell import WALL_CLOCK_START
from almondspread.testing.fake_upstream import FakeUpstream, History

TICK = timedelta(milliseconds=50)
ESTIMATE_INTERVAL = timedelta(milliseconds=300)
# How long after its admission the leader knows of a job.
INTAKE_DELAY = timedelta(milliseconds=150)
INSTANCES = 4
LATE_VALUE = 0.2


@attrs.define(frozen=True)
class Arrival:
    """A job that a caller submits, of a kind by which the outcomes are counted."""

    at: timedelta
    submission: Submission
    kind: str
    attempts: int = 0
    first_at: timedelta | None = None


def arrive(
    kind: str,
    rate: float,
    begin: float,
    end: float,
    *steps: Step,
    workspace: str = "",
) -> list[Arrival]:
    """Return arrivals of equal jobs at a fixed rate, from one second to another."""
    arrivals = []
    for number in range(round(rate * (end - begin))):
        name = f"{kind}-{begin}-{number}"
        job = Submission(name, QUEUE, "", steps, workspace=workspace)
        arrivals.append(Arrival((begin + number / rate) * SECOND, job, kind))
    return arrivals


@attrs.define(eq=False, slots=False)
class LoadReplay:
    """A cell with one large upstream that is used by tasks of one core each."""

    cores: int = 64
    configuration: Configuration = attrs.field(factory=make_configuration)
    admits_all: bool = False
    retries: int = 0
    spread: float = 0.0
    leader_is_lost_from: timedelta = 10_000 * SECOND
    leader_is_lost_until: timedelta = 10_000 * SECOND
    now: timedelta = timedelta(0)
    value: Counter = attrs.field(factory=Counter)
    arrived: Counter = attrs.field(factory=Counter)
    refused: Counter = attrs.field(factory=Counter)
    reasons: Counter = attrs.field(factory=Counter)
    late: Counter = attrs.field(factory=Counter)
    on_time: Counter = attrs.field(factory=Counter)
    refusals: list = attrs.field(factory=list)
    jobs: dict = attrs.field(factory=dict)

    def __attrs_post_init__(self):
        self.controls = [AdmissionControl() for _ in range(INSTANCES)]
        self._arrivals = {}
        self._submissions = 0
        self._waiting = []
        self._arriving = []
        self._running = []
        self._used = 0
        self._exceeded = ExceededRates()
        self._next_estimate = timedelta(0)
        capacity = Capacity(1_000 * self.cores, 1_000 * self.cores)
        entry = make_entry(FakeUpstream("u0", capacity, History()), 0)
        entry = attrs.evolve(entry, capacity=capacity)
        self._upstream = Upstream(entry, has_reported=True, recorded=True)

    def run(self, arrivals: Iterable[Arrival], until: float) -> "LoadReplay":
        """Let jobs arrive, and run the admitted ones until a time in seconds."""
        for number, arrival in enumerate(arrivals):
            heappush(self._waiting, (arrival.at, number, arrival))
        while self.now < until * SECOND:
            while self._waiting and self._waiting[0][0] <= self.now:
                self._submit(heappop(self._waiting)[2])
            if not self.leader_is_lost_from <= self.now < self.leader_is_lost_until:
                self._lead()
            self._end_runs()
            self.now += TICK
        return self

    def _submit(self, arrival: Arrival) -> None:
        if not arrival.attempts:
            self.arrived[arrival.kind] += 1
        self._submissions += 1
        control = self.controls[self._submissions % INSTANCES]
        job = arrival.submission
        queue = self.configuration.queues[job.queue]
        refusal = control.decide(queue, job, self.configuration, self.now)
        if refusal is not None and not self.admits_all:
            self.refused[arrival.kind] += 1
            self.reasons[arrival.kind, str(refusal.reason)] += 1
            self.refusals.append((self.now, arrival, refusal))
            self._retry(arrival, refusal)
            return
        self._arrivals[job.job] = arrival
        self._arriving.append(JobProgress(job, self.now))

    def _retry(self, arrival: Arrival, refusal: Refusal) -> None:
        if arrival.attempts >= self.retries:
            return
        after = math.ceil(refusal.problem.retry_after_seconds) * SECOND
        again = attrs.evolve(
            arrival,
            at=self.now + after,
            attempts=arrival.attempts + 1,
            first_at=arrival.first_at or self.now,
        )
        heappush(self._waiting, (again.at, -self._submissions, again))

    def _lead(self) -> None:
        while self._arriving and self._arriving[0].accepted <= self.now - INTAKE_DELAY:
            job = self._arriving.pop(0)
            job.create_due_steps(WALL_CLOCK_START)
            self.jobs[job.submission.job] = job
            workspaces = self.configuration.workspaces or {}
            if job.submission.workspace in workspaces:
                workspace = workspaces[job.submission.workspace]
                self._exceeded.record(workspace, job.accepted)
        self._start_tasks()
        if self.now >= self._next_estimate:
            self._next_estimate = self.now + ESTIMATE_INTERVAL
            loads = estimate_loads(
                self.jobs,
                {"u0": self._upstream},
                self.configuration,
                DurationRatios(),
                self._exceeded,
                self.now,
                INSTANCES,
            )
            for control in self.controls:
                control.update(loads, self.now)

    def _start_tasks(self) -> None:
        ready = []
        for job in self.jobs.values():
            for progress in job.steps.values():
                if progress.waiting and job.is_ready(progress):
                    ready.append(progress)
        ready.sort(key=lambda step: rank_step(step, self.configuration, self.now))
        for progress in ready:
            for index in list(progress.waiting):
                if self._used >= self.cores:
                    return
                task = progress.make_task_id(index)
                run = Run(task, 1, "u0", RunPhase.RUNNING, self.now, self.now)
                progress.add_run(run)
                self._used += 1
                seconds = progress.step.estimate * self._vary(str(task))
                self._running.append((self.now + seconds, progress, run))

    def _vary(self, text: str) -> float:
        """Return the ratio of a task's duration to its estimate, 1 on average."""
        return 1.0 + self.spread * (zlib.crc32(text.encode()) / 2**31 - 1.0)

    def _end_runs(self) -> None:
        running, self._running = self._running, []
        for ends_at, progress, run in running:
            if ends_at > self.now:
                self._running.append((ends_at, progress, run))
                continue
            self._used -= 1
            progress.record_end(RunEnd(0, run.task, run.number, DONE))
            progress.remove_run(run)
            if progress.job.is_complete:
                self._end_job(progress.job)

    def _end_job(self, job: JobProgress) -> None:
        del self.jobs[job.submission.job]
        arrival = self._arrivals[job.submission.job]
        kind = arrival.kind
        queue = self.configuration.queues[job.submission.queue]
        target = queue.stretch * max(job.critical_paths) + queue.target_latency
        taken = self.now - (arrival.first_at or job.accepted)
        if taken <= target:
            self.on_time[kind] += 1
            self.value[kind] += 1
        elif taken <= 3 * target:
            self.late[kind] += 1
            self.value[kind] += LATE_VALUE


def one_core(count: int, seconds: float, **fields: object) -> Step:
    """Return a step of tasks of one core."""
    return Step(count, CORE, seconds * SECOND, **fields)
