"""Logs, metrics and traces of an instance."""

from almondspread_daemon.telemetry.logs import configure_logs

__all__ = ["configure_logs"]
