"""The scrape endpoint of metrics."""

from almondspread_daemon.http.base import EntryHandler


class MetricsHandler(EntryHandler):
    """Answers all metrics in the Prometheus text format."""

    def get(self) -> None:
        """Answer the metrics as they stand."""
        self.set_header("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
        self.finish(self.entry.telemetry.metrics.render())
