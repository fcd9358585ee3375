"""What the operator's configuration says of queues and services."""

from collections.abc import Mapping
from datetime import timedelta

from attrs import define, field


@define(frozen=True)
class AdviceTiming:
    """How long the advice service takes, and how long its permits hold."""

    decision_time: timedelta
    time_per_upstream: timedelta
    validity: timedelta


@define(frozen=True)
class Queue:
    """One route of callers, whose jobs run on the upstreams of ``service``.

    ``priority`` 0 goes first. A job is on time within ``stretch`` times its longest
    chain of work and ``target_latency`` more.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_latency: timedelta = timedelta(0)
    timeout: timedelta = timedelta(0)
    advice: AdviceTiming | None = None


@define(frozen=True)
class Service:
    """A pool of upstreams; ``guards_capacity`` where they refuse what does not fit."""

    name: str
    enforces_capacity: bool = False
    standby: bool = False
    max_connections: int = 64


@define(frozen=True)
class CallerLimits:
    """Bounds on what callers may send."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)


@define(frozen=True)
class Configuration:
    """The configuration in force, whole, under its version."""

    version: int
    queues: Mapping[str, Queue] = field(factory=dict)
    services: Mapping[str, Service] = field(factory=dict)
    limits: CallerLimits = CallerLimits()

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of ``path`` at ``host``.

        >>> queues = {"q": Queue("q", "a.example", "/jobs/", "s")}
        >>> Configuration(1, queues).find_queue("a.example", "/jobs/7").name
        'q'
        """
        best = None
        for queue in self.queues.values():
            if queue.host != host or not path.startswith(queue.path_prefix):
                continue
            if best is None or len(queue.path_prefix) > len(best.path_prefix):
                best = queue
        return best
