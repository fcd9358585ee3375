"""Logs, metrics and traces of an instance."""

from almondspread_daemon.telemetry.instruments import Instruments
from almondspread_daemon.telemetry.logs import configure_logs
from almondspread_daemon.telemetry.metrics import MetricsPipeline
from almondspread_daemon.telemetry.telemetry import Telemetry
from almondspread_daemon.telemetry.traces import TracePipeline, get_traceparent

__all__ = [
    "Instruments",
    "MetricsPipeline",
    "Telemetry",
    "TracePipeline",
    "configure_logs",
    "get_traceparent",
]
