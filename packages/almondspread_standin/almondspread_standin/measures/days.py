"""A seeded day of arrivals for the measurement of packing.

Declared run times and memory are wrong by a factor that each family of jobs keeps,
with a further spread for each task.
"""

import math
import random
from datetime import datetime, timedelta

from attrs import define

from almondspread.clock import ManualClock
from almondspread.resources.capacity import Capacity
from almondspread.scheduling.policies.ordering import WaitingWorkload
from almondspread.scheduling.policies.running import BATCH, GANG, SERVICE

DAY = timedelta(hours=24)
FAMILIES = 40
FAMILY_ERROR = 0.7
TASK_ERROR = 0.3
MEDIAN_RUN = timedelta(minutes=8)
RUN_SPREAD = 0.9
LONGEST_RUN = timedelta(hours=3)
SERVICE_PART = 0.2
GANG_PART = 0.06
CHECKPOINTABLE_SHARE = 0.5
URGENT_PER_DAY = 400
URGENT_RUN = timedelta(minutes=3)
URGENT_PRIORITY = 950


@define(frozen=True)
class DayPlan:
    """The size of one operator's cell and the shape of its day.

    ``load`` is the work of a day as a part of what the cell could do; ``weights``
    are the arrivals of each hour relative to each other.
    """

    worker: Capacity
    policy: str
    teams: int
    load: float
    weights: tuple[float, ...]
    failure_domains: tuple[str, ...]
    workers_per_rack: int = 8


PLANS = {
    "sicily": DayPlan(
        worker=Capacity(32_000, 65_536),
        policy="packing",
        teams=8,
        load=0.75,
        weights=(
            1,
            1,
            2,
            6,
            8,
            5,
            4,
            4,
            4,
            4,
            3,
            3,
            2,
            2,
            3,
            4,
            4,
            5,
            3,
            2,
            1,
            1,
            1,
            1,
        ),
        failure_domains=("catania", "palermo", "enna"),
    ),
    "norrland": DayPlan(
        worker=Capacity(16_000, 32_768),
        policy="waiting",
        teams=2,
        load=0.6,
        weights=(
            3,
            3,
            2,
            1,
            1,
            1,
            2,
            3,
            3,
            3,
            3,
            3,
            2,
            2,
            3,
            3,
            9,
            9,
            6,
            4,
            3,
            3,
            3,
            3,
        ),
        failure_domains=("umea", "lulea", "skelleftea"),
    ),
}


@define(frozen=True)
class DayJob:
    """One workload of the day and what its tasks will really do."""

    workload: WaitingWorkload
    family: str
    kind: str
    declared_run: timedelta
    runs: tuple[timedelta, ...]
    peaks_mib: tuple[int, ...]

    @property
    def label(self) -> str:
        """The class by which waiting times are reported."""
        return "urgent" if self.workload.priority == URGENT_PRIORITY else self.kind


def list_jobs(plan: DayPlan, seed: int) -> list[DayJob]:
    """Return the jobs of a day in the order of their arrival."""
    source = random.Random(seed)
    start = ManualClock().now()
    cpu = plan.worker.cpu_millis * plan.workers_per_rack * len(plan.failure_domains)
    work = plan.load * cpu * DAY.total_seconds()
    factory = _JobFactory(plan, source)
    jobs = factory.make_services(start, SERVICE_PART * cpu)
    remaining = work - SERVICE_PART * cpu * DAY.total_seconds()
    gang_work = GANG_PART * work
    while remaining > 0:
        gang = gang_work > 0
        job = factory.make_gang(start) if gang else factory.make_batch(start)
        used = _measure_work(job)
        remaining -= used
        gang_work -= used
        jobs.append(job)
    for _ in range(URGENT_PER_DAY):
        jobs.append(factory.make_urgent(start))
    jobs.sort(key=lambda job: (job.workload.submitted, job.workload.name))
    return jobs


class _JobFactory:
    """Draws jobs from one random source."""

    def __init__(self, plan: DayPlan, source: random.Random) -> None:
        self._plan = plan
        self._source = source
        self._count = 0
        self._run_errors: list[float] = []
        self._memory_errors: list[float] = []
        for _ in range(FAMILIES):
            self._run_errors.append(source.lognormvariate(0, FAMILY_ERROR))
            self._memory_errors.append(source.lognormvariate(-0.3, 0.4))

    def make_services(self, start: datetime, cpu: float) -> list[DayJob]:
        """Return services that take about ``cpu`` thousandths of a core all day."""
        services = []
        while cpu > 0:
            replicas = self._source.randint(2, 6)
            size = Capacity(self._source.choice([500, 1_000, 2_000]), 2_048)
            cpu -= size.cpu_millis * replicas
            services.append(
                self._make(
                    SERVICE,
                    start,
                    size,
                    replicas,
                    DAY,
                    priority=500,
                    spread="failure_domain",
                )
            )
        return services

    def make_batch(self, start: datetime) -> DayJob:
        """Return a batch job."""
        size = Capacity(
            self._source.choice([500, 1_000, 1_000, 2_000, 4_000]),
            self._source.choice([512, 1_024, 2_048, 4_096, 8_192]),
        )
        tasks = self._source.randint(1, 20)
        priority = self._source.choice([100, 100, 200, 300])
        return self._make(
            BATCH, self._draw_arrival(start), size, tasks, self._draw_run(), priority
        )

    def make_gang(self, start: datetime) -> DayJob:
        """Return a gang."""
        size = Capacity(self._source.choice([1_000, 2_000, 4_000]), 2_048)
        tasks = self._source.choice([4, 8, 12, 16, 24])
        return self._make(
            GANG, self._draw_arrival(start), size, tasks, self._draw_run(), 200
        )

    def make_urgent(self, start: datetime) -> DayJob:
        """Return an urgent task."""
        size = Capacity(self._source.choice([500, 1_000, 2_000]), 1_024)
        arrival = self._draw_arrival(start)
        arrival += timedelta(milliseconds=self._source.randrange(1_000))
        return self._make(BATCH, arrival, size, 1, URGENT_RUN, URGENT_PRIORITY)

    def _draw_arrival(self, start: datetime) -> datetime:
        """Return a whole second of the day."""
        hours = range(len(self._plan.weights))
        hour = self._source.choices(hours, self._plan.weights)[0]
        return start + timedelta(hours=hour, seconds=self._source.randrange(3_600))

    def _draw_run(self) -> timedelta:
        """Return a declared run time in whole seconds."""
        factor = self._source.lognormvariate(0, RUN_SPREAD)
        run = min(MEDIAN_RUN * factor, LONGEST_RUN)
        return timedelta(seconds=math.ceil(run.total_seconds()))

    def _make(
        self,
        kind: str,
        submitted: datetime,
        size: Capacity,
        tasks: int,
        declared: timedelta,
        priority: int,
        spread: str = "none",
    ) -> DayJob:
        """Return a job with the real run time and memory of each task."""
        source = self._source
        self._count += 1
        family = source.randrange(FAMILIES)
        runs = []
        peaks = []
        for _ in range(tasks):
            factor = self._run_errors[family] * source.lognormvariate(0, TASK_ERROR)
            seconds = math.ceil(declared.total_seconds() * factor)
            runs.append(DAY if kind == SERVICE else timedelta(seconds=seconds))
            peaks.append(round(size.memory_mib * self._memory_errors[family]))
        checkpointable = kind == BATCH and source.random() < CHECKPOINTABLE_SHARE
        workload = WaitingWorkload(
            name=f"{kind}-{self._count}",
            team=f"team-{family % self._plan.teams}",
            priority=priority,
            size=size,
            submitted=submitted,
            spread=spread,
            gang=kind == GANG,
            checkpointable=checkpointable,
        )
        return DayJob(
            workload,
            f"family-{family}",
            kind,
            declared,
            tuple(runs),
            tuple(peaks),
        )


def _measure_work(job: DayJob) -> float:
    """Return the work of a job in thousandths of a core times seconds."""
    total = sum(job.runs, timedelta(0))
    return job.workload.size.cpu_millis * total.total_seconds()
