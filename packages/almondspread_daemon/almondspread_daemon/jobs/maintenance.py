"""Carries out maintenance waves: stores each order, then gives it to the platform."""

from datetime import timedelta

from loguru import logger

from almondspread.clock import Clock
from almondspread.codec import encode_message
from almondspread.jobs.maintenance import (
    MaintenanceOrder,
    MaintenancePlanner,
    MaintenanceWave,
    OrderOutcome,
    WaveRecord,
)
from almondspread.jobs.messages import UpstreamSilent
from almondspread.jobs.ports import (
    CallFailed,
    ConditionsFailed,
    MachineCall,
    MachineClient,
    RowCondition,
    RowPut,
    Transaction,
)
from almondspread.jobs.scheduler import Scheduler
from almondspread_daemon.jobs.commits import Committer
from almondspread_daemon.jobs.rows import MAINTENANCE_ROW, MaintenanceRow, decode_row
from almondspread_daemon.jobs.settings import JobSettings
from almondspread_daemon.jobs.store_access import StoreAccess
from almondspread_daemon.jobs.store_clock import StoreClock

STEP_INTERVAL = timedelta(milliseconds=300)
CALL_TIMEOUT = timedelta(seconds=2)


class MaintenanceController:
    """What the leader of one epoch does for maintenance waves.

    It writes its epoch into the stored records before it orders anything, so that no
    earlier leader can add orders, and leaves machines alone for a while, so that none
    takes turns with it. While its lease does not hold it orders nothing.
    """

    def __init__(
        self,
        committer: Committer,
        scheduler: Scheduler,
        settings: JobSettings,
        store: StoreAccess,
        store_clock: StoreClock,
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

    async def run(self) -> None:
        """Carry out the waves that operators ask for, until cancelled or fenced."""
        await self._clock.sleep(self._settings.handover_delay)
        while not self.is_fenced:
            if self.waves and self._committer.lease_holds:
                await self.step()
            await self._clock.sleep(STEP_INTERVAL)
        logger.warning("maintenance left to a later leader")

    async def step(self) -> None:
        """Do what is due now."""
        if self._version is None and not await self._take_over():
            return
        for wave in self.waves:
            now = self._clock.monotonic()
            self._planner.add_wave(wave, now, self._store_clock.now())
        if self._planner.is_busy and not await self._read_machines():
            return
        orders = self._planner.plan_orders(
            self._clock.monotonic(),
            self._scheduler.count_runs,
            self._scheduler.may_stop_all,
        )
        self._scheduler.set_leave_times(self._planner.find_leaving_upstreams())
        if not await self._record():
            return
        for order in orders:
            if self._committer.lease_holds and not self.is_fenced:
                await self._give(order)

    async def _take_over(self) -> bool:
        """Read what earlier leaders stored, and keep them from storing more."""
        page = await self._store.read(
            MAINTENANCE_ROW.table, MAINTENANCE_ROW.partition, MAINTENANCE_ROW.key
        )
        if page.is_error():
            logger.warning("maintenance not read", reason=page.error.reason)
            return False
        version, row = 0, MaintenanceRow(0)
        for stored in page.ok.rows:
            if stored.name == MAINTENANCE_ROW:
                version = stored.version
                row = decode_row(stored, MaintenanceRow) or row
        if row.epoch > self._scheduler.epoch:
            self.is_fenced = True
            return False
        self._planner.restore_records(row.waves)
        self._version = version
        self._stored = row.waves
        if await self._write(row.waves):
            return True
        self._version = None
        return False

    async def _read_machines(self) -> bool:
        """Have the planner know all machines."""
        asked = self._clock.monotonic()
        listed = await self._machines.list_machines(CALL_TIMEOUT)
        if listed.is_error():
            logger.warning("machines not read", reason=listed.error.reason)
            return False
        self._planner.update_machines(listed.ok, asked)
        return True

    async def _record(self) -> bool:
        """Store how far the waves have come, if that has changed."""
        records = self._planner.list_records()
        return records == self._stored or await self._write(records)

    async def _write(self, records: tuple[WaveRecord, ...]) -> bool:
        """Store records, and tell operators of the waves that changed."""
        assert self._version is not None
        row = MaintenanceRow(self._scheduler.epoch, records)
        puts = [RowPut(MAINTENANCE_ROW, encode_message(row))]
        for record in records:
            if record not in self._stored:
                puts.append(self._store.make_wave_row(record.number, record.completed))
        outcome = await self._store.transact(
            Transaction((RowCondition(MAINTENANCE_ROW, self._version),), tuple(puts))
        )
        if outcome.is_ok():
            self._version = outcome.ok.version
            self._stored = records
            return True
        logger.warning("maintenance not stored", reason=str(outcome.error)[:200])
        if isinstance(outcome.error, ConditionsFailed):
            self._resolve_conflict(outcome.error)
        return False

    def _resolve_conflict(self, conflict: ConditionsFailed) -> None:
        """Tell a later leader from an own write whose answer was lost."""
        for row in conflict.rows:
            stored = decode_row(row, MaintenanceRow)
            if row.name != MAINTENANCE_ROW or stored is None:
                continue
            if stored.epoch > self._scheduler.epoch:
                self.is_fenced = True
            elif stored.epoch == self._scheduler.epoch:
                self._version = row.version

    async def _give(self, order: MaintenanceOrder) -> None:
        """Give the platform one order that is stored."""
        self._planner.record_sent(order, self._clock.monotonic())
        call = MachineCall(
            order.machine, self._committer.row.instance, self._scheduler.epoch
        )
        taken = await self._machines.start_maintenance(call, order.wave, CALL_TIMEOUT)
        outcome = OrderOutcome.TAKEN
        if taken.is_error():
            outcome = _classify(taken.error)
            self.is_fenced = self.is_fenced or taken.error.fenced
        logger.info(
            "maintenance ordered",
            wave=order.wave,
            machine=order.machine,
            epoch=self._scheduler.epoch,
            outcome=outcome,
            reason=taken.error.reason if taken.is_error() else "",
        )
        upstream = self._planner.handle_order_outcome(
            order, outcome, self._clock.monotonic()
        )
        if upstream:
            self._scheduler.handle_report(
                UpstreamSilent(
                    upstream, self._scheduler.epoch, timedelta(0), replaced=True
                ),
                self._clock.monotonic(),
            )


def _classify(failure: CallFailed) -> OrderOutcome:
    """Return what came of an order that failed."""
    if failure.permanent:
        return OrderOutcome.NEEDLESS
    return OrderOutcome.REFUSED if failure.not_done else OrderOutcome.UNKNOWN
