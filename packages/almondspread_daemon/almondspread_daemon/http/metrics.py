"""The endpoint from which Prometheus scrapes metrics."""

from almondspread_daemon.http.base import EntryHandler


class MetricsHandler(EntryHandler):
    """Serves all metrics in the Prometheus text format."""

    def get(self) -> None:
        """Send the current values of all metrics."""
        self.set_header("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
        self.finish(self.entry.telemetry.metrics.render())
