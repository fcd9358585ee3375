"""Status reports of the owned shards, gathered and appended to the change log."""

import asyncio
from datetime import timedelta
from typing import Any

from expression import Ok, Result
from loguru import logger

from almondspread.changes import Change, ChangeLog, ResourceCache
from almondspread.changes.entries import report_status
from almondspread.clock import Clock
from almondspread.errors import Problem

PUBLISH_INTERVAL = timedelta(milliseconds=400)


class StatusPublisher:
    """Appends the latest report of each workload, many in one entry."""

    def __init__(self, changes: ChangeLog, clock: Clock, author: str) -> None:
        self._changes = changes
        self._clock = clock
        self._author = author
        self._reports: dict[tuple[str, str, str], dict[str, Any]] = {}
        self._wake = asyncio.Event()

    def publish(
        self, shard: str, reports: dict[tuple[str, str], dict[str, Any]]
    ) -> None:
        """Have reports of a shard appended soon; a later report replaces one."""
        for (kind, name), report in reports.items():
            self._reports[(kind, name, shard)] = report
        self._wake.set()

    async def run(self) -> None:
        """Append reports until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            await self.flush()
            await self._clock.sleep(PUBLISH_INTERVAL)

    async def flush(self) -> None:
        """Append all reports that are waiting, or keep them for the next try."""
        reports, self._reports = self._reports, {}
        if not reports:
            return

        def prepare(cache: ResourceCache) -> Result[list[Change], Problem]:
            """Return those reports that still say something new."""
            changes = []
            for (kind, name, shard), report in reports.items():
                item = cache.find(kind, name)
                if item is None or item.created_revision != report["created_revision"]:
                    continue
                if item.reports.get(shard) == report:
                    continue
                changes.append(report_status(kind, name, shard, report))
            return Ok(changes)

        appended = await self._changes.append(self._author, prepare)
        if appended.is_error():
            logger.warning("status reports wait: {}", appended.error.message)
            self._reports = {**reports, **self._reports}
            self._wake.set()
