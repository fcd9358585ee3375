"""Follows in the store what operators publish: configurations and maintenance waves."""

from collections.abc import Callable
from datetime import timedelta

from loguru import logger

from almondspread.clock import Clock
from almondspread.jobs.apply_budget import ApplyBudget
from almondspread.jobs.operator_rows import OperatorRowStates
from almondspread.jobs.ports import HistoryGone
from almondspread_daemon.jobs.store_access import StoreAccess

NO_WAIT = timedelta(0)
FAILURES_UNTIL_READING = 2


class OperationsFeed:
    """Passes on the rows that operators write, as the store tells of them.

    ``take_all`` is called with readings of all rows, and ``take_changes`` with the rows
    that have changed, or with none where there is no change. After a call without an
    answer, the next one does not wait, so that a change is known as soon as any call is
    answered.
    """

    def __init__(
        self,
        store: StoreAccess,
        clock: Clock,
        budget: ApplyBudget,
        take_all: Callable[[OperatorRowStates], None],
        take_changes: Callable[[OperatorRowStates], None],
    ) -> None:
        self._store = store
        self._clock = clock
        self._budget = budget
        self._take_all = take_all
        self._take_changes = take_changes
        self._failures = 0

    async def run(self) -> None:
        """Read all rows, and then follow their changes, until cancelled."""
        while True:
            read = await self._store.read_operator_rows()
            if read.is_error():
                await self._pause("operators' rows not read", read.error.reason)
                continue
            self._failures = 0
            self._take_all(read.ok)
            await self._follow(read.ok.version)

    async def _follow(self, version: int) -> None:
        """Pass on the changes after a version, until all rows have to be read."""
        while self._failures < FAILURES_UNTIL_READING:
            wait = self._budget.wait if not self._failures else NO_WAIT
            changed = await self._store.follow_operator_rows(version, wait)
            if changed.is_ok():
                self._failures = 0
                version = max(version, changed.ok.version)
                self._take_changes(changed.ok)
                continue
            if isinstance(changed.error, HistoryGone):
                await self._pause("feed of operators' rows interrupted", "history gone")
                return
            await self._pause(
                "feed of operators' rows interrupted", changed.error.reason
            )

    async def _pause(self, message: str, reason: str) -> None:
        """Log a failed call, and wait until the next one."""
        self._failures += 1
        logger.warning(message, reason=reason, failures=self._failures)
        await self._clock.sleep(self._budget.choose_retry_delay(self._failures))
