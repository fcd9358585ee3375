"""Metrics of the job scheduler and the handler that serves them."""

from collections.abc import Callable, Iterable
from datetime import timedelta

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation, set_meter_provider
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest
from tornado.web import RequestHandler

from almondspread.jobs.holds import HoldCause
from almondspread.jobs.loads import NO_LOAD, Load

METER_NAME = "almondspread.jobs"
# Calls take milliseconds as a rule, and seconds during outages.
LATENCY_BOUNDS_SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)


class JobMetrics:
    """The metric instruments of one instance."""

    def __init__(self, instance: str, failure_domain: str) -> None:
        # Without a registry of its own, the exporter registers itself globally.
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(registry=self._registry)
        resource = Resource(
            {
                "service.instance.id": instance,
                "cloud.availability_zone": failure_domain,
            }
        )
        self._provider = MeterProvider([reader], resource, shutdown_on_exit=False)
        meter = self._provider.get_meter(METER_NAME)
        self._meter = meter
        self._requests = meter.create_counter(
            "job_requests", description="requests about jobs, by outcome"
        )
        self._store_calls = meter.create_histogram(
            "store_call_seconds",
            unit="s",
            description="calls to the platform's store, by outcome",
            explicit_bucket_boundaries_advisory=LATENCY_BOUNDS_SECONDS,
        )
        self._starts = meter.create_histogram(
            "run_start_seconds",
            unit="s",
            description="starts of runs at upstreams, by outcome",
            explicit_bucket_boundaries_advisory=LATENCY_BOUNDS_SECONDS,
        )
        self._waiting_tasks = meter.create_gauge(
            "waiting_tasks", description="tasks that wait for room, at the leader"
        )
        self._held_tasks = meter.create_gauge(
            "held_tasks", description="waiting tasks that may not start yet, by cause"
        )
        self._used_millis = meter.create_gauge(
            "used_processor_millis", description="processor bound to runs"
        )
        self._suspected_tasks = meter.create_gauge(
            "suspected_tasks", description="tasks under which upstreams crash"
        )
        self._epoch = meter.create_gauge(
            "leader_epoch", description="the epoch that this instance leads, 0 for none"
        )
        self._version = meter.create_gauge(
            "configuration_version", description="the configuration in force"
        )
        self._row_changes = meter.create_counter(
            "operator_row_changes", description="changes of operators' rows, by source"
        )
        self._given_up = meter.create_counter(
            "connections_given_up",
            description="times that connections were taken for silent, by callee",
        )
        self._refused_clients = meter.create_counter(
            "refused_clients",
            description="clients refused or closed by the listeners, by reason",
        )
        self._loop_errors = meter.create_counter(
            "loop_errors", description="unexpected errors in lasting loops, by loop"
        )

    def install_as_global(self) -> None:
        """Use this meter provider for modules that record global metrics."""
        set_meter_provider(self._provider)

    def count_request(self, outcome: str) -> None:
        """Count a caller's request by its outcome."""
        self._requests.add(1, {"outcome": outcome})

    def record_store_call(self, latency: timedelta, outcome: str) -> None:
        """Record the latency of a call to the platform's store."""
        self._store_calls.record(latency.total_seconds(), {"outcome": outcome})

    def record_start(self, latency: timedelta, outcome: str) -> None:
        """Record the latency of a start of a run."""
        self._starts.record(latency.total_seconds(), {"outcome": outcome})

    def set_load(self, epoch: int, load: Load = NO_LOAD) -> None:
        """Set the gauges of a leader's epoch and load, zero without leadership."""
        self._epoch.set(epoch)
        self._waiting_tasks.set(load.waiting_tasks)
        for cause in HoldCause:
            self._held_tasks.set(load.held_tasks.get(cause, 0), {"cause": str(cause)})
        self._used_millis.set(load.used_millis)
        self._suspected_tasks.set(load.suspected_tasks)

    def set_configuration_version(self, version: int) -> None:
        """Set the gauge of the configuration version in force."""
        self._version.set(version)

    def observe_configuration_age(
        self, measure_seconds: Callable[[], float | None]
    ) -> None:
        """Export how many seconds ago the configuration was known to be the newest."""

        def observe(_: CallbackOptions) -> Iterable[Observation]:
            seconds = measure_seconds()
            return () if seconds is None else (Observation(seconds),)

        self._meter.create_observable_gauge(
            "configuration_age_seconds",
            [observe],
            unit="s",
            description="since the configuration was known to be the newest",
        )

    def count_row_change(self, source: str) -> None:
        """Count a change of operators' rows, by whether the store or a member told."""
        self._row_changes.add(1, {"source": source})

    def count_connections_given_up(self, callee: str) -> None:
        """Count that the idle connections to an address of a callee are not trusted."""
        self._given_up.add(1, {"callee": callee})

    def count_refused_client(self, reason: str) -> None:
        """Count a client that was refused before its request was handled."""
        self._refused_clients.add(1, {"reason": reason})

    def count_loop_error(self, loop: str) -> None:
        """Count an unexpected error in a lasting loop."""
        self._loop_errors.add(1, {"loop": loop})

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return bytes(generate_latest(self._registry))


class MetricsHandler(RequestHandler):
    """Serves the metrics of this process."""

    def initialize(self, metrics: JobMetrics) -> None:
        """Set the metrics to serve."""
        self._metrics = metrics

    def get(self) -> None:
        """Answer with the metrics in the Prometheus text format."""
        self.set_header("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
        self.finish(self._metrics.render())
