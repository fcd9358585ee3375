"""Planned maintenance: which machines of a wave are emptied and taken down, and when.

Operators ask for waves: each machine of a wave is to have its maintenance in time, with
a few of them down at once. The planner takes what is known of machines and returns what
to do. It does no input or output, and is told the time with each call.
"""

import math
from collections.abc import Callable
from datetime import timedelta
from enum import StrEnum

from attrs import define, field
from loguru import logger

# Runs may end, or move, for so long before their machine is taken down.
EVACUATION_TIME = timedelta(seconds=3)
# An order without an answer is repeated, which changes nothing if it was carried out.
ORDER_RETRY_INTERVAL = timedelta(seconds=1)
# A machine that is up so long after its order was taken has had its maintenance.
SETTLING_TIME = timedelta(seconds=1)
# Waves aim to be over when this share of their time has passed.
TARGET_TIME_SHARE = 0.7


class MachineState(StrEnum):
    """What the platform tells of a machine."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"


@define(frozen=True)
class Machine:
    """A machine of a service, and the upstream that it runs while it is up."""

    name: str
    service: str
    state: MachineState
    upstream: str = ""


@define(frozen=True)
class MaintenanceWave:
    """Machines that are to have their maintenance ``within`` a time.

    At most ``limit`` of them may be down for it at once.
    """

    number: int
    machines: tuple[str, ...]
    within: timedelta
    limit: int


@define(frozen=True)
class WaveRecord:
    """What outlives a leader of one wave; ``seen`` is seconds of the store's clock.

    ``ordered`` machines may be down, or go down later.
    """

    number: int
    seen: float
    ordered: tuple[str, ...] = ()
    done: tuple[str, ...] = ()
    completed: bool = False


@define(frozen=True)
class MaintenanceOrder:
    """Takes a machine down for its maintenance in a wave."""

    machine: str
    wave: int


class OrderOutcome(StrEnum):
    """What came of an order.

    A ``refused`` one had no effect. An ``unknown`` one may yet be carried out.
    """

    TAKEN = "taken"
    REFUSED = "refused"
    NEEDLESS = "needless"
    UNKNOWN = "unknown"


@define(eq=False)
class _Order:
    """An order for a machine, from the moment it is stored until the machine is back.

    ``upstream`` ran on the machine before.
    """

    upstream: str
    sent: timedelta | None = None
    taken: timedelta | None = None

    def is_due(self, now: timedelta) -> bool:
        """Tell whether the order is to be sent, for the first time or again."""
        if self.taken is not None:
            return False
        return self.sent is None or now - self.sent >= ORDER_RETRY_INTERVAL

    def is_over(self, machine: Machine, asked: timedelta) -> bool:
        """Tell whether a machine, as listed when ``asked``, has had its maintenance."""
        if machine.state is not MachineState.UP or self.taken is None:
            return False
        if asked <= self.taken:
            return False
        replaced = bool(self.upstream) and machine.upstream != self.upstream
        return replaced or asked - self.taken > SETTLING_TIME


@define(eq=False)
class _WaveProgress:
    """How far a wave has come."""

    wave: MaintenanceWave
    seen: float
    due: timedelta
    emptying: dict[str, timedelta] = field(factory=dict)
    orders: dict[str, _Order] = field(factory=dict)
    done: set[str] = field(factory=set)

    @property
    def is_complete(self) -> bool:
        """Whether every machine has had its maintenance, or is gone."""
        return self.done.issuperset(self.wave.machines)

    def list_waiting(self) -> list[str]:
        """Return the machines for which nothing has been begun."""
        begun = self.done | self.orders.keys() | self.emptying.keys()
        return [name for name in self.wave.machines if name not in begun]

    def count_places(self, cycle: timedelta, now: timedelta) -> int:
        """Return how many more machines should be begun with now."""
        left = len(set(self.wave.machines) - self.done)
        rounds = max(1, (self.due - now) // cycle)
        wanted = min(self.wave.limit, math.ceil(left / rounds))
        return wanted - len(self.orders) - len(self.emptying)

    def make_record(self) -> WaveRecord:
        """Return what must outlive the leader."""
        return WaveRecord(
            self.wave.number,
            self.seen,
            tuple(sorted(self.orders)),
            tuple(sorted(self.done)),
            self.is_complete,
        )


@define(eq=False)
class MaintenancePlanner:
    """All waves of the cell, as the leader of one epoch sees them.

    ``duration`` is how long a machine is down. Before an order goes out it is part of
    a stored record, so that the next leader counts its machine as down.
    """

    duration: timedelta
    machines: dict[str, Machine] = field(factory=dict)
    _waves: dict[int, _WaveProgress] = field(factory=dict)
    _records: dict[int, WaveRecord] = field(factory=dict)

    @property
    def cycle(self) -> timedelta:
        """How long one machine takes from the start of its emptying."""
        return EVACUATION_TIME + self.duration + SETTLING_TIME

    @property
    def is_busy(self) -> bool:
        """Whether a wave is not complete."""
        return any(not progress.is_complete for progress in self._waves.values())

    def restore_records(self, records: tuple[WaveRecord, ...]) -> None:
        """Take over what earlier leaders stored, before any wave is taken."""
        for record in records:
            self._records[record.number] = record

    def add_wave(
        self, wave: MaintenanceWave, now: timedelta, store_time: timedelta
    ) -> None:
        """Take a wave, once however often it is told."""
        if wave.number in self._waves:
            return
        record = self._records.get(wave.number)
        if record is not None and record.completed:
            return
        if record is None:
            record = WaveRecord(wave.number, store_time.total_seconds())
        passed = store_time - timedelta(seconds=record.seen)
        due = now + TARGET_TIME_SHARE * wave.within - passed
        progress = _WaveProgress(wave, record.seen, due, done=set(record.done))
        for name in record.ordered:
            # What ran there when it was ordered is not known any more.
            progress.orders[name] = _Order("")
        self._waves[wave.number] = progress
        logger.info(
            "wave taken",
            wave=wave.number,
            machines=len(wave.machines),
            limit=wave.limit,
            within=wave.within.total_seconds(),
            ordered=len(record.ordered),
            done=len(record.done),
        )

    def update_machines(self, machines: list[Machine], asked: timedelta) -> None:
        """Take the whole list of machines, which was asked for at ``asked``."""
        self.machines = {machine.name: machine for machine in machines}
        for progress in self._waves.values():
            for name in progress.wave.machines:
                machine = self.machines.get(name)
                if machine is None:
                    self._finish(progress, name, "gone")
                    continue
                order = progress.orders.get(name)
                if order is not None and order.is_over(machine, asked):
                    self._finish(progress, name, "maintained")

    def _finish(self, progress: _WaveProgress, name: str, outcome: str) -> None:
        """Count a machine as done."""
        if name in progress.done:
            return
        progress.emptying.pop(name, None)
        progress.orders.pop(name, None)
        progress.done.add(name)
        logger.info(
            "machine done", wave=progress.wave.number, machine=name, outcome=outcome
        )

    def plan_orders(
        self,
        now: timedelta,
        count_runs: Callable[[str], int],
        may_stop: Callable[[str], bool],
    ) -> list[MaintenanceOrder]:
        """Return the orders that are due, once the records are stored.

        ``count_runs`` tells how many runs an upstream has, ``may_stop`` whether all of
        them may be ended at once.
        """
        due = []
        for progress in self._waves.values():
            self._begin(progress, now, count_runs)
            for name, since in list(progress.emptying.items()):
                machine = self.machines[name]
                if machine.state is not MachineState.UP:
                    continue
                late = now - since >= EVACUATION_TIME and may_stop(machine.upstream)
                if late or not count_runs(machine.upstream):
                    del progress.emptying[name]
                    progress.orders[name] = _Order(machine.upstream)
            for name, order in progress.orders.items():
                if order.is_due(now):
                    due.append(MaintenanceOrder(name, progress.wave.number))
        return due

    def _begin(
        self,
        progress: _WaveProgress,
        now: timedelta,
        count_runs: Callable[[str], int],
    ) -> None:
        """Begin to empty machines, those with the fewest runs first."""
        ready = []
        for name in progress.list_waiting():
            machine = self.machines.get(name)
            if machine is not None and machine.state is MachineState.UP:
                ready.append(machine)
        ready.sort(key=lambda machine: count_runs(machine.upstream))
        places = max(0, progress.count_places(self.cycle, now))
        for machine in ready[:places]:
            progress.emptying[machine.name] = now
            logger.info(
                "machine is emptied",
                wave=progress.wave.number,
                machine=machine.name,
                upstream=machine.upstream,
                runs=count_runs(machine.upstream),
            )

    def find_leaving_upstreams(self) -> dict[str, timedelta]:
        """Return the upstreams that are emptied, and when they may be taken down."""
        leaving = {}
        for progress in self._waves.values():
            for name, since in progress.emptying.items():
                leaving[self.machines[name].upstream] = since + EVACUATION_TIME
            for order in progress.orders.values():
                if order.upstream:
                    leaving[order.upstream] = timedelta(0)
        return leaving

    def record_sent(self, order: MaintenanceOrder, now: timedelta) -> None:
        """Note that an order goes out."""
        self._waves[order.wave].orders[order.machine].sent = now

    def handle_order_outcome(
        self, order: MaintenanceOrder, outcome: OrderOutcome, now: timedelta
    ) -> str:
        """Take what came of an order; return the upstream that it has ended, if any.

        A refused order stays ordered, since an earlier copy may yet be carried out.
        """
        progress = self._waves[order.wave]
        known = progress.orders.get(order.machine)
        if known is None:
            return ""
        if outcome is OrderOutcome.NEEDLESS:
            self._finish(progress, order.machine, "not of the wave")
        if outcome is not OrderOutcome.TAKEN:
            return ""
        known.taken = now
        return known.upstream

    def list_records(self) -> tuple[WaveRecord, ...]:
        """Return what is to be stored of all waves, in order of their numbers."""
        records = dict(self._records)
        for number, progress in self._waves.items():
            records[number] = progress.make_record()
        return tuple(records[number] for number in sorted(records))
