"""The part of the operators' configuration that concerns queues and services."""

from collections.abc import Mapping
from datetime import timedelta

from attrs import define, field

from almondspread.jobs.workspaces import Workspace


@define(frozen=True)
class AdviceTiming:
    """The response time of the advice service, and the validity of its permits.

    A request takes ``decision_time``, plus ``time_per_upstream`` for each upstream.
    """

    decision_time: timedelta
    time_per_upstream: timedelta
    validity: timedelta


@define(frozen=True)
class Queue:
    """A route on which callers submit jobs, which run on upstreams of ``service``.

    ``priority`` 0 is the highest. A job meets its target if it ends within ``stretch``
    times the length of its critical path plus ``target_latency``. On a ``public`` queue
    callers need no key.
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
    public: bool = False


@define(frozen=True)
class Service:
    """A pool of upstreams.

    ``enforces_capacity`` is true if its upstreams refuse runs that do not fit.
    """

    name: str
    enforces_capacity: bool = False
    standby: bool = False
    max_connections: int = 64


@define(frozen=True)
class CallerLimits:
    """Limits on the requests of callers."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)


@define(frozen=True)
class Configuration:
    """One complete version of the configuration.

    ``workspaces`` is ``None`` in a cell whose callers need no keys.
    """

    version: int
    queues: Mapping[str, Queue] = field(factory=dict)
    services: Mapping[str, Service] = field(factory=dict)
    limits: CallerLimits = CallerLimits()
    workspaces: Mapping[str, Workspace] | None = None

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
