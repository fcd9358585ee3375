"""The watch handler: it streams the change log as JSON lines.

A watch may start from any revision that is still in the log's history.
"""

import asyncio
from datetime import timedelta

from tornado.iostream import StreamClosedError

from almondspread.errors import Expired, InvalidInput
from almondspread.resources import KINDS
from almondspread_daemon.following.watch_lines import Selection, encode_line
from almondspread_daemon.http.base import EntryHandler
from almondspread_daemon.http.resources import parse_selector

BOOKMARK_INTERVAL = timedelta(seconds=10)
SEND_TIMEOUT = timedelta(seconds=10)
BATCH_BYTES = 16_384


class WatchHandler(EntryHandler):
    """Streams changes.

    The stream ends if the caller disconnects, is too slow, needs a revision that is
    no longer in the history, or if the instance stops.
    """

    _task: asyncio.Task[None] | None = None
    _is_disconnected = False

    async def get(self) -> None:
        """Send one JSON line for each change after the revision in ``from``."""
        start = self.read_integer_argument("from", None)
        selector = parse_selector(self.get_query_argument("selector", ""))
        for result in (start, selector):
            if result.is_error():
                return self.send_problem(result.error)
        named = [
            kind for kind in self.get_query_argument("kinds", "").split(",") if kind
        ]
        kinds = frozenset(named or KINDS)
        if not kinds <= KINDS.keys():
            unknown = ", ".join(sorted(kinds - KINDS.keys()))
            remedy = "use " + ", ".join(KINDS)
            return self.send_problem(
                InvalidInput(f"kinds {unknown} are not known", remedy)
            )
        cache = self.entry.changes.cache
        revision = cache.revision if start.ok is None else start.ok
        if revision < cache.oldest_revision:
            return self.send_problem(
                Expired(
                    f"revision {revision} is no longer available; the oldest is "
                    f"{cache.oldest_revision}",
                    "list the resources again and watch from that revision",
                )
            )
        self.set_header("Content-Type", "application/jsonlines")
        is_whole = not selector.ok and kinds == KINDS.keys()
        selection = Selection(kinds, selector.ok, is_whole)
        self._task = asyncio.current_task()
        with self.entry.watches.track():
            try:
                await self._stream(revision, selection)
            except asyncio.CancelledError:
                if not self._is_disconnected:
                    raise

    def on_connection_close(self) -> None:
        """Stop waiting for changes after the caller has disconnected."""
        super().on_connection_close()
        self._is_disconnected = True
        if self._task is not None:
            self._task.cancel()

    async def _stream(self, revision: int, selection: Selection) -> None:
        """Send all changes after a revision, and bookmarks while there are none."""
        cache = self.entry.changes.cache
        follower = self.entry.follower
        is_open = await self._send(_make_bookmark(revision))
        while is_open and not self.entry.stopping:
            if cache.revision <= revision:
                if not await follower.wait_for_change(revision, BOOKMARK_INTERVAL):
                    is_open = await self._send(_make_bookmark(revision))
                continue
            batch = bytearray()
            while cache.revision > revision and len(batch) < BATCH_BYTES:
                entry = cache.find_applied(revision + 1)
                if entry is None:
                    await self._send(
                        bytes(batch) + _make_expired(cache.oldest_revision)
                    )
                    return
                batch += selection.select(self.entry.watches.lines.get_lines(entry))
                revision += 1
            if batch:
                is_open = await self._send(bytes(batch))

    async def _send(self, data: bytes) -> bool:
        """Send lines; return false if the caller is gone or too slow.

        The handler waits until the caller has received the lines before it makes
        more, which bounds the memory of a watch.
        """
        if self.request.connection is None or self._finished:
            return False
        self.write(data)
        sent = self.flush()
        if sent.done():
            return sent.exception() is None
        try:
            await asyncio.wait_for(sent, SEND_TIMEOUT.total_seconds())
        except (StreamClosedError, TimeoutError):
            return False
        return True


def _make_bookmark(revision: int) -> bytes:
    """Return the line with the revision up to which all changes were sent."""
    return encode_line({"type": "bookmark", "revision": revision})


def _make_expired(oldest_revision: int) -> bytes:
    """Return the line that makes the caller list the resources again."""
    return encode_line({"type": "expired", "revision": oldest_revision})
