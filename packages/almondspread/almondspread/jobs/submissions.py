"""What a caller submits: a job of steps, each of equal tasks."""

from datetime import datetime, timedelta

from attrs import define
from expression import Error, Ok, Result

from almondspread.errors import InvalidInput
from almondspread.resources.capacity import Capacity

MAX_PAYLOAD_BYTES = 4_000
MAX_STEPS = 100
MAX_TASKS_PER_STEP = 10_000
MAX_OCCURRENCES = 1_000_000
# Far above any machine, and small enough that sums stay exact everywhere.
MAX_AMOUNT = 2**40
NO_TIME = timedelta(0)


@define(frozen=True)
class Step:
    """Equal tasks of a job that become due together.

    ``after`` numbers the earlier steps whose tasks must all be done first. The tasks
    of a ``gang`` run only together. ``spread_limit`` bounds how many tasks of one
    occurrence share an upstream, 0 for no bound. ``duplicates`` lets copies of a task
    run side by side. ``lasting`` tasks run until the job is cancelled, of which
    ``unavailable_limit`` may be away at once through the system's own doing. Tasks
    with a ``latency_target`` serve users of their own; ``opportunistic`` ones use the
    processor time that others leave.
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
        """What a task takes of an upstream's capacity."""
        if not self.opportunistic:
            return self.size
        return Capacity(0, self.size.memory_mib, self.size.accelerators)


@define(frozen=True)
class Repetition:
    """Runs the steps ``count`` times: first at ``first``, then each ``interval``."""

    first: datetime
    interval: timedelta
    count: int

    def compute_due_time(self, occurrence: int) -> datetime:
        """Return when an occurrence, counted from 0, is due."""
        return self.first + occurrence * self.interval


@define(frozen=True)
class Submission:
    """A job as a caller submitted it; ``payload`` goes to each of its tasks."""

    job: str
    queue: str
    payload: str
    steps: tuple[Step, ...]
    repetition: Repetition | None = None

    @property
    def occurrences(self) -> int:
        """How many times the steps run."""
        return self.repetition.count if self.repetition else 1


@define(frozen=True, order=True)
class TaskId:
    """One task of one step in one occurrence of a job."""

    job: str
    occurrence: int
    step: int
    index: int


def check_submission(submission: Submission) -> Result[Submission, InvalidInput]:
    """Return the submission, or every reason why it can never be run.

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
    for number, step in enumerate(submission.steps):
        reasons.extend(_check_step(number, step))
    if reasons:
        remedy = "correct the job and submit it again"
        return Error(InvalidInput("; ".join(reasons), remedy))
    return Ok(submission)


def _check_step(number: int, step: Step) -> list[str]:
    """Return what is wrong with one step."""
    reasons = []
    if step.count <= 0:
        reasons.append(f"step {number} has no tasks")
    if step.count > MAX_TASKS_PER_STEP:
        reasons.append(f"step {number} has more than {MAX_TASKS_PER_STEP} tasks")
    size = step.size
    for amount in (size.cpu_millis, size.memory_mib, size.accelerators):
        if not 0 <= amount <= MAX_AMOUNT:
            reasons.append(f"step {number} asks for an amount of {amount}")
    for earlier in step.after:
        # Steps may only wait for earlier ones, which rules out circles.
        if not 0 <= earlier < number:
            reasons.append(
                f"step {number} waits for step {earlier}, not an earlier one"
            )
    if step.estimate < NO_TIME or step.spread_limit < 0:
        reasons.append(f"step {number} has a negative number")
    return reasons
