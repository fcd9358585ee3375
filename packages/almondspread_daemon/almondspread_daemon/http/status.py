"""Handlers for health, readiness and the status of the instance and the cell."""

from almondspread.errors import Unavailable
from almondspread_daemon.http.base import EntryHandler


class HealthHandler(EntryHandler):
    """Liveness check: succeeds while the process serves requests."""

    def get(self) -> None:
        """Send the status ``ok``."""
        self.send_json({"status": "ok"})


class ReadyHandler(EntryHandler):
    """Readiness check: tells a load balancer whether to send requests here."""

    def get(self) -> None:
        """Send the status ``ready``, or ``Unavailable`` while it is not ready."""
        if self.entry.is_ready:
            return self.send_json({"status": "ready"})
        self.send_problem(
            Unavailable(
                "the instance is starting or leaving",
                "send requests to another instance",
                not_run=True,
            )
        )


class StatusHandler(EntryHandler):
    """Serves the status of this instance."""

    def get(self) -> None:
        """Send the status document."""
        self.send_json(self.entry.reporter.describe_status())


class CellHandler(EntryHandler):
    """Serves the status of all instances."""

    async def get(self) -> None:
        """Send the status documents of all instances that reply."""
        self.send_json(await self.entry.reporter.describe_cell())
