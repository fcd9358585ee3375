"""Machines, the maintenance waves that operators request, and orders for them."""

from datetime import timedelta
from enum import StrEnum

from attrs import define


class MachineState(StrEnum):
    """The state of a machine, as the platform reports it."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"


@define(frozen=True)
class Machine:
    """A machine of a service; ``upstream`` is the one that it runs while it is up.

    The platform's list has the identity of the upstream, the planner its name.
    """

    name: str
    service: str
    state: MachineState
    upstream: str = ""


@define(frozen=True)
class MaintenanceWave:
    """Machines that must have their maintenance ``within`` a time.

    At most ``limit`` of them may be down for maintenance at once.
    """

    number: int
    machines: tuple[str, ...]
    within: timedelta
    limit: int


@define(frozen=True)
class WaveRecord:
    """The stored progress of a wave, which a new leader takes over.

    ``seen`` is the time at which a leader first saw the wave, in seconds of the store's
    clock. ``ordered`` machines may be down, or may go down later. ``done`` machines
    need no further maintenance in the wave.
    """

    number: int
    seen: float
    ordered: tuple[str, ...] = ()
    done: tuple[str, ...] = ()
    completed: bool = False


@define(frozen=True)
class MaintenanceOrder:
    """An order to take a machine down for its maintenance in a wave."""

    machine: str
    wave: int


class OrderOutcome(StrEnum):
    """The outcome of an order.

    A ``refused`` order had no effect. An order with an ``unknown`` outcome may still be
    carried out. A ``needless`` order was for a machine that is not part of the wave.
    """

    TAKEN = "taken"
    REFUSED = "refused"
    NEEDLESS = "needless"
    UNKNOWN = "unknown"
