"""Marks of which jobs a leader may have started, where its commits are refused."""

import asyncio

from loguru import logger

from almondspread.codec import encode_message
from almondspread.jobs.ports import (
    ConditionsFailed,
    RowCondition,
    RowName,
    RowPut,
    StoredRow,
    Transaction,
)
from almondspread_daemon.jobs.rows import START_MARK_ROWS, StartMark, decode_row
from almondspread_daemon.jobs.store_access import StoreAccess


class StartMarks:
    """The marks of one epoch.

    A leader stores which jobs it may start with its commits. Where the store refuses
    their part, any one of the marks does instead. A new leader writes its epoch into
    all of them, so that its predecessor can mark no more, and reads what is marked.
    Until then any job may have been started.
    """

    def __init__(self, epoch: int, inherited_version: int, store: StoreAccess) -> None:
        self.inherited_version = inherited_version
        self._epoch = epoch
        self._store = store
        self._versions: dict[RowName, int] = {}

    @property
    def is_fenced(self) -> bool:
        """Whether no earlier leader can mark anything any more."""
        return len(self._versions) == len(START_MARK_ROWS)

    async def fence(self) -> bool:
        """Fence the marks that are not fenced yet; return whether all are."""
        names = [name for name in START_MARK_ROWS if name not in self._versions]
        await asyncio.gather(*(self._fence_one(name) for name in names))
        return self.is_fenced

    async def _fence_one(self, name: RowName) -> None:
        """Take over one mark, if the store gives and takes it."""
        page = await self._store.read(name.table, name.partition)
        if page.is_error():
            logger.warning(
                "mark not read", part=name.partition, reason=page.error.reason
            )
            return
        version, mark = 0, StartMark(0, 0)
        for row in page.ok.rows:
            if row.name == name:
                version = row.version
                mark = decode_row(row, StartMark) or mark
        if mark.epoch > self._epoch:
            return
        if await self._put(name, version, mark.started_version):
            self.inherited_version = max(self.inherited_version, mark.started_version)

    async def write(self, started_version: int) -> bool:
        """Mark jobs up to a version as started; false where no mark took it."""
        for name, version in list(self._versions.items()):
            if await self._put(name, version, started_version):
                logger.info(
                    "starts marked", part=name.partition, version=started_version
                )
                return True
        return False

    async def _put(self, name: RowName, version: int, started_version: int) -> bool:
        """Write one mark under the condition that it is unchanged."""
        mark = encode_message(StartMark(self._epoch, started_version))
        outcome = await self._store.transact(
            Transaction((RowCondition(name, version),), (RowPut(name, mark),))
        )
        if outcome.is_ok():
            self._versions[name] = outcome.ok.version
            return True
        logger.warning(
            "mark not written", part=name.partition, reason=str(outcome.error)[:200]
        )
        if isinstance(outcome.error, ConditionsFailed):
            self._keep_version(name, outcome.error.rows)
        return False

    def _keep_version(self, name: RowName, rows: tuple[StoredRow, ...]) -> None:
        """Take the version of a mark of this epoch whose answer was lost."""
        for row in rows:
            mark = decode_row(row, StartMark)
            if row.name == name and mark is not None and mark.epoch == self._epoch:
                self._versions[name] = row.version
