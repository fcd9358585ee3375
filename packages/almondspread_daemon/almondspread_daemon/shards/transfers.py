"""Transfers of tasks between scheduling shards, and reports of free capacity."""

from collections.abc import Callable
from datetime import timedelta

from attrs import define, field
from loguru import logger

from almondspread.changes import ResourceCache
from almondspread.clock import Clock
from almondspread.interfaces import Row, TableService, Write
from almondspread.scheduling import CellCapacities, Scheduler
from almondspread.scheduling.overflow import OverflowPlanner, ShardRoom, make_shard_room
from almondspread.scheduling.transfers import (
    TRANSFER_PREFIX,
    Transfer,
    compose_transfer,
    decode_transfer,
    prepare_send,
    should_receive,
)

SCAN_INTERVAL = timedelta(seconds=1)
SCANS_PER_ANNOUNCEMENT = 2
MAX_SCANNED_ROWS = 200
MAX_ROOM_AGE = timedelta(seconds=6)


@define(frozen=True)
class _RoomReport:
    """A shard's report of its free capacity, and when it was received."""

    room: ShardRoom
    received_at: timedelta


@define
class RoomCache:
    """The latest report of free capacity of each scheduling shard."""

    _clock: Clock
    _reports: dict[str, _RoomReport] = field(factory=dict)

    def record_room(self, room: ShardRoom) -> None:
        """Store a shard's report in place of its previous one."""
        self._reports[room.shard] = _RoomReport(room, self._clock.monotonic())

    def get_rooms(self) -> dict[str, ShardRoom]:
        """Return the reports by shard, without those older than ``MAX_ROOM_AGE``."""
        now = self._clock.monotonic()
        rooms = {}
        for shard, report in self._reports.items():
            if now - report.received_at <= MAX_ROOM_AGE:
                rooms[shard] = report.room
        return rooms


@define(frozen=True)
class CellView:
    """What a shard learns from its instance about the other shards.

    ``get_capacities`` returns the capacities of all workers of each shard, and
    ``announce_room`` sends the shard's free capacity to all instances.
    """

    room_cache: RoomCache
    get_capacities: Callable[[], CellCapacities]
    announce_room: Callable[[ShardRoom], None]


class TransferCoordinator:
    """Finds the transfers to one shard, and plans those from it.

    ``incoming`` holds the transfers that the shard should receive, by row key. The
    runner of the shard commits both directions. ``wake_shard`` is called when there
    are transfers to receive.
    """

    def __init__(
        self,
        shard: str,
        scheduler: Scheduler,
        table: TableService,
        cache: ResourceCache,
        cell_view: CellView,
        clock: Clock,
        make_name: Callable[[], str],
        wake_shard: Callable[[], None],
    ) -> None:
        self.incoming: dict[str, tuple[Row, Transfer]] = {}
        self._shard = shard
        self._scheduler = scheduler
        self._table = table
        self._cache = cache
        self._cell_view = cell_view
        self._clock = clock
        self._make_name = make_name
        self._wake_shard = wake_shard
        self._overflow = OverflowPlanner(shard)
        self._last_planned_at = clock.monotonic()
        self._undecodable_rows: set[str] = set()

    async def run(self) -> None:
        """Scan for transfer rows and announce the free capacity until cancelled."""
        while True:
            self._announce_room()
            for _ in range(SCANS_PER_ANNOUNCEMENT):
                rows = await self._table.scan(TRANSFER_PREFIX, "", MAX_SCANNED_ROWS)
                if rows.is_ok():
                    self._update_incoming(rows.ok)
                await self._clock.sleep(SCAN_INTERVAL)

    def _announce_room(self) -> None:
        """Announce this shard's free capacity to the other shards."""
        cell = self._scheduler.cell
        waiting = self._scheduler.count_waiting()
        self._cell_view.announce_room(make_shard_room(self._shard, cell, waiting))

    def _update_incoming(self, rows: list[Row]) -> None:
        """Store the transfers that this shard should receive, and wake the shard."""
        self.incoming = {}
        for row in rows:
            transfer = self._decode_row(row)
            if transfer is None:
                continue
            if not should_receive(transfer, self._shard, self._clock.now().timestamp()):
                continue
            # A workload newer than the cache is indistinguishable from a removed one.
            if transfer.content.created_revision <= self._cache.revision:
                self.incoming[row.key] = (row, transfer)
        if self.incoming:
            self._wake_shard()

    def _decode_row(self, row: Row) -> Transfer | None:
        """Return a row's transfer, ``None`` if the row does not decode."""
        try:
            return decode_transfer(row)
        except ValueError as error:
            if row.key not in self._undecodable_rows:
                self._undecodable_rows.add(row.key)
                logger.error(
                    "row {} does not decode ({}); restore or remove it by hand",
                    row.key,
                    error,
                )
            return None

    def prepare_sends(self) -> list[Write]:
        """Record the planned moves as events and return the transfer rows to write.

        The rows must be written in the transaction that commits the events. Moves are
        planned at most once per ``SCAN_INTERVAL``; other calls return no rows.
        """
        now = self._clock.monotonic()
        if now - self._last_planned_at < SCAN_INTERVAL:
            return []
        self._last_planned_at = now
        moves = self._overflow.plan_moves(
            self._scheduler.list_blocked(),
            self._cell_view.room_cache.get_rooms(),
            self._cell_view.get_capacities().by_shard,
            self._clock.now(),
        )
        writes = []
        for move in moves:
            state = self._scheduler.state.workloads[move.workload]
            transfer = compose_transfer(
                state,
                move,
                self._shard,
                self._make_name(),
                self._clock.now().timestamp(),
            )
            event, write = prepare_send(transfer)
            self._scheduler.decisions.record_event(event)
            writes.append(write)
        return writes
