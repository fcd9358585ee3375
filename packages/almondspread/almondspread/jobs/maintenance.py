"""Planned maintenance: when each machine of a wave is evacuated and taken down.

Operators request maintenance waves. Each machine of a wave must have its maintenance
within the time of the wave, and only a limited number of them may be down at once. The
planner receives the states of the machines and returns orders. It does no I/O, and
receives the current time with each call.
"""

from collections.abc import Callable, Collection
from datetime import timedelta

from attrs import define, evolve, field
from loguru import logger

from almondspread.jobs.wave_progress import SETTLING_TIME, WaveOrder, WaveProgress
from almondspread.jobs.waves import (
    Machine,
    MachineState,
    MaintenanceOrder,
    MaintenanceWave,
    OrderOutcome,
    WaveRecord,
)

# Time for runs to end or move before the machine is taken down.
EVACUATION_TIME = timedelta(seconds=3)
# How many runs an upstream has, ``None`` where that is not known.
CountRuns = Callable[[str], int | None]
# The planner aims to complete a wave within this share of its time.
TARGET_TIME_SHARE = 0.7


@define(eq=False)
class MaintenancePlanner:
    """Plans all maintenance waves of the cell for the leader of one epoch.

    ``duration`` is how long a machine is down. The leader stores the record with an
    order before it sends the order, so that the next leader counts the machine as down.
    """

    duration: timedelta
    machines: dict[str, Machine] = field(factory=dict)
    _waves: dict[int, WaveProgress] = field(factory=dict)
    _records: dict[int, WaveRecord] = field(factory=dict)

    @property
    def cycle(self) -> timedelta:
        """How long one machine takes, from its evacuation until it is up again."""
        return EVACUATION_TIME + self.duration + SETTLING_TIME

    @property
    def is_busy(self) -> bool:
        """Whether any wave is incomplete."""
        return any(not progress.is_complete for progress in self._waves.values())

    def restore_records(self, records: tuple[WaveRecord, ...]) -> None:
        """Load the records of earlier leaders; call this before adding any wave."""
        for record in records:
            if record.completed:
                record = evolve(record, ordered=(), done=())
            self._records[record.number] = record

    def add_wave(
        self, wave: MaintenanceWave, now: timedelta, store_time: timedelta
    ) -> None:
        """Add a wave; adding a known or completed wave again has no effect."""
        if wave.number in self._waves:
            return
        record = self._records.get(wave.number)
        if record is not None and record.completed:
            return
        if record is None:
            record = WaveRecord(wave.number, store_time.total_seconds())
        elapsed = store_time - timedelta(seconds=record.seen)
        due = now + TARGET_TIME_SHARE * wave.within - elapsed
        progress = WaveProgress(wave, record.seen, due, done=set(record.done))
        for name in record.ordered:
            # The record does not tell which upstream ran on the machine.
            progress.orders[name] = WaveOrder("", inherited=now)
        self._waves[wave.number] = progress
        logger.info(
            "maintenance wave added",
            wave=wave.number,
            machines=len(wave.machines),
            limit=wave.limit,
            within=wave.within.total_seconds(),
            ordered=len(record.ordered),
            done=len(record.done),
        )

    def update_machines(self, machines: list[Machine], requested_at: timedelta) -> None:
        """Replace the list of machines with the one requested at ``requested_at``."""
        self.machines = {machine.name: machine for machine in machines}
        for progress in self._waves.values():
            for name in progress.wave.machines:
                machine = self.machines.get(name)
                if machine is None:
                    self._mark_done(progress, name, "gone")
                    continue
                order = progress.orders.get(name)
                if order is None:
                    continue
                if order.is_over(machine, requested_at):
                    self._mark_done(progress, name, "maintained")
                elif order.sent is None and machine.state is MachineState.UP:
                    order.upstream = machine.upstream

    def _mark_done(self, progress: WaveProgress, name: str, outcome: str) -> None:
        """Mark a machine as done with the wave."""
        if name in progress.done:
            return
        progress.evacuating.pop(name, None)
        progress.orders.pop(name, None)
        progress.done.add(name)
        logger.info(
            "machine done with wave",
            wave=progress.wave.number,
            machine=name,
            outcome=outcome,
        )

    def plan_orders(
        self,
        now: timedelta,
        count_runs: CountRuns,
        may_stop: Callable[[str, Collection[str]], bool],
    ) -> list[MaintenanceOrder]:
        """Return the orders to send once the records are stored.

        ``count_runs`` returns how many runs an upstream has, and ``may_stop`` whether
        all of them may be stopped while other upstreams may be taken down. An upstream
        stays up while it is not known what it runs.
        """
        going_down = self._list_upstreams_going_down(now)

        def may_leave(upstream: str) -> bool:
            others = going_down - {upstream}
            return _may_leave(count_runs(upstream), lambda: may_stop(upstream, others))

        due_orders = []
        for progress in self._waves.values():
            self._begin_evacuations(progress, now, count_runs)
            for name, since in list(progress.evacuating.items()):
                machine = self.machines[name]
                is_overdue = now - since >= EVACUATION_TIME
                is_empty = count_runs(machine.upstream) == 0
                if machine.state is not MachineState.UP:
                    continue
                if is_empty or (is_overdue and may_leave(machine.upstream)):
                    del progress.evacuating[name]
                    progress.orders[name] = WaveOrder(machine.upstream)
                    going_down.add(machine.upstream)
            for name, order in progress.orders.items():
                if order.is_due(now) and may_leave(order.upstream):
                    due_orders.append(MaintenanceOrder(name, progress.wave.number))
                    going_down.add(order.upstream)
            self._log_held_orders(progress, now, may_leave)
        return due_orders

    def may_send(
        self,
        order: MaintenanceOrder,
        now: timedelta,
        count_runs: CountRuns,
        may_stop: Callable[[str, Collection[str]], bool],
    ) -> bool:
        """Tell whether a planned order may still be sent; otherwise it stays due."""
        upstream = self._waves[order.wave].orders[order.machine].upstream
        others = self._list_upstreams_going_down(now) - {upstream}
        return _may_leave(count_runs(upstream), lambda: may_stop(upstream, others))

    def _log_held_orders(
        self,
        progress: WaveProgress,
        now: timedelta,
        may_leave: Callable[[str], bool],
    ) -> None:
        """Log once for each machine that its tasks keep it up after its time."""
        for name, since in progress.evacuating.items():
            machine = self.machines[name]
            if name in progress.held or now - since < EVACUATION_TIME:
                continue
            if machine.state is not MachineState.UP or may_leave(machine.upstream):
                continue
            progress.held.add(name)
            logger.warning(
                "maintenance held back",
                wave=progress.wave.number,
                machine=name,
                upstream=machine.upstream,
                reason="too many tasks of a step would be unavailable",
            )

    def _list_upstreams_going_down(self, now: timedelta) -> set[str]:
        """Return the upstreams that orders of any wave may take down."""
        found = set()
        for progress in self._waves.values():
            for order in progress.orders.values():
                if order.upstream and order.may_be_pending(now):
                    found.add(order.upstream)
        return found

    def _begin_evacuations(
        self,
        progress: WaveProgress,
        now: timedelta,
        count_runs: CountRuns,
    ) -> None:
        """Begin to evacuate machines, those with the fewest runs first.

        Those of which it is not known what they run come last.
        """
        ready = []
        for name in progress.list_waiting():
            machine = self.machines.get(name)
            if machine is not None and machine.state is MachineState.UP:
                ready.append(machine)
        ready.sort(key=lambda machine: _rank_runs(count_runs(machine.upstream)))
        count = max(0, progress.count_machines_to_begin(self.cycle, now))
        for machine in ready[:count]:
            progress.evacuating[machine.name] = now
            logger.info(
                "machine evacuation began",
                wave=progress.wave.number,
                machine=machine.name,
                upstream=machine.upstream,
                runs=count_runs(machine.upstream),
            )

    def find_leaving_upstreams(self) -> dict[str, timedelta]:
        """Return the upstreams on leaving machines, and when each may be taken down."""
        leaving = {}
        for progress in self._waves.values():
            for name, since in progress.evacuating.items():
                leaving[self.machines[name].upstream] = since + EVACUATION_TIME
            for order in progress.orders.values():
                if order.upstream:
                    leaving[order.upstream] = timedelta(0)
        return leaving

    def record_sent(self, order: MaintenanceOrder, now: timedelta) -> None:
        """Record that an order is sent."""
        self._waves[order.wave].orders[order.machine].sent = now

    def handle_order_outcome(
        self, order: MaintenanceOrder, outcome: OrderOutcome, now: timedelta
    ) -> str:
        """Record the outcome of an order, and return the upstream that has ended.

        The result is empty if no upstream has ended or its name is not known. An order
        that is done already is answered like one that has just been carried out, so
        that it ends the upstream that was there before the order was first sent, and no
        other. For an order of an earlier leader, nobody knows which that was.
        A refused order stays recorded as sent, because an earlier copy of it may still
        be carried out.
        """
        progress = self._waves[order.wave]
        state = progress.orders.get(order.machine)
        if state is None:
            return ""
        if outcome is OrderOutcome.NEEDLESS:
            self._mark_done(progress, order.machine, "not of the wave")
        if outcome is not OrderOutcome.TAKEN:
            return ""
        state.taken = now
        return "" if state.inherited is not None else state.upstream

    def list_records(self) -> tuple[WaveRecord, ...]:
        """Return the records of all waves to store, in order of the wave numbers."""
        records = dict(self._records)
        for number, progress in self._waves.items():
            records[number] = progress.make_record()
        return tuple(records[number] for number in sorted(records))


def _may_leave(runs: int | None, may_stop: Callable[[], bool]) -> bool:
    """Tell whether a machine may go down with the runs of its upstream."""
    if runs is None:
        return False
    return runs == 0 or may_stop()


def _rank_runs(runs: int | None) -> tuple[bool, int]:
    """Return the rank of an upstream by its runs, the highest if they are unknown."""
    return (runs is None, runs or 0)
