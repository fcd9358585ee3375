"""The stored progress of jobs, from which the next leader goes on."""

from enum import StrEnum

from attrs import define, field

from almondspread.jobs.losses import Loss


class JobState(StrEnum):
    """The state of a job that callers see."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


TERMINAL_STATES = (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)


@define(frozen=True)
class StepRecord:
    """The stored progress of a step.

    ``done`` is a little-endian bitmap of the indexes of the tasks that are done. The
    other fields hold, by the index of the task, the numbers of its failed runs, its
    checkpoint and the upstreams that were lost under it.
    """

    occurrence: int
    step: int
    done: bytes = b""
    failed_runs: dict[int, list[int]] = field(factory=dict)
    checkpoints: dict[int, str] = field(factory=dict)
    losses: dict[int, list[Loss]] = field(factory=dict)


@define(frozen=True)
class JobRecord:
    """The stored progress of a job.

    All occurrences before ``first_open`` are finished. ``finished`` is a little-endian
    bitmap, from ``first_open`` on, of those that are finished as well. ``steps`` has
    the steps of the others. ``workspace`` is empty for a job that belongs to none.
    """

    job: str
    queue: str
    state: str
    steps: tuple[StepRecord, ...] = ()
    first_open: int = 0
    finished: bytes = b""
    workspace: str = ""
