"""Commits the events of idempotency keys to a shard's journal, in groups."""

import asyncio
from datetime import timedelta

from loguru import logger

from almondspread.clock import Clock
from almondspread.journal import CorruptJournal, Journal
from almondspread.requests import KEY_EVENT_CODEC, KeyTable
from almondspread.requests.events import KeyEvent

RECOVERY_RETRY_DELAY = timedelta(milliseconds=500)
ROWS_BEFORE_SNAPSHOT = 200


class KeyJournal:
    """Keeps the table of a shard's keys and journals each change of it.

    ``records`` holds the committed events. It is complete once ``recovered`` is set.
    After ``close``, no further event is committed.
    """

    def __init__(self, shard: str, journal: Journal, clock: Clock) -> None:
        self.records = KeyTable()
        self.recovered = False
        self.closed = False
        self._shard = shard
        self._journal = journal
        self._clock = clock
        self._queue: asyncio.Queue[tuple[KeyEvent, asyncio.Future[bool]] | None] = (
            asyncio.Queue()
        )
        self._snapshot_task: asyncio.Task[None] | None = None

    async def recover(self) -> None:
        """Rebuild the records from the latest snapshot and the rows after it.

        Raises ``CorruptJournal`` if the snapshot cannot be decoded.
        """
        while True:
            recovered = await self._journal.recover()
            if recovered.is_ok():
                break
            await self._clock.sleep(RECOVERY_RETRY_DELAY)
        if recovered.ok.snapshot is not None:
            try:
                self.records.load(recovered.ok.snapshot)
            except ValueError as error:
                raise CorruptJournal(self._shard, "its snapshot", str(error)) from error
        for row in recovered.ok.rows:
            for event in row.events:
                self.records.apply(KEY_EVENT_CODEC.decode(event))
        self.recovered = True

    def commit(self, event: KeyEvent) -> asyncio.Future[bool]:
        """Queue an event; the future resolves to whether it was committed."""
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        if self.closed:
            future.set_result(False)
        else:
            self._queue.put_nowait((event, future))
        return future

    def end(self) -> None:
        """Have ``commit_group`` return false once all queued events are committed."""
        self._queue.put_nowait(None)

    async def commit_group(self) -> bool:
        """Commit all queued events as one row; wait for one if there is none.

        The result is false after a failed commit and after ``end``.
        """
        items = [await self._queue.get()]
        while not self._queue.empty():
            items.append(self._queue.get_nowait())
        pairs = [item for item in items if item is not None]
        if pairs and not await self._commit_pairs(pairs):
            return False
        return None not in items

    async def _commit_pairs(
        self, pairs: list[tuple[KeyEvent, asyncio.Future[bool]]]
    ) -> bool:
        """Commit events as one row, and resolve their futures."""
        encoded = [KEY_EVENT_CODEC.encode(event) for event, _ in pairs]
        is_committed = False
        try:
            committed = await self._journal.commit(encoded)
            is_committed = committed.is_ok()
        finally:
            # If this task is cancelled, the table may still store the row. That
            # is safe: none of its requests was sent, and the answers in it are
            # delivered to the next owner.
            for event, future in pairs:
                if is_committed:
                    self.records.apply(event)
                if not future.done():
                    future.set_result(is_committed)
        return is_committed

    def start_snapshot_if_due(self) -> bool:
        """Start a snapshot if the journal has many rows; return whether it did.

        A snapshot bounds the number of rows that the next owner reads at takeover.
        """
        if self._journal.rows_since_snapshot < ROWS_BEFORE_SNAPSHOT:
            return False
        if self._snapshot_task is not None and not self._snapshot_task.done():
            return False
        data = self.records.encode()
        self._snapshot_task = asyncio.create_task(self._write_snapshot(data))
        return True

    async def _write_snapshot(self, data: bytes) -> None:
        """Write a snapshot while commits go on."""
        written = await self._journal.write_snapshot(data)
        if written.is_error():
            logger.info(
                "snapshot of shard {} not written: a later epoch owns it", self._shard
            )

    def close(self) -> None:
        """Report the queued events as not committed, and write no snapshot."""
        self.closed = True
        while not self._queue.empty():
            item = self._queue.get_nowait()
            if item is not None and not item[1].done():
                item[1].set_result(False)
        if self._snapshot_task is not None:
            self._snapshot_task.cancel()
