"""The leader's side of writes for members that cannot reach the store."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from almondspread_daemon.jobs.link_messages import RowWritten, WriteRow
from almondspread_daemon.jobs.row_writer import RowWriter

# The member's callers wait no longer than this.
RELAYED_WRITE_TIMEOUT = timedelta(seconds=3)


class RelayService:
    """Writes rows for members and sends them the outcomes."""

    def __init__(self, writer: RowWriter) -> None:
        self._writer = writer
        self._writes: set[asyncio.Task[None]] = set()

    def handle_write(
        self, request: WriteRow, answer: Callable[[RowWritten], None]
    ) -> None:
        """Begin to write a row; ``answer`` sends the outcome."""
        write = asyncio.create_task(self._write(request, answer))
        self._writes.add(write)
        write.add_done_callback(self._writes.discard)

    async def _write(
        self, request: WriteRow, answer: Callable[[RowWritten], None]
    ) -> None:
        """Write a row and send the outcome."""
        written = await self._writer.write(
            request.key, request.value, RELAYED_WRITE_TIMEOUT
        )
        if written.is_ok():
            answer(RowWritten(request.number, written.ok))
            return
        failure = written.error
        answer(
            RowWritten(
                request.number, failure=failure.reason, not_done=failure.not_done
            )
        )
