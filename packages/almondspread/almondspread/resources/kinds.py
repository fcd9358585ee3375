"""The kinds of resource and the rules that each keeps by itself."""

import re
from typing import Any

from attrs import Attribute, Factory, define, field

from almondspread.resources.capacity import Capacity

MAX_TASKS = 10_000
MAX_CPU_MILLIS = 1_024_000
MAX_MEMORY_MIB = 16_777_216
MAX_ACCELERATORS = 64
MAX_COMMAND_WORDS = 64
MAX_PRIORITY = 1_000
URGENT_PRIORITY = 900

_NAME = re.compile(r"[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?")


def _check_name(_: Any, attribute: "Attribute[str]", value: str) -> None:
    """Refuse a name that cannot be part of a path or a key."""
    if not _NAME.fullmatch(value):
        raise ValueError(
            f"{attribute.name} {value!r} must be 1 to 63 lower-case letters, digits, "
            "dots or dashes, with a letter or digit at both ends"
        )


def _check_optional_name(_: Any, attribute: "Attribute[str]", value: str) -> None:
    """Accept an empty text or a name."""
    if value:
        _check_name(_, attribute, value)


def _within(low: float, high: float) -> Any:
    """Return a validator for numbers from ``low`` to ``high``."""

    def check(_: Any, attribute: "Attribute[float]", value: float) -> None:
        if not low <= value <= high:
            raise ValueError(
                f"{attribute.name} {value} must lie from {low:g} to {high:g}"
            )

    return check


def _check_command(_: Any, attribute: Any, value: tuple[str, ...]) -> None:
    """Refuse a command of too many words."""
    if len(value) > MAX_COMMAND_WORDS:
        raise ValueError(f"command has {len(value)} words, {MAX_COMMAND_WORDS} at most")


def _check_spread(_: Any, attribute: Any, value: str) -> None:
    """Accept only the levels over which replicas can be spread."""
    if value not in ("none", "rack", "failure_domain"):
        raise ValueError(f"spread {value!r} must be none, rack or failure_domain")


def _check_labels(_: Any, attribute: Any, value: dict[str, str]) -> None:
    """Refuse labels that a selector could not name."""
    if len(value) > 32:
        raise ValueError(f"{len(value)} labels, 32 at most")
    for key, text in value.items():
        if not _NAME.fullmatch(key) or len(text) > 63:
            raise ValueError(
                f"label {key!r}={text!r} must be a name and up to 63 letters"
            )


@define(frozen=True)
class Metadata:
    """What every resource has: its name, its team and labels to select it by."""

    name: str = field(validator=_check_name)
    team: str = field(default="", validator=_check_optional_name)
    labels: dict[str, str] = field(factory=dict, validator=_check_labels)


@define(frozen=True)
class TaskTemplate:
    """What one task of a workload needs and runs.

    Amounts are the declared size, which is what a worker is committed by.
    ``run_seconds`` is the declared run time, 0 where it is not known.
    """

    cpu_millis: int = field(validator=_within(1, MAX_CPU_MILLIS))
    memory_mib: int = field(validator=_within(1, MAX_MEMORY_MIB))
    accelerators: int = field(default=0, validator=_within(0, MAX_ACCELERATORS))
    command: tuple[str, ...] = field(default=(), validator=_check_command)
    run_seconds: float = field(default=0.0, validator=_within(0, 31_536_000))
    checkpointable: bool = False

    @property
    def size(self) -> Capacity:
        """The declared size of one task."""
        return Capacity(self.cpu_millis, self.memory_mib, self.accelerators)


@define(frozen=True)
class Service:
    """A long-running service of equal replicas, spread and restarted for ever.

    ``partition_horizon_seconds`` is how long an owner that cannot reach the table
    service goes on renewing the leases of its tasks.
    """

    metadata: Metadata
    replicas: int = field(validator=_within(0, MAX_TASKS))
    template: TaskTemplate
    priority: int = field(default=500, validator=_within(0, MAX_PRIORITY))
    spread: str = field(default="rack", validator=_check_spread)
    partition_horizon_seconds: float = field(
        default=7_200.0, validator=_within(10, 86_400)
    )

    @property
    def task_count(self) -> int:
        """How many tasks the workload has."""
        return self.replicas


@define(frozen=True)
class BatchJob:
    """Tasks that each run to their end, in any order.

    ``attempts`` bounds how often one task is tried; ``deadline_seconds`` is when the
    whole job should be done after submission, 0 for none.
    """

    metadata: Metadata
    tasks: int = field(validator=_within(1, MAX_TASKS))
    template: TaskTemplate
    priority: int = field(default=100, validator=_within(0, MAX_PRIORITY))
    attempts: int = field(default=3, validator=_within(1, 100))
    deadline_seconds: float = field(default=0.0, validator=_within(0, 31_536_000))
    partition_horizon_seconds: float = field(
        default=7_200.0, validator=_within(10, 86_400)
    )

    @property
    def task_count(self) -> int:
        """How many tasks the workload has."""
        return self.tasks


@define(frozen=True)
class GangJob:
    """Tasks that start together or not at all."""

    metadata: Metadata
    tasks: int = field(validator=_within(1, 1_000))
    template: TaskTemplate
    priority: int = field(default=200, validator=_within(0, MAX_PRIORITY))
    attempts: int = field(default=3, validator=_within(1, 100))
    deadline_seconds: float = field(default=0.0, validator=_within(0, 31_536_000))
    partition_horizon_seconds: float = field(
        default=7_200.0, validator=_within(10, 86_400)
    )

    @property
    def task_count(self) -> int:
        """How many tasks the workload has."""
        return self.tasks


@define(frozen=True)
class Team:
    """A team, its quota over the whole cell and its weight in fair share."""

    metadata: Metadata
    cpu_millis: int = field(validator=_within(0, 1_000_000_000))
    memory_mib: int = field(validator=_within(0, 10_000_000_000))
    accelerators: int = field(default=0, validator=_within(0, 1_000_000))
    weight: float = field(default=1.0, validator=_within(0.01, 100))

    @property
    def quota(self) -> Capacity:
        """The most that the team's tasks may hold at once."""
        return Capacity(self.cpu_millis, self.memory_mib, self.accelerators)


@define(frozen=True)
class Worker:
    """What an operator says of a worker; ``drain`` moves its tasks elsewhere."""

    metadata: Metadata
    drain: bool = False


@define(frozen=True)
class RequestService:
    """How requests to the minions of one service are limited.

    Queue lengths are for each entry; deadlines in seconds are the longest accepted.
    """

    metadata: Metadata
    lookup_deadline_seconds: float = field(default=2.0, validator=_within(0.01, 60))
    call_deadline_seconds: float = field(default=60.0, validator=_within(0.1, 3_600))
    lookup_queue: int = field(default=512, validator=_within(1, 100_000))
    call_queue: int = field(default=256, validator=_within(1, 100_000))


@define(frozen=True)
class Configuration:
    """Named settings of the whole cell that change while it runs.

    ``policy`` is ``waiting`` or ``packing``: which of the two placement weighs more.
    """

    metadata: Metadata
    policy: str = field(default="waiting")
    quarantine_share: float = field(default=0.1, validator=_within(0, 0.5))
    batch_backlog_per_worker: int = field(default=2, validator=_within(0, 64))
    values: dict[str, str] = Factory(dict)

    @policy.validator
    def _check_policy(self, _: Any, value: str) -> None:
        """Accept the two policies."""
        if value not in ("waiting", "packing"):
            raise ValueError(f"policy {value!r} must be waiting or packing")


Workload = Service | BatchJob | GangJob
Resource = Service | BatchJob | GangJob | Team | Worker | RequestService | Configuration

KINDS: dict[str, type] = {
    "service": Service,
    "batch": BatchJob,
    "gang": GangJob,
    "team": Team,
    "worker": Worker,
    "request-service": RequestService,
    "configuration": Configuration,
}
