"""Transfer of snapshots of all resources between peers, in pages of bounded size."""

from datetime import timedelta

from loguru import logger

from almondspread.changes import ChangeLog
from almondspread_daemon.membership import Neighbours
from almondspread_daemon.peers.messages import FetchSnapshot, SnapshotPage

MAX_PAGE_BYTES = 1024 * 1024
MAX_SNAPSHOT_BYTES = 64 * 1024 * 1024
PAGE_TIMEOUT = timedelta(seconds=5)


class SnapshotExchange:
    """Serves and fetches snapshots.

    The latest snapshot that a peer requested is kept in memory, so that all its pages
    come from the same revision. It is dropped after its last page was served.
    """

    def __init__(self, changes: ChangeLog, neighbours: Neighbours) -> None:
        self._changes = changes
        self._neighbours = neighbours
        self._snapshot_revision = 0
        self._snapshot = b""

    def read_page(self, message: FetchSnapshot) -> SnapshotPage:
        """Return a page of the kept snapshot, or of one made now.

        A page without data says that the requested snapshot is not kept any more.
        """
        if message.revision != self._snapshot_revision or not self._snapshot:
            if message.offset:
                return SnapshotPage(message.revision, 0, b"")
            self._snapshot_revision = self._changes.cache.revision
            self._snapshot = self._changes.encode_snapshot()
        page = self._snapshot[message.offset : message.offset + MAX_PAGE_BYTES]
        total = len(self._snapshot)
        if message.offset + len(page) >= total:
            self._snapshot = b""
        return SnapshotPage(self._snapshot_revision, total, page)

    async def fetch(self, address: str, revision: int) -> bool:
        """Fetch a peer's snapshot and apply it; return whether our revision advanced.

        Returns false as well when the peer does not reply, drops the snapshot meanwhile
        or sends one that is too large or cannot be decoded.
        """
        data = bytearray()
        while True:
            message = FetchSnapshot(revision, len(data))
            outcome = await self._neighbours.call(address, message, PAGE_TIMEOUT)
            if outcome.is_error() or not isinstance(outcome.ok, SnapshotPage):
                return False
            page = outcome.ok
            if not page.data or page.total > MAX_SNAPSHOT_BYTES:
                return False
            # The first page may belong to a later snapshot than was requested.
            if data and page.revision != revision:
                return False
            revision = page.revision
            data += page.data
            if len(data) >= page.total:
                break
        try:
            return self._changes.receive_snapshot(bytes(data))
        except ValueError as error:
            logger.error("snapshot from peer {} cannot be decoded: {}", address, error)
            return False
