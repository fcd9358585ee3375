"""Carries out maintenance waves: stores each order, then sends it to the platform."""

from datetime import timedelta

from attrs import evolve
from loguru import logger

from almondspread.clock import Clock
from almondspread.codec import encode_message
from almondspread.jobs.maintenance import MaintenancePlanner
from almondspread.jobs.ports import (
    CallFailed,
    ConditionsFailed,
    MachineCall,
    MachineClient,
    RowCondition,
    Transaction,
)
from almondspread.jobs.scheduler import Scheduler
from almondspread.jobs.waves import (
    MaintenanceOrder,
    MaintenanceWave,
    OrderOutcome,
    WaveRecord,
)
from almondspread_daemon.jobs.commits import Committer
from almondspread_daemon.jobs.remote_clock import RemoteClock
from almondspread_daemon.jobs.row_chunks import (
    StoredChunks,
    pack_chunks,
    parse_chunk_key,
)
from almondspread_daemon.jobs.rows import MAINTENANCE_ROW, MaintenanceRow, decode_row
from almondspread_daemon.jobs.settings import JobSettings
from almondspread_daemon.jobs.store_access import StoreAccess

STEP_INTERVAL = timedelta(milliseconds=300)
CALL_TIMEOUT = timedelta(seconds=2)
# Room in a row for what comes before the records of the waves.
ROW_HEADER_BYTES = 64


class MaintenanceController:
    """Plans and sends the maintenance orders of one leader epoch.

    Before its first order, the controller writes its epoch into the stored records,
    which fences earlier leaders, and waits for the handover delay, so that an earlier
    leader does not send orders at the same time. The controller sends no orders while
    the leader lease is not valid. ``is_fenced`` is set once a later epoch is seen; the
    controller then stops.
    """

    def __init__(
        self,
        committer: Committer,
        scheduler: Scheduler,
        settings: JobSettings,
        store: StoreAccess,
        store_clock: RemoteClock,
        machines: MachineClient,
        clock: Clock,
    ) -> None:
        self.waves: tuple[MaintenanceWave, ...] = ()
        self.is_fenced = False
        self._committer = committer
        self._scheduler = scheduler
        self._settings = settings
        self._store = store
        self._store_clock = store_clock
        self._machines = machines
        self._clock = clock
        self._planner = MaintenancePlanner(settings.maintenance_duration)
        self._version: int | None = None
        self._stored: tuple[WaveRecord, ...] = ()
        self._chunks = StoredChunks()

    async def run(self) -> None:
        """Carry out the requested waves until cancelled or fenced.

        Run again after an error, it begins from the stored records: each order is
        stored before it is sent.
        """
        self._planner = MaintenancePlanner(self._settings.maintenance_duration)
        self._version = None
        begins_at = self._clock.monotonic() + self._settings.handover_delay
        while not self.is_fenced:
            if self.waves and self._committer.lease_holds:
                await self.step(may_order=self._clock.monotonic() >= begins_at)
            await self._clock.sleep(STEP_INTERVAL)
        logger.warning("maintenance stopped, fenced by a later leader")

    async def step(self, *, may_order: bool = True) -> None:
        """Plan the orders that are due now, store them and then send them.

        Without ``may_order`` it only keeps tasks off the upstreams that orders of an
        earlier leader may take down.
        """
        if self._version is None and not await self._take_over():
            return
        for wave in self.waves:
            now = self._clock.monotonic()
            self._planner.add_wave(wave, now, self._store_clock.now())
        if self._planner.is_busy and not await self._read_machines():
            return
        if not may_order:
            self._scheduler.set_leave_times(self._planner.find_leaving_upstreams())
            return
        orders = self._planner.plan_orders(
            self._clock.monotonic(),
            self._scheduler.count_runs,
            self._scheduler.may_stop_all,
        )
        self._scheduler.set_leave_times(self._planner.find_leaving_upstreams())
        if not await self._store_records():
            return
        for order in orders:
            if not self._committer.lease_holds or self.is_fenced:
                return
            # Upstreams may have been lost while the earlier orders were under way.
            if self._planner.may_send(
                order,
                self._clock.monotonic(),
                self._scheduler.count_runs,
                self._scheduler.may_stop_all,
            ):
                await self._send_order(order)

    async def _take_over(self) -> bool:
        """Read the records of earlier leaders, and fence these leaders."""
        page = await self._store.read(
            MAINTENANCE_ROW.table, MAINTENANCE_ROW.partition, MAINTENANCE_ROW.key
        )
        if page.is_error():
            logger.warning("maintenance records not read", reason=page.error.reason)
            return False
        version, epoch = 0, 0
        waves: list[WaveRecord] = []
        for stored in page.ok.rows:
            if parse_chunk_key(stored.name.key)[0] != MAINTENANCE_ROW.key:
                continue
            row = decode_row(stored, MaintenanceRow)
            if row is not None:
                epoch = max(epoch, row.epoch)
                waves.extend(row.waves)
            if stored.name == MAINTENANCE_ROW:
                version = stored.version
        if epoch > self._scheduler.epoch:
            self.is_fenced = True
            return False
        self._chunks.restore(stored.name for stored in page.ok.rows)
        self._planner.restore_records(tuple(waves))
        self._version = version
        self._stored = self._planner.list_records()
        if await self._write(self._stored):
            return True
        self._version = None
        return False

    async def _read_machines(self) -> bool:
        """Read the machines from the platform and update the planner with them."""
        requested_at = self._clock.monotonic()
        listed = await self._machines.list_machines(CALL_TIMEOUT)
        if listed.is_error():
            logger.warning("machine list not read", reason=listed.error.reason)
            return False
        machines = []
        for machine in listed.ok:
            upstream = self._scheduler.find_upstream_of(machine.upstream)
            machines.append(evolve(machine, upstream=upstream))
        self._planner.update_machines(machines, requested_at)
        return True

    async def _store_records(self) -> bool:
        """Store the progress of the waves if it has changed."""
        records = self._planner.list_records()
        return records == self._stored or await self._write(records)

    async def _write(self, records: tuple[WaveRecord, ...]) -> bool:
        """Store records, and update the status that operators see of changed waves."""
        assert self._version is not None
        chunks = pack_chunks(
            records,
            lambda record: len(encode_message(record)),
            self._settings.store_limits.row_bytes - ROW_HEADER_BYTES,
        )
        values = []
        for chunk in chunks:
            row = MaintenanceRow(self._scheduler.epoch, tuple(chunk))
            values.append(encode_message(row))
        change = self._chunks.plan_write(MAINTENANCE_ROW, values)
        puts = list(change.puts)
        for record in records:
            if record not in self._stored:
                puts.append(self._store.make_wave_row(record.number, record.completed))
        self._chunks.record_sent(change)
        condition = RowCondition(MAINTENANCE_ROW, self._version)
        outcome = await self._store.transact(
            Transaction((condition,), tuple(puts), change.removals)
        )
        if outcome.is_ok():
            self._chunks.record_stored(change)
            self._version = outcome.ok.version
            self._stored = records
            return True
        logger.warning(
            "maintenance records not stored", reason=str(outcome.error)[:200]
        )
        if isinstance(outcome.error, ConditionsFailed):
            self._resolve_conflict(outcome.error)
        return False

    def _resolve_conflict(self, conflict: ConditionsFailed) -> None:
        """Handle a failed condition on the stored records.

        A higher epoch fences this controller. A row of this epoch is an own write whose
        answer was lost; its version is taken over.
        """
        for row in conflict.rows:
            stored = decode_row(row, MaintenanceRow)
            if row.name != MAINTENANCE_ROW or stored is None:
                continue
            if stored.epoch > self._scheduler.epoch:
                self.is_fenced = True
            elif stored.epoch == self._scheduler.epoch:
                self._version = row.version

    async def _send_order(self, order: MaintenanceOrder) -> None:
        """Send the platform one stored order, and record its outcome."""
        self._planner.record_sent(order, self._clock.monotonic())
        call = MachineCall(
            order.machine, self._committer.row.instance, self._scheduler.epoch
        )
        result = await self._machines.start_maintenance(call, order.wave, CALL_TIMEOUT)
        outcome = OrderOutcome.TAKEN
        if result.is_error():
            outcome = _classify_failure(result.error)
            self.is_fenced = self.is_fenced or result.error.fenced
        logger.info(
            "maintenance order sent",
            wave=order.wave,
            machine=order.machine,
            epoch=self._scheduler.epoch,
            outcome=outcome,
            reason=result.error.reason if result.is_error() else "",
        )
        ended_upstream = self._planner.handle_order_outcome(
            order, outcome, self._clock.monotonic()
        )
        if ended_upstream:
            self._scheduler.record_machine_down(ended_upstream, self._clock.monotonic())


def _classify_failure(failure: CallFailed) -> OrderOutcome:
    """Return the outcome of an order whose call failed."""
    if failure.permanent:
        return OrderOutcome.NEEDLESS
    return OrderOutcome.REFUSED if failure.not_done else OrderOutcome.UNKNOWN
