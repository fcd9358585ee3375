"""Health, readiness, and how this instance and the cell stand."""

from almondspread.errors import Unavailable
from almondspread_daemon.http.base import EntryHandler


class HealthHandler(EntryHandler):
    """Tells that the process serves."""

    def get(self) -> None:
        """Answer that all is well."""
        self.send_json({"status": "ok"})


class ReadyHandler(EntryHandler):
    """Tells the balancer whether to send requests here."""

    def get(self) -> None:
        """Answer whether this instance is ready."""
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
    """Tells how this instance stands."""

    def get(self) -> None:
        """Answer the status document."""
        self.send_json(self.entry.reporter.describe_status())


class CellHandler(EntryHandler):
    """Tells how all instances stand."""

    async def get(self) -> None:
        """Answer the status documents of all instances that reply."""
        self.send_json(await self.entry.reporter.describe_cell())
