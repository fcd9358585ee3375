"""Jobs as callers submit them: steps of identical tasks."""

from datetime import datetime, timedelta

from attrs import define
from expression import Error, Ok, Result

from almondspread.errors import InvalidInput
from almondspread.jobs.configuration import Configuration, Queue
from almondspread.resources.capacity import Capacity

MAX_PAYLOAD_BYTES = 4_000
MAX_STEPS = 100
MAX_TASKS_PER_STEP = 10_000
MAX_OCCURRENCES = 1_000_000
# This lies far above the capacity of any machine, and is small enough that sums of
# amounts stay exact in every number format they pass through.
MAX_AMOUNT = 2**40
# An error names so many reasons, so that it stays shorter than a request may be.
MAX_REASONS = 20
NO_TIME = timedelta(0)


@define(frozen=True)
class Step:
    """Identical tasks of a job that become ready together.

    ``estimate`` is the expected running time of one task. ``after`` lists the numbers
    of earlier steps on which this step depends. The tasks of a ``gang`` run only all at
    once. ``spread_limit`` bounds how many tasks of one occurrence may share an
    upstream, where 0 sets no bound. ``duplicates`` permits several copies of a task to
    run at the same time. ``lasting`` tasks run until the job is cancelled; the system
    may make at most ``unavailable_limit`` of them unavailable at once by its own
    actions, where 0 sets no bound. Tasks with a ``latency_target`` serve requests of
    users, and ``opportunistic`` tasks use processor time that other tasks leave idle.
    """

    count: int
    size: Capacity
    estimate: timedelta = NO_TIME
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    preferred_rack: str = ""
    spread_limit: int = 0
    duplicates: bool = False
    lasting: bool = False
    image: str = ""
    latency_target: timedelta = NO_TIME
    opportunistic: bool = False
    unavailable_limit: int = 0

    @property
    def claim(self) -> Capacity:
        """The capacity that a task reserves on its upstream.

        An opportunistic task reserves no processor time.
        """
        if not self.opportunistic:
            return self.size
        return Capacity(0, self.size.memory_mib, self.size.accelerators)

    @property
    def is_paced(self) -> bool:
        """Whether the step's tasks have a latency target or are throttled for one."""
        return self.opportunistic or bool(self.latency_target)


@define(frozen=True)
class Repetition:
    """Runs the steps ``count`` times, at ``first`` and then once per ``interval``."""

    first: datetime
    interval: timedelta
    count: int

    def compute_due_time(self, occurrence: int) -> datetime:
        """Return the time at which an occurrence, counted from 0, becomes due."""
        return self.first + occurrence * self.interval


@define(frozen=True)
class Submission:
    """A job as a caller submitted it; each of its tasks gets the ``payload``.

    ``accepted_queue`` is the queue as it was when the job was accepted, by which the
    job goes on if the queue is removed. Jobs accepted by an earlier release lack it.
    ``workspace`` names the workspace whose key came with the job, if any.
    """

    job: str
    queue: str
    payload: str
    steps: tuple[Step, ...]
    repetition: Repetition | None = None
    accepted_queue: Queue | None = None
    workspace: str = ""

    def find_queue(self, configuration: Configuration) -> Queue | None:
        """Return the queue as it is now, or as it was where it has been removed."""
        return configuration.queues.get(self.queue, self.accepted_queue)

    @property
    def occurrences(self) -> int:
        """The number of times the steps run."""
        return self.repetition.count if self.repetition else 1


@define(frozen=True, order=True)
class TaskId:
    """Identifies one task of one step in one occurrence of a job."""

    job: str
    occurrence: int
    step: int
    index: int


def check_submission(submission: Submission) -> Result[Submission, InvalidInput]:
    """Return the submission, or an error with the first reasons why it is invalid.

    >>> step = Step(count=0, size=Capacity(500, 256))
    >>> check_submission(Submission("j", "q", "", (step,))).error.message
    'step 0 has no tasks'
    """
    reasons = []
    if len(submission.payload.encode()) > MAX_PAYLOAD_BYTES:
        reasons.append(f"the payload is over {MAX_PAYLOAD_BYTES} bytes")
    if not submission.steps:
        reasons.append("there are no steps")
    if len(submission.steps) > MAX_STEPS:
        reasons.append(f"there are more than {MAX_STEPS} steps")
    if not 0 < submission.occurrences <= MAX_OCCURRENCES:
        reasons.append(f"the number of occurrences is not 1 to {MAX_OCCURRENCES}")
    for number, step in enumerate(submission.steps[:MAX_STEPS]):
        reasons.extend(_check_step(number, step))
    if len(reasons) > MAX_REASONS:
        reasons[MAX_REASONS:] = [f"and {len(reasons) - MAX_REASONS} more"]
    if reasons:
        remedy = "correct the job and submit it again"
        return Error(InvalidInput("; ".join(reasons), remedy))
    return Ok(submission)


def _check_step(number: int, step: Step) -> list[str]:
    """Return the reasons why a step is invalid."""
    reasons = []
    if step.count <= 0:
        reasons.append(f"step {number} has no tasks")
    if step.count > MAX_TASKS_PER_STEP:
        reasons.append(f"step {number} has more than {MAX_TASKS_PER_STEP} tasks")
    size = step.size
    for amount in (size.cpu_millis, size.memory_mib, size.accelerators):
        if not 0 <= amount <= MAX_AMOUNT:
            reasons.append(f"step {number} asks for an amount of {amount}")
    if len(step.after) > MAX_STEPS:
        reasons.append(f"step {number} waits for more than {MAX_STEPS} steps")
    for earlier in step.after[:MAX_STEPS]:
        # Steps may depend only on earlier ones, which rules out cyclic dependencies.
        if not 0 <= earlier < number:
            reasons.append(
                f"step {number} waits for step {earlier}, not an earlier one"
            )
    if step.estimate < NO_TIME or step.spread_limit < 0:
        reasons.append(f"step {number} has a negative estimate or spread limit")
    return reasons


def compute_critical_paths(submission: Submission) -> list[timedelta]:
    """Return the length of the critical path from the start of each step on.

    The length is the largest sum of estimates along a chain of dependent steps.

    >>> second = timedelta(seconds=1)
    >>> size = Capacity(1, 1)
    >>> steps = (Step(1, size, second), Step(1, size, 2 * second, after=(0,)))
    >>> submission = Submission("j", "q", "", steps)
    >>> [path.seconds for path in compute_critical_paths(submission)]
    [3, 2]
    """
    paths = [step.estimate for step in submission.steps]
    successor_paths = [timedelta(0)] * len(paths)
    for number in reversed(range(len(paths))):
        paths[number] += successor_paths[number]
        for earlier in submission.steps[number].after:
            successor_paths[earlier] = max(successor_paths[earlier], paths[number])
    return paths
