"""The newest estimate of the leader, as an entry instance looks things up in it."""

from datetime import timedelta

from attrs import define, field

from almondspread.jobs.backlog import ServiceRoom, ServiceSize, ServiceWait
from almondspread.jobs.configuration import Queue
from almondspread.jobs.demand import NOT_BUSY, BusyTime
from almondspread.jobs.expected_work import CLASS_BOUNDS, find_class
from almondspread.jobs.submissions import Submission, compute_critical_paths

# An older estimate says nothing any more about how long a job would wait.
MAX_AGE = timedelta(seconds=2)

_Key = tuple[str, int, bool]


@define(frozen=True)
class JobShape:
    """What the wait of a job depends on, beside its queue.

    ``path`` is the length of its critical path, and ``objective`` the time in which it
    is to end, both in seconds. It ``is_accelerated`` if a task needs accelerators.
    """

    path: float
    objective: float
    is_accelerated: bool = False

    @property
    def slack(self) -> float:
        """How many seconds it may wait and still be on time."""
        return self.objective - self.path


def measure_shape(queue: Queue, submission: Submission) -> JobShape:
    """Return what the wait of a job depends on."""
    path = max(compute_critical_paths(submission))
    objective = queue.stretch * path + queue.target_latency
    return JobShape(
        path.total_seconds(),
        objective.total_seconds(),
        any(step.size.accelerators for step in submission.steps),
    )


@define(frozen=True)
class Loads:
    """What the leader tells of the load, in its own message.

    ``exceeded`` names the workspaces that submit more than their rate. As many
    ``instances`` accept jobs. The ``sizes`` of services hardly ever change, and are
    left out of most messages.
    """

    waits: tuple[ServiceWait, ...] = ()
    rooms: tuple[ServiceRoom, ...] = ()
    exceeded: tuple[str, ...] = ()
    instances: int = 1
    sizes: tuple[ServiceSize, ...] = ()


@define(eq=False)
class LoadEstimate:
    """An estimate that has arrived ``at`` a time, ``None`` where none has."""

    loads: Loads = Loads()
    at: timedelta | None = None
    exceeded: frozenset[str] = frozenset()
    _busy_times: dict[_Key, list[BusyTime]] = field(factory=dict)
    _rooms: dict[str, ServiceRoom] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.exceeded = frozenset(self.loads.exceeded)
        self._rooms = {room.service: room for room in self.loads.rooms}
        for wait in sorted(self.loads.waits, key=lambda wait: wait.size_class):
            key = (wait.service, wait.priority, wait.accelerated)
            classes = self._busy_times.setdefault(
                key, [NOT_BUSY] * (len(CLASS_BOUNDS) + 1)
            )
            busy = BusyTime(wait.starts_in, wait.seconds)
            for number in range(max(wait.size_class, 0), len(classes)):
                classes[number] = busy

    def is_fresh(self, now: timedelta) -> bool:
        """Return whether the estimate still tells how long a job would wait."""
        return self.at is not None and now - self.at <= MAX_AGE

    def find_delay(self, queue: Queue, job: JobShape) -> float:
        """Return for how many seconds the work before a new job delays it."""
        size_class = find_class(job.objective)
        delay = 0.0
        for accelerated in (False, True) if job.is_accelerated else (False,):
            key = (queue.service, queue.priority, accelerated)
            classes = self._busy_times.get(key)
            if classes is not None:
                delay = max(delay, classes[size_class].find_delay(job.path))
        return delay

    def find_room(self, service: str) -> ServiceRoom | None:
        """Return the room of a service, ``None`` where more than half is free."""
        return self._rooms.get(service)

    def list_longest_waits(self) -> dict[str, float]:
        """Return the longest wait of a new job in seconds, by service with a wait."""
        longest: dict[str, float] = {}
        for wait in self.loads.waits:
            longest[wait.service] = max(longest.get(wait.service, 0.0), wait.seconds)
        return longest
