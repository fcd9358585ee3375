"""The metrics and traces of one instance, set up and closed together."""

from collections.abc import Iterable

import psutil
from opentelemetry.metrics import Observation

from almondspread_daemon.settings import Settings
from almondspread_daemon.telemetry.instruments import Instruments
from almondspread_daemon.telemetry.metrics import MetricsPipeline
from almondspread_daemon.telemetry.traces import TracePipeline


class Telemetry:
    """Metrics and traces of one instance, with gauges of its process."""

    def __init__(self, settings: Settings) -> None:
        self.metrics = MetricsPipeline(settings)
        self.traces = TracePipeline(settings)
        self.instruments = Instruments.create(self.metrics.meter)
        self._process = psutil.Process()
        self.metrics.register_gauge(
            "process.cpu.time", "s", "Processor time of the process", self._read_cpu
        )
        self.metrics.register_gauge(
            "process.memory.usage", "By", "Resident memory", self._read_memory
        )

    def _read_cpu(self) -> Iterable[Observation]:
        """Yield the process's CPU seconds in user and system mode."""
        times = self._process.cpu_times()
        yield Observation(times.user, {"cpu.mode": "user"})
        yield Observation(times.system, {"cpu.mode": "system"})

    def _read_memory(self) -> Iterable[Observation]:
        """Yield the process's resident memory in bytes."""
        yield Observation(self._process.memory_info().rss)

    def close(self) -> None:
        """Export pending spans and metrics, then stop."""
        self.traces.close()
        self.metrics.close()
