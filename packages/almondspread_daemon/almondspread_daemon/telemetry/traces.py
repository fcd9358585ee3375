"""The tracing pipeline: spans for calls, with W3C trace context propagation."""

from collections.abc import Iterator
from contextlib import contextmanager

from opentelemetry.context import Context
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import SpanProcessor
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace import Span, SpanKind, Status, StatusCode
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

from almondspread_daemon.settings import Settings
from almondspread_daemon.telemetry.metrics import describe_instance

TRACEPARENT = "traceparent"
MAX_QUEUED_SPANS = 2_048

_PROPAGATOR = TraceContextTextMapPropagator()


class TracePipeline:
    """Creates spans and exports the sampled ones if an endpoint is configured.

    A thread of its own exports spans from a bounded queue. While the endpoint is down
    or slow, spans over the bound are dropped, so that no call waits for the export.
    """

    def __init__(self, settings: Settings) -> None:
        self._provider = TracerProvider(
            sampler=ParentBased(TraceIdRatioBased(settings.telemetry.trace_ratio)),
            resource=describe_instance(settings),
            shutdown_on_exit=False,
        )
        if settings.telemetry.otlp_endpoint:
            self.add_processor(_make_otlp_processor(settings))
        self._tracer = self._provider.get_tracer("almondspread")

    def add_processor(self, processor: SpanProcessor) -> None:
        """Pass every sampled span to a processor."""
        self._provider.add_span_processor(processor)

    @contextmanager
    def server_span(self, name: str, traceparent: str) -> Iterator[Span]:
        """Run a block in the span of an incoming call.

        ``traceparent`` is the call's W3C header, empty if it has none.
        """
        context = _parse_context(traceparent)
        with self._tracer.start_as_current_span(name, context, SpanKind.SERVER) as span:
            yield span

    @contextmanager
    def client_span(self, name: str, target: str) -> Iterator[Span]:
        """Run a block in the span of an outgoing call to ``target``."""
        with self._tracer.start_as_current_span(name, kind=SpanKind.CLIENT) as span:
            if span.is_recording():
                span.set_attribute("server.address", target)
            yield span

    def start_server_span(self, name: str, traceparent: str) -> Span:
        """Start and return the span of an incoming call; the caller must end it."""
        context = _parse_context(traceparent)
        return self._tracer.start_span(name, context, SpanKind.SERVER)

    def close(self) -> None:
        """Export queued spans, then stop."""
        self._provider.shutdown()


def mark_failed(span: Span, reason: str) -> None:
    """Set a span's status to error, because its call got no answer."""
    span.set_status(Status(StatusCode.ERROR, reason))


def get_traceparent() -> str:
    """Return the W3C header of the current span, empty if there is none."""
    carrier: dict[str, str] = {}
    _PROPAGATOR.inject(carrier)
    return carrier.get(TRACEPARENT, "")


def _parse_context(traceparent: str) -> Context:
    """Return the trace context in a W3C header, an empty one if it is invalid."""
    return _PROPAGATOR.extract({TRACEPARENT: traceparent}, Context())


def _make_otlp_processor(settings: Settings) -> SpanProcessor:
    """Return a processor that exports spans in batches from its own thread."""
    # Imported only if used, because the exporter takes about 4 MiB of memory.
    from opentelemetry.exporter.otlp.proto.http.trace_exporter import OTLPSpanExporter
    from opentelemetry.sdk.trace.export import BatchSpanProcessor

    exporter = OTLPSpanExporter(
        f"{settings.telemetry.otlp_endpoint}/v1/traces", timeout=2
    )
    return BatchSpanProcessor(exporter, max_queue_size=MAX_QUEUED_SPANS)
