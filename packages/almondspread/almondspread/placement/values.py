"""What is asked of a placement and what is answered when it must wait."""

from attrs import define, field

from almondspread.resources.capacity import Capacity

SPREAD_NONE = "none"
SPREAD_RACK = "rack"
SPREAD_FAILURE_DOMAIN = "failure_domain"

POLICY_WAITING = "waiting"
POLICY_PACKING = "packing"

DRAINING = "draining"
LEAVING = "leaving"
QUARANTINED = "quarantined"
UNREACHABLE = "unreachable"
EXCLUSION_REASONS = (DRAINING, LEAVING, QUARANTINED, UNREACHABLE)

TOO_LITTLE_PROCESSOR = "too little processor"
TOO_LITTLE_MEMORY = "too little memory"
TOO_FEW_ACCELERATORS = "too few accelerators"


@define(frozen=True)
class TaskRequest:
    """One task to place.

    ``group`` names the workload, whose tasks are counted for ``spread``: ``none``,
    ``rack`` or ``failure_domain``.
    """

    group: str
    size: Capacity
    spread: str = SPREAD_NONE


@define(frozen=True)
class ReasonCount:
    """How many workers are ruled out for one reason."""

    reason: str
    workers: int


@define(frozen=True)
class PlacementFailure:
    """Why a task cannot be placed now.

    A worker that lacks several resources counts under each of them. For a gang,
    ``tasks`` is its size and ``placeable`` how many of its tasks would find room.
    ``limit`` names a limit, as a quota, that rules out the task on every worker.

    >>> waiting = PlacementFailure(24, (ReasonCount(TOO_LITTLE_MEMORY, 23),
    ...                        ReasonCount(DRAINING, 1)))
    >>> waiting.to_text()
    '0 of 24 workers fit: 23 too little memory, 1 draining'
    """

    workers: int
    reasons: tuple[ReasonCount, ...] = field(default=())
    tasks: int = 1
    placeable: int = 0
    limit: str = ""

    def to_text(self) -> str:
        """Return one line for operators."""
        if self.limit:
            return self.limit
        if not self.workers:
            return "the cell has no workers"
        parts = []
        for count in self.reasons:
            parts.append(f"{count.workers} {count.reason}")
        text = f"0 of {self.workers} workers fit: " + ", ".join(parts)
        if self.tasks > 1:
            text = f"room for {self.placeable} of {self.tasks} tasks; then {text}"
        return text
