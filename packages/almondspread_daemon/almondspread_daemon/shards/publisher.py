"""Batching of status reports, and their append to the change log.

Every instance forwards its reports to one instance, the appender, so that the reports
of the whole cell share entries and the instances do not compete for the head of the
log. The choice of the appender is only a hint: an instance that cannot reach the
appender appends its reports itself. Each report has an order, which keeps a late report
from replacing a newer one.
"""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from expression import Ok, Result
from loguru import logger

from almondspread.changes import Change, ChangeLog, ResourceCache
from almondspread.changes.entries import make_status_change
from almondspread.clock import Clock
from almondspread.codec import decode_message, encode_message
from almondspread.errors import Problem
from almondspread.ownership.ranking import rank_owners
from almondspread_daemon.membership import Neighbours
from almondspread_daemon.peers import CallContext
from almondspread_daemon.peers.messages import Accepted, Refused, ReportStatuses, refuse

PUBLISH_INTERVAL = timedelta(milliseconds=400)
MAX_PUBLISH_INTERVAL = timedelta(seconds=2)
FORWARD_TIMEOUT = timedelta(seconds=8)
BYTES_PER_SECOND = 8_192
APPENDER = "changes/appender"

ReportKey = tuple[str, str, str]


class StatusPublisher:
    """Appends the latest report of each workload, with many reports in one entry."""

    def __init__(
        self,
        changes: ChangeLog,
        clock: Clock,
        name: str,
        neighbours: Neighbours,
        find_epoch: Callable[[str], int],
    ) -> None:
        self._changes = changes
        self._clock = clock
        self._name = name
        self._neighbours = neighbours
        self._find_epoch = find_epoch
        self._sequence = 0
        self._reports: dict[ReportKey, Change] = {}
        self._forwarded: list[ReportStatuses] = []
        self._wake_event = asyncio.Event()
        self._append_future: asyncio.Future[Result[int, Problem]] | None = None

    def publish(
        self, shard: str, reports: dict[tuple[str, str], dict[str, Any]]
    ) -> None:
        """Queue reports of a shard; each replaces a queued one of the same workload."""
        self._sequence += 1
        order = [self._find_epoch(shard), self._sequence]
        for (kind, name), report in reports.items():
            change = make_status_change(kind, name, shard, {**report, "order": order})
            self._reports[(kind, name, shard)] = change
        self._wake_event.set()

    async def run(self) -> None:
        """Append reports until cancelled."""
        while True:
            await self._wake_event.wait()
            self._wake_event.clear()
            size = await self.flush()
            # A burst of reports is spread over time, so that the other instances can
            # follow the log at low cost.
            pause = min(
                timedelta(seconds=size / BYTES_PER_SECOND), MAX_PUBLISH_INTERVAL
            )
            await self._clock.sleep(max(PUBLISH_INTERVAL, pause))

    async def flush(self) -> int:
        """Forward or append all queued reports; keep them for a retry after a failure.

        Returns the size of the reports in bytes.
        """
        reports, self._reports = self._reports, {}
        if not reports and not self._forwarded:
            return 0
        changes = list(reports.values())
        size = sum(len(change.value or b"") for change in changes)
        if not await self._forward(changes):
            size += await self._append(reports)
        return size

    async def _forward(self, changes: list[Change]) -> bool:
        """Send reports to the appender; return whether it confirmed the append.

        If this instance is the appender, or peers wait for it to append their reports,
        false is returned without a call.
        """
        if self._forwarded or not changes:
            return False
        address = self._find_appender()
        if address is None:
            return False
        encoded = tuple(encode_message(change) for change in changes)
        message = ReportStatuses(self._name, encoded)
        outcome = await self._neighbours.call(address, message, FORWARD_TIMEOUT)
        return outcome.is_ok() and isinstance(outcome.ok, Accepted)

    def _find_appender(self) -> str | None:
        """Return the address of the appender, ``None`` if it is this instance."""
        addresses = {}
        for member in self._neighbours.list_live():
            if member.ready and not member.leaving and not member.fault:
                addresses[member.name] = member.address
        ranked = rank_owners(APPENDER, [self._name, *addresses])
        return addresses.get(ranked[0])

    async def _append(self, reports: dict[ReportKey, Change]) -> int:
        """Append own and forwarded reports; return the bytes of the forwarded ones."""
        forwarded, self._forwarded = self._forwarded, []
        waiting, self._append_future = self._append_future, None
        changes = list(reports.values())
        size = 0
        for message in forwarded:
            for data in message.reports:
                changes.append(decode_message(data, Change))
                size += len(data)

        def prepare(cache: ResourceCache) -> Result[list[Change], Problem]:
            """Return the reports that change a status in the cache."""
            return Ok(select_new_reports(cache, changes))

        appended = await self._changes.append(self._name, prepare)
        if appended.is_error():
            logger.warning(
                "status reports could not be appended and are retried: {}",
                appended.error.message,
            )
            self._reports = {**reports, **self._reports}
            self._wake_event.set()
        if waiting is not None and not waiting.done():
            waiting.set_result(appended)
        return size

    async def handle_reports(
        self, message: ReportStatuses, _: CallContext
    ) -> Accepted | Refused:
        """Append the reports of a peer together with the next reports of this instance.

        Raises ``ValueError`` for a change that is not a status report.
        """
        for data in message.reports:
            if not decode_message(data, Change).part.startswith("status/"):
                raise ValueError("a peer sent a change that is not a status report")
        self._forwarded.append(message)
        if self._append_future is None:
            self._append_future = asyncio.get_running_loop().create_future()
        waiting = self._append_future
        self._wake_event.set()
        appended = await asyncio.shield(waiting)
        if appended.is_error():
            return refuse(appended.error)
        return Accepted()


def select_new_reports(cache: ResourceCache, reports: list[Change]) -> list[Change]:
    """Return the latest report of each part that changes a status in the cache.

    Reports on resources that were removed or replaced are left out, and so are reports
    whose order is not higher than that of the cached report.
    """
    latest: dict[ReportKey, tuple[list[int], Change]] = {}
    for change in reports:
        item = cache.find(change.kind, change.name)
        report = change.load()
        if item is None or item.created_revision != report["created_revision"]:
            continue
        shard = change.part.removeprefix("status/")
        known = item.reports.get(shard, {})
        order = report["order"]
        if order <= known.get("order", [0, 0]):
            continue
        if _drop_order(known) == _drop_order(report):
            continue
        key = (change.kind, change.name, shard)
        if key in latest and order <= latest[key][0]:
            continue
        latest[key] = (order, change)
    return [change for _, change in latest.values()]


def _drop_order(report: dict[str, Any]) -> dict[str, Any]:
    """Return a report without its order."""
    return {name: value for name, value in report.items() if name != "order"}
