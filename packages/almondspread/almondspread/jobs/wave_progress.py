"""The progress of a maintenance wave and of the orders for its machines."""

import math
from datetime import timedelta

from attrs import define, field

from almondspread.jobs.waves import (
    Machine,
    MachineState,
    MaintenanceWave,
    WaveRecord,
)

# An order that an earlier leader has sent may be carried out until then.
INHERITED_ORDER_TIME = timedelta(seconds=12)
# Unanswered orders are sent again; orders are idempotent.
ORDER_RETRY_INTERVAL = timedelta(seconds=1)
# A machine that is up this long after it accepted an order has had its maintenance.
SETTLING_TIME = timedelta(seconds=1)


@define(eq=False)
class WaveOrder:
    """The state of an order, from when it is stored until the machine is up again.

    ``upstream`` ran on the machine before; it is empty if it is not known. ``sent`` and
    ``taken`` are when the order was last sent and when it was accepted. An order that
    an earlier leader has stored was taken over at ``inherited``; that leader may have
    sent it or not.
    """

    upstream: str
    sent: timedelta | None = None
    taken: timedelta | None = None
    inherited: timedelta | None = None

    def may_be_pending(self, now: timedelta) -> bool:
        """Tell whether the machine may go down for the order, now or later."""
        if self.sent is not None:
            return True
        since = self.inherited
        return since is not None and now - since < INHERITED_ORDER_TIME

    def is_due(self, now: timedelta) -> bool:
        """Tell whether the order must be sent, for the first time or as a retry."""
        if self.taken is not None:
            return False
        return self.sent is None or now - self.sent >= ORDER_RETRY_INTERVAL

    def is_over(self, machine: Machine, requested_at: timedelta) -> bool:
        """Tell whether a machine has had its maintenance.

        ``requested_at`` is when the list with the machine's state was requested.
        """
        if machine.state is not MachineState.UP or self.taken is None:
            return False
        if requested_at <= self.taken:
            return False
        replaced = bool(self.upstream) and machine.upstream != self.upstream
        return replaced or requested_at - self.taken > SETTLING_TIME


@define(eq=False)
class WaveProgress:
    """The progress of a wave.

    ``due`` is when the planner aims to complete the wave. ``evacuating`` has the
    machines that are evacuated, and since when. Machines in ``held`` were kept up for
    their tasks after the time of their evacuation.
    """

    wave: MaintenanceWave
    seen: float
    due: timedelta
    evacuating: dict[str, timedelta] = field(factory=dict)
    orders: dict[str, WaveOrder] = field(factory=dict)
    done: set[str] = field(factory=set)
    held: set[str] = field(factory=set)

    @property
    def is_complete(self) -> bool:
        """Whether every machine has had its maintenance or no longer exists."""
        return self.done.issuperset(self.wave.machines)

    def list_waiting(self) -> list[str]:
        """Return the machines whose evacuation has not begun."""
        begun = self.done | self.orders.keys() | self.evacuating.keys()
        return [name for name in self.wave.machines if name not in begun]

    def count_machines_to_begin(self, cycle: timedelta, now: timedelta) -> int:
        """Return how many more machines to evacuate now, at most up to the limit.

        ``cycle`` is how long one machine takes. Within the limit, the number suffices
        to complete the wave by ``due``; it is negative if more machines are under way.
        """
        remaining = len(set(self.wave.machines) - self.done)
        rounds = max(1, (self.due - now) // cycle)
        wanted = min(self.wave.limit, math.ceil(remaining / rounds))
        return wanted - len(self.orders) - len(self.evacuating)

    def make_record(self) -> WaveRecord:
        """Return the record of the wave that the leader must store.

        That of a completed wave names no machines.
        """
        if self.is_complete:
            return WaveRecord(self.wave.number, self.seen, completed=True)
        return WaveRecord(
            self.wave.number,
            self.seen,
            tuple(sorted(self.orders)),
            tuple(sorted(self.done)),
        )
