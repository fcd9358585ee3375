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
from almondspread.jobs.speeds import KindSpeed
from almondspread_daemon.jobs.workspace_gauges import WorkspaceGauges
from almondspread_daemon.jobs.workspace_labels import WorkspaceLabels

METER_NAME = "almondspread.jobs"
# Calls take milliseconds as a rule, and seconds during outages.
LATENCY_BOUNDS_SECONDS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
# The kinds with the most ended runs are labelled.
MAX_LABELLED_KINDS = 16


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
        self._workspace_requests = meter.create_counter(
            "workspace_requests", description="requests with a valid key, by workspace"
        )
        self._workspace_labels = WorkspaceLabels()
        self._refusals = meter.create_counter(
            "job_refusals", description="jobs not admitted, by reason and workspace"
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
        self._kind_speeds: tuple[KindSpeed, ...] = ()
        meter.create_observable_gauge(
            "upstream_speed",
            [self._observe_kind_speeds],
            description="learnt speeds by kind of upstream, at the leader",
        )
        self._near_waits: dict[str, int] = {}
        meter.create_observable_counter(
            "near_waits",
            [self._observe_near_waits],
            description="waits for a near place that have ended, by outcome",
        )
        self._workspaces = WorkspaceGauges(meter)
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
        self._unproven_calls = meter.create_counter(
            "unproven_connections",
            description="calls held back because their connection was new",
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

    def count_workspace_request(self, workspace: str) -> None:
        """Count a request that came with a valid key of a workspace."""
        label = self._workspace_labels.choose(workspace)
        self._workspace_requests.add(1, {"workspace": label})

    def count_refusal(self, reason: str, workspace: str) -> None:
        """Count a job that was not admitted, by the reason and its workspace."""
        label = self._workspace_labels.choose(workspace)
        self._refusals.add(1, {"reason": str(reason), "workspace": label})

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
        self._workspaces.set(load.workspaces)

    def set_kind_speeds(self, speeds: Iterable[KindSpeed] = ()) -> None:
        """Set the speeds in use by kind, those with the most samples first."""
        self._kind_speeds = tuple(speeds)[:MAX_LABELLED_KINDS]

    def _observe_kind_speeds(self, _: CallbackOptions) -> Iterable[Observation]:
        """Return the speeds by kind, which only a leader knows."""
        return [
            Observation(each.speed, {"kind": str(each.kind)})
            for each in self._kind_speeds
        ]

    def set_near_waits(self, counts: dict[str, int] | None = None) -> None:
        """Set how many waits for a near place have ended under this leader."""
        self._near_waits = counts or {}

    def _observe_near_waits(self, _: CallbackOptions) -> Iterable[Observation]:
        """Return the waits by outcome, which only a leader knows."""
        return [
            Observation(count, {"outcome": outcome})
            for outcome, count in self._near_waits.items()
        ]

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

    def observe_load(
        self,
        measure_age: Callable[[], float | None],
        list_waits: Callable[[], dict[str, float]],
    ) -> None:
        """Export the age of the leader's estimate, and the longest wait by service."""

        def observe_age(_: CallbackOptions) -> Iterable[Observation]:
            seconds = measure_age()
            return () if seconds is None else (Observation(seconds),)

        def observe_waits(_: CallbackOptions) -> Iterable[Observation]:
            for service, seconds in list_waits().items():
                yield Observation(seconds, {"service": service})

        self._meter.create_observable_gauge(
            "load_estimate_age_seconds",
            [observe_age],
            unit="s",
            description="since the leader's last estimate of the load arrived",
        )
        self._meter.create_observable_gauge(
            "estimated_wait_seconds",
            [observe_waits],
            unit="s",
            description="longest wait that a new job has to expect, by service",
        )

    def count_row_change(self, source: str) -> None:
        """Count a change of operators' rows, by whether the store or a member told."""
        self._row_changes.add(1, {"source": source})

    def count_unproven_connection(self) -> None:
        """Count a call that was not sent on a connection that may lead elsewhere."""
        self._unproven_calls.add(1)

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
