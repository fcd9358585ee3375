"""Placement requests, and the reasons why a task cannot be placed."""

from attrs import define, field

from almondspread.resources.capacity import Capacity

SPREAD_NONE = "none"
SPREAD_RACK = "rack"
SPREAD_FAILURE_DOMAIN = "failure_domain"

# The waiting policy prefers the workers with the most free capacity, the packing
# policy those with the least.
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

    ``group`` is the name of the workload. With ``spread`` set to ``rack`` or
    ``failure_domain``, placement spreads the tasks of a workload over racks or
    failure domains; with ``none``, it does not.
    """

    group: str
    size: Capacity
    spread: str = SPREAD_NONE


@define(frozen=True)
class ReasonCount:
    """The number of workers that one reason rules out."""

    reason: str
    workers: int


@define(frozen=True)
class PlacementFailure:
    """The reasons why a task or gang cannot be placed now.

    ``workers`` is the number of workers in the cell. A worker that lacks several
    resources counts once under each of them. For a gang,
    ``tasks`` is the number of its tasks and ``placeable`` how many of them fit.
    ``limit`` describes a limit, such as a quota, that rules out every worker; it is
    empty if there is none.

    >>> reasons = (ReasonCount(TOO_LITTLE_MEMORY, 23), ReasonCount(DRAINING, 1))
    >>> failure = PlacementFailure(24, reasons)
    >>> failure.to_text()
    '0 of 24 workers fit: 23 too little memory, 1 draining'
    """

    workers: int
    reasons: tuple[ReasonCount, ...] = field(default=())
    tasks: int = 1
    placeable: int = 0
    limit: str = ""

    def to_text(self) -> str:
        """Return a one-line explanation for operators."""
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
