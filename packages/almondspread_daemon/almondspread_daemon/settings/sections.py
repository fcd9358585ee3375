"""The settings of one entry instance, section by section.

Numbers carry their unit in the name; properties give durations as ``timedelta``.
"""

from datetime import timedelta
from typing import Annotated

from attrs import define

from almondspread_daemon.incoming_streams import StreamLimits
from almondspread_daemon.settings.constraints import (
    ADDRESS,
    FILE,
    NAME,
    OPTIONAL_NAME,
    OPTIONAL_URL,
    SHA256,
    URL,
    Choice,
    Range,
)
from almondspread_daemon.socket_buffers import SocketBuffers

KIB = 1024
MIB = 1024 * KIB

Bytes = Annotated[int, Range(KIB, 64 * MIB, "bytes")]
BufferBytes = Annotated[int, Range(0, 16 * MIB, "bytes")]
Count = Annotated[int, Range(1, 100_000)]
Milliseconds = Annotated[int, Range(1, 60_000, "milliseconds")]
Seconds = Annotated[float, Range(0.1, 86_400, "seconds")]
Name = Annotated[str, NAME]
File = Annotated[str, FILE]


@define(frozen=True)
class HttpSettings:
    """The listener for callers and operators, and the limits of its connections.

    Requests that are not answered yet hold at most ``max_buffered_bytes``; 0 stands for
    sixteen of the largest bodies, and at least 4 MiB. A body must arrive with
    ``min_body_bytes_per_second`` on average over each ``body_span_seconds``. All
    documents that are decoded at a time have at most ``max_document_values`` values.
    The kernel keeps about ``receive_buffer_bytes`` of a connection that were not read
    yet, and ``send_buffer_bytes`` of an answer that its client has not taken, 0 for as
    much as the system allows. A client that takes nothing of its answer for
    ``answer_timeout_seconds`` loses its connection.
    """

    listen: Annotated[str, ADDRESS] = "127.0.0.1:8101"
    max_body_bytes: Bytes = 4 * MIB
    max_header_bytes: Bytes = 64 * KIB
    max_buffered_bytes: Annotated[int, Range(0, 4 * KIB * MIB, "bytes")] = 0
    max_document_values: Annotated[int, Range(1_000, 10_000_000)] = 250_000
    max_connections: Count = 4_096
    receive_buffer_bytes: BufferBytes = 64 * KIB
    send_buffer_bytes: BufferBytes = 64 * KIB
    idle_timeout_seconds: Seconds = 75.0
    header_timeout_seconds: Seconds = 10.0
    min_body_bytes_per_second: Annotated[int, Range(0, MIB)] = KIB
    body_span_seconds: Seconds = 10.0
    answer_timeout_seconds: Seconds = 10.0
    certificate: File = ""
    key: File = ""

    @property
    def idle_timeout(self) -> timedelta:
        """How long a connection without a request stays open."""
        return timedelta(seconds=self.idle_timeout_seconds)

    @property
    def header_timeout(self) -> timedelta:
        """How long the headers of a request may take to arrive."""
        return timedelta(seconds=self.header_timeout_seconds)

    @property
    def socket_buffers(self) -> SocketBuffers:
        """How much the kernel keeps of each connection."""
        return SocketBuffers(self.receive_buffer_bytes, self.send_buffer_bytes)

    @property
    def answer_timeout(self) -> timedelta:
        """How long a client may read nothing of an answer."""
        return timedelta(seconds=self.answer_timeout_seconds)

    @property
    def body_span(self) -> timedelta:
        """The time over which the rate of a body is measured."""
        return timedelta(seconds=self.body_span_seconds)


@define(frozen=True)
class PeerSettings:
    """The listener for other entry instances, and how their loss is noticed.

    At most ``max_streams`` of them are open, of which ``max_unidentified`` have sent no
    message yet. All messages that have not ended have at most ``max_message_bytes``,
    and so has each. The first message of a stream has to be whole after
    ``handshake_timeout_seconds``. The kernel keeps about ``receive_buffer_bytes`` of a
    stream that were not read yet.
    """

    listen: Annotated[str, ADDRESS] = "127.0.0.1:9101"
    heartbeat_milliseconds: Milliseconds = 500
    suspect_after_milliseconds: Milliseconds = 1_500
    max_streams: Count = 1_024
    max_unidentified: Count = 256
    max_message_bytes: Bytes = 16 * MIB
    handshake_timeout_seconds: Seconds = 10.0
    receive_buffer_bytes: BufferBytes = 16 * KIB
    seeds: tuple[Annotated[str, ADDRESS], ...] = ()
    certificate: File = ""
    key: File = ""
    authority: File = ""

    @property
    def stream_limits(self) -> StreamLimits:
        """The limits on streams that others open."""
        return StreamLimits(
            self.max_streams,
            self.max_unidentified,
            self.max_message_bytes,
            timedelta(seconds=self.handshake_timeout_seconds),
            self.receive_buffer_bytes,
        )

    @property
    def heartbeat(self) -> timedelta:
        """How often a heartbeat goes to each peer."""
        return timedelta(milliseconds=self.heartbeat_milliseconds)

    @property
    def suspect_after(self) -> timedelta:
        """How long a peer may be silent before it is suspected."""
        return timedelta(milliseconds=self.suspect_after_milliseconds)


@define(frozen=True)
class PlatformSettings:
    """Where the platform's services answer."""

    table_url: Annotated[str, URL]
    store_url: Annotated[str, URL]
    instances_url: Annotated[str, URL]
    timeout_milliseconds: Milliseconds = 2_000
    poll_milliseconds: Milliseconds = 1_000

    @property
    def timeout(self) -> timedelta:
        """How long one call to the platform may take."""
        return timedelta(milliseconds=self.timeout_milliseconds)

    @property
    def poll(self) -> timedelta:
        """How often the list of instances is read."""
        return timedelta(milliseconds=self.poll_milliseconds)


@define(frozen=True)
class OwnershipSettings:
    """How work is cut into shards, and the leases that protect their owners.

    Shard counts are for each failure domain and must be the same on every instance.
    ``clock_rate_bound`` is the most by which two clocks differ in rate, and
    ``clock_offset_bound_seconds`` the most by which two wall clocks differ.
    """

    schedule_shards: Annotated[int, Range(1, 1_024)] = 1
    request_shards: Annotated[int, Range(1, 1_024)] = 8
    minion_shards: Annotated[int, Range(1, 1_024)] = 4
    instance_lease_seconds: Seconds = 3.0
    partition_horizon_seconds: Annotated[float, Range(10, 86_400, "seconds")] = 7_200.0
    clock_rate_bound: Annotated[float, Range(0, 0.1)] = 0.001
    clock_offset_bound_seconds: Annotated[float, Range(0, 60, "seconds")] = 0.5
    domain_gone_seconds: Annotated[float, Range(1, 86_400, "seconds")] = 300.0

    @property
    def domain_gone(self) -> timedelta:
        """How long the list has nothing of a domain before others act for it."""
        return timedelta(seconds=self.domain_gone_seconds)

    @property
    def instance_lease(self) -> timedelta:
        """How long an instance owns its shards without a renewal."""
        return timedelta(seconds=self.instance_lease_seconds)

    @property
    def clock_offset_bound(self) -> timedelta:
        """The most by which two wall clocks differ."""
        return timedelta(seconds=self.clock_offset_bound_seconds)

    @property
    def partition_horizon(self) -> timedelta:
        """How long an owner cut off from the table service renews task leases."""
        return timedelta(seconds=self.partition_horizon_seconds)


@define(frozen=True)
class SchedulingSettings:
    """The pace of the exchange with workers and of commits, and task leases."""

    task_lease_seconds: Seconds = 10.0
    exchange_milliseconds: Milliseconds = 500
    idle_exchange_milliseconds: Milliseconds = 2_500
    commit_milliseconds: Milliseconds = 15
    start_expiry_seconds: Seconds = 5.0

    @property
    def task_lease(self) -> timedelta:
        """How long a task runs without a renewal of its lease."""
        return timedelta(seconds=self.task_lease_seconds)

    @property
    def exchange(self) -> timedelta:
        """How often a worker's state and orders are exchanged."""
        return timedelta(milliseconds=self.exchange_milliseconds)

    @property
    def idle_exchange(self) -> timedelta:
        """How often that is while no work waits for room."""
        return timedelta(milliseconds=self.idle_exchange_milliseconds)

    @property
    def commit(self) -> timedelta:
        """How long decisions are gathered into one commit."""
        return timedelta(milliseconds=self.commit_milliseconds)

    @property
    def start_expiry(self) -> timedelta:
        """How long after it was sent a start request may still be obeyed."""
        return timedelta(seconds=self.start_expiry_seconds)


@define(frozen=True)
class RequestSettings:
    """Defaults for services that declare no limits, and the bounds of a stop."""

    lookup_deadline_seconds: Annotated[float, Range(0.01, 60, "seconds")] = 2.0
    call_deadline_seconds: Annotated[float, Range(0.1, 3_600, "seconds")] = 60.0
    lookup_queue: Count = 512
    call_queue: Count = 256
    balancer_lag_seconds: Annotated[float, Range(0, 600, "seconds")] = 5.0
    stop_bound_seconds: Annotated[float, Range(1, 86_400, "seconds")] = 120.0

    @property
    def balancer_lag(self) -> timedelta:
        """How long a balancer may still send requests to a leaving instance."""
        return timedelta(seconds=self.balancer_lag_seconds)

    @property
    def stop_bound(self) -> timedelta:
        """How long a graceful shutdown waits for requests under way."""
        return timedelta(seconds=self.stop_bound_seconds)


@define(frozen=True)
class Token:
    """A bearer token, known by its SHA-256, with its role and team."""

    sha256: Annotated[str, SHA256]
    role: Annotated[str, Choice(("caller", "operator", "peer", "admin"))]
    team: Annotated[str, OPTIONAL_NAME] = ""


@define(frozen=True)
class TelemetrySettings:
    """Where traces and metrics go, and what share of traces is kept."""

    otlp_endpoint: Annotated[str, OPTIONAL_URL] = ""
    trace_ratio: Annotated[float, Range(0, 1)] = 0.01
    metrics_interval_seconds: Annotated[float, Range(1, 3_600, "seconds")] = 15.0


@define(frozen=True)
class LogSettings:
    """What is logged, and in which form."""

    level: Annotated[str, Choice(("debug", "info", "warning", "error"))] = "info"
    format: Annotated[str, Choice(("json", "text"))] = "json"


@define(frozen=True)
class Settings:
    """All settings of one entry instance.

    ``failure_domains`` lists every failure domain of the operator, the same on all
    of its instances; ``failure_domain`` is the one that this instance is in.
    """

    name: Name
    operator: Name
    failure_domain: Name
    failure_domains: tuple[Name, ...]
    platform: PlatformSettings
    region: Annotated[str, OPTIONAL_NAME] = ""
    http: HttpSettings = HttpSettings()
    peer: PeerSettings = PeerSettings()
    ownership: OwnershipSettings = OwnershipSettings()
    scheduling: SchedulingSettings = SchedulingSettings()
    requests: RequestSettings = RequestSettings()
    tokens: tuple[Token, ...] = ()
    telemetry: TelemetrySettings = TelemetrySettings()
    log: LogSettings = LogSettings()
