"""Records which jobs a leader may have started while its commits are refused."""

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
from almondspread.jobs.scheduler import Scheduler
from almondspread_daemon.jobs.commits import Committer
from almondspread_daemon.jobs.rows import START_MARK_ROWS, StartMark, decode_row
from almondspread_daemon.jobs.store_access import StoreAccess


class StartMarks:
    """Reads, fences and writes the start marks for one epoch.

    A leader's commits normally store up to which version it may start jobs. While the
    store refuses the partition of the commits, a write to any one mark replaces that.

    A new leader fences all marks: it writes its epoch into each, so that its
    predecessor can write none any more, and reads the marked versions. Until all marks
    are fenced, the predecessor may have started any job.

    ``inherited_version`` is the highest version up to which earlier leaders may have
    started jobs, as far as the fenced marks and the leader's row tell.
    """

    def __init__(self, epoch: int, inherited_version: int, store: StoreAccess) -> None:
        self.inherited_version = inherited_version
        self._epoch = epoch
        self._store = store
        self._versions: dict[RowName, int] = {}

    @property
    def is_fenced(self) -> bool:
        """Whether all marks are fenced, so that no earlier leader can write one."""
        return len(self._versions) == len(START_MARK_ROWS)

    async def fence(self) -> bool:
        """Try to fence the remaining marks; return whether all are fenced now."""
        names = [name for name in START_MARK_ROWS if name not in self._versions]
        await asyncio.gather(*(self._fence_one(name) for name in names))
        return self.is_fenced

    async def _fence_one(self, name: RowName) -> None:
        """Fence one mark, unless a store call fails or a later epoch has the mark."""
        page = await self._store.read(name.table, name.partition)
        if page.is_error():
            logger.warning(
                "start mark not read", part=name.partition, reason=page.error.reason
            )
            return
        version, mark = 0, StartMark(0, 0)
        for row in page.ok.rows:
            if row.name == name:
                version = row.version
                mark = decode_row(row, StartMark) or mark
        if mark.epoch > self._epoch:
            return
        await self._put(name, version, mark.started_version)
        # A write that was sent twice may be stored although its outcome is a conflict.
        if name in self._versions:
            self.inherited_version = max(self.inherited_version, mark.started_version)

    async def write(self, started_version: int) -> bool:
        """Mark jobs stored up to a version as possibly started.

        Return ``False`` if no mark could be written.
        """
        for name, version in list(self._versions.items()):
            if await self._put(name, version, started_version):
                logger.info(
                    "start mark written", part=name.partition, version=started_version
                )
                return True
        return False

    async def _put(self, name: RowName, version: int, started_version: int) -> bool:
        """Write one mark on the condition that it has not changed."""
        mark = encode_message(StartMark(self._epoch, started_version))
        outcome = await self._store.transact(
            Transaction((RowCondition(name, version),), (RowPut(name, mark),))
        )
        if outcome.is_ok():
            self._versions[name] = outcome.ok.version
            return True
        logger.warning(
            "start mark not written",
            part=name.partition,
            reason=str(outcome.error)[:200],
        )
        if isinstance(outcome.error, ConditionsFailed):
            self._recover_version(name, outcome.error.rows)
        return False

    def _recover_version(self, name: RowName, rows: tuple[StoredRow, ...]) -> None:
        """Update the version of a mark that this epoch wrote without an answer."""
        for row in rows:
            mark = decode_row(row, StartMark)
            if row.name == name and mark is not None and mark.epoch == self._epoch:
                self._versions[name] = row.version


class StartPermission:
    """Tells the scheduler which jobs it may start, beside what commits tell it."""

    def __init__(
        self, marks: StartMarks, committer: Committer, scheduler: Scheduler
    ) -> None:
        self._marks = marks
        self._committer = committer
        self._scheduler = scheduler

    @property
    def is_final(self) -> bool:
        """Whether no earlier leader can mark further jobs as started."""
        return self._marks.is_fenced

    async def mark_if_refused(self) -> bool:
        """Allow starts by a start mark if the store refuses commits.

        Return whether that has allowed further jobs. A job may start only once a
        durable record tells the next leader that the job may have been started.
        """
        scheduler = self._scheduler
        if not (self._committer.is_refused and scheduler.has_unstartable_jobs):
            return False
        version = scheduler.newest_version
        if not await self._marks.write(version):
            return False
        scheduler.allow_starts(version)
        return True

    async def update_inherited_version(self) -> None:
        """Fence the start marks and read which jobs earlier leaders may have started.

        Until all marks are fenced, any job may have been started.
        """
        if await self._marks.fence():
            self._scheduler.inherited_version = self._marks.inherited_version
