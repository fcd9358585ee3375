"""Watches: the change log as JSON lines, from any revision that is kept."""

import asyncio
import json
from datetime import timedelta
from typing import Any

from tornado.iostream import StreamClosedError

from almondspread.changes import Change, Entry
from almondspread.errors import Expired
from almondspread.resources import KINDS
from almondspread_daemon.http.base import EntryHandler
from almondspread_daemon.http.resources import parse_selector
from almondspread_daemon.resources import documents

BOOKMARK_INTERVAL = timedelta(seconds=10)
SEND_TIMEOUT = timedelta(seconds=10)


class WatchHandler(EntryHandler):
    """Streams changes until the caller goes, falls too far behind, or a stop."""

    async def get(self) -> None:
        """Answer one line for each change."""
        start = self.read_number("from", None)
        selector = parse_selector(self.get_query_argument("selector", ""))
        for result in (start, selector):
            if result.is_error():
                return self.refuse(result.error)
        kinds = [k for k in self.get_query_argument("kinds", "").split(",") if k]
        self._kinds = set(kinds or KINDS)
        self._labels = selector.ok
        cache = self.entry.changes.cache
        revision = cache.revision if start.ok is None else start.ok
        if revision < cache.oldest_revision:
            return self.refuse(
                Expired(
                    f"revision {revision} is not kept; the oldest is "
                    f"{cache.oldest_revision}",
                    "list the resources again and watch from that revision",
                )
            )
        self.set_header("Content-Type", "application/jsonlines")
        await self._stream(revision)

    async def _stream(self, revision: int) -> None:
        """Send what comes after a revision, again and again."""
        cache = self.entry.changes.cache
        await self._send({"type": "bookmark", "revision": revision})
        while not self.entry.stopping:
            entries = cache.list_entries_after(revision)
            if entries is None:
                await self._send({"type": "expired", "revision": cache.oldest_revision})
                return
            for entry in entries:
                if not await self._send_entry(entry):
                    return
                revision = entry.revision
            if entries:
                continue
            if not await self.entry.follower.wait_for_change(
                revision, BOOKMARK_INTERVAL
            ):
                if not await self._send({"type": "bookmark", "revision": revision}):
                    return

    async def _send_entry(self, entry: Entry) -> bool:
        """Send the changes of an entry that the watch asks for."""
        for change in entry.changes:
            if change.kind not in self._kinds:
                continue
            line = self._describe(entry, change)
            if line is not None and not await self._send(line):
                return False
        return True

    def _describe(self, entry: Entry, change: Change) -> dict[str, Any] | None:
        """Return the line for a change, ``None`` where the selector leaves it out."""
        line: dict[str, Any] = {
            "type": "changed",
            "revision": entry.revision,
            "kind": change.kind,
            "name": change.name,
        }
        if change.part == "spec" and change.value is None:
            return {**line, "type": "deleted"}
        item = self.entry.changes.cache.find(change.kind, change.name)
        if self._labels and (item is None or not documents.matches(item, self._labels)):
            return None
        status = self.entry.describe_item(item)["status"] if item else None
        if change.part == "spec":
            return {**line, "document": change.load(), "status": status}
        return {**line, "type": "status", "status": status}

    async def _send(self, line: dict[str, Any]) -> bool:
        """Send one line; false once the caller is gone or too slow."""
        self.write(json.dumps(line, separators=(",", ":")) + "\n")
        try:
            await asyncio.wait_for(self.flush(), SEND_TIMEOUT.total_seconds())
        except (StreamClosedError, TimeoutError):
            return False
        return True
