"""Turns in which chunked bodies are read, so that they keep nobody else waiting.

Each chunk costs time, however small it is. Bodies of many small chunks, or many such
bodies, would take all of it. In one pass of the event loop only a few connections with
a chunked body read a piece each; the others wait, and those that have received the
least come first. Nothing here does I/O.
"""

from heapq import nsmallest

from attrs import define, field

from almondspread_daemon.http.client_connection import Connection

READS_PER_PASS = 4


@define
class ReadTurns:
    """Which connections may read in this pass of the event loop.

    ``chosen`` are those that had to wait in the pass before, and ``waiting`` those that
    have to wait for the next one.
    """

    limit: int = READS_PER_PASS
    free: int = READS_PER_PASS
    chosen: set[Connection] = field(factory=set)
    waiting: dict[Connection, None] = field(factory=dict)

    def take(self, connection: Connection) -> bool:
        """Tell whether a connection may read now; if not, it waits for a later pass."""
        if connection in self.chosen:
            self.chosen.discard(connection)
            return True
        if self.free > 0:
            self.free -= 1
            return True
        self.waiting[connection] = None
        return False

    def begin_pass(self) -> None:
        """Choose who reads in the next pass, among those that waited in the last."""
        self.chosen = set(nsmallest(self.limit, self.waiting, key=_count_received))
        self.free = self.limit - len(self.chosen)
        self.waiting.clear()


def _count_received(connection: Connection) -> int:
    """Return how much of its body a connection has sent."""
    return connection.body
