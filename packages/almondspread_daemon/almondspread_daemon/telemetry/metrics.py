"""The metrics pipeline: Prometheus text and, if configured, export by OTLP."""

from collections.abc import Callable, Iterable

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Meter, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import MetricReader
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

from almondspread_daemon.settings import Settings

METER_NAME = "almondspread"


def describe_instance(settings: Settings) -> Resource:
    """Return the resource attributes of all telemetry of an instance."""
    return Resource(
        {
            "service.name": "almondspreadd",
            "service.namespace": settings.operator,
            "service.instance.id": settings.name,
            "cloud.region": settings.region,
            "cloud.availability_zone": settings.failure_domain,
        }
    )


class MetricsPipeline:
    """Collects the values of the instruments."""

    def __init__(self, settings: Settings) -> None:
        # Without a registry passed to it, the reader would register itself globally.
        self._registry = CollectorRegistry()
        self._scrape_reader = PrometheusMetricReader(
            disable_target_info=False, registry=self._registry
        )
        readers: list[MetricReader] = [self._scrape_reader]
        if settings.telemetry.otlp_endpoint:
            readers.append(_make_otlp_reader(settings))
        self._provider = MeterProvider(
            readers, describe_instance(settings), shutdown_on_exit=False
        )
        self.meter: Meter = self._provider.get_meter(METER_NAME)

    def register_gauge(
        self,
        name: str,
        unit: str,
        description: str,
        read: Callable[[], Iterable[Observation]],
    ) -> None:
        """Register a gauge whose values ``read`` returns at each collection."""

        def collect(_: CallbackOptions) -> Iterable[Observation]:
            return read()

        self.meter.create_observable_gauge(
            name, [collect], unit=unit, description=description
        )

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return bytes(generate_latest(self._registry))

    def close(self) -> None:
        """Export pending metrics, then stop."""
        self._provider.shutdown(timeout_millis=1_000)


def _make_otlp_reader(settings: Settings) -> MetricReader:
    """Return a reader that exports metrics periodically from its own thread."""
    # Imported only if used, because the exporter takes about 4 MiB of memory.
    from opentelemetry.exporter.otlp.proto.http.metric_exporter import (
        OTLPMetricExporter,
    )
    from opentelemetry.sdk.metrics.export import PeriodicExportingMetricReader

    return PeriodicExportingMetricReader(
        OTLPMetricExporter(f"{settings.telemetry.otlp_endpoint}/v1/metrics", timeout=2),
        export_interval_millis=settings.telemetry.metrics_interval_seconds * 1_000,
        export_timeout_millis=2_000,
    )
