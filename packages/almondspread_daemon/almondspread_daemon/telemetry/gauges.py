"""Gauges of an instance's shards, tasks, capacity, peers and network traffic.

The values are read at each collection of metrics.
"""

from collections.abc import Callable, Iterable
from typing import Any

from opentelemetry.metrics import Observation

from almondspread_daemon.telemetry.metrics import MetricsPipeline

ReadStatus = Callable[[], dict[str, Any]]
ReadBytes = Callable[[], dict[str, tuple[int, int]]]


def register_gauges(
    metrics: MetricsPipeline, read_status: ReadStatus, read_bytes: ReadBytes
) -> None:
    """Register the gauges of one instance.

    ``read_status`` returns the instance's status document. ``read_bytes`` returns the
    bytes sent and received so far, by the kind of the remote side.
    """

    def register(
        name: str,
        unit: str,
        description: str,
        read: Callable[[dict[str, Any]], Iterable[Observation]],
    ) -> None:
        metrics.register_gauge(name, unit, description, lambda: read(read_status()))

    register("almondspread.tasks", "{task}", "Tasks by state", observe_tasks)
    register("almondspread.shards", "{shard}", "Owned shards", observe_shards)
    register(
        "almondspread.shards.stopped",
        "{shard}",
        "Shards with a fault",
        observe_stopped_shards,
    )
    register("almondspread.revision", "{revision}", "In force", observe_revision)
    register("almondspread.capacity", "1", "Capacity of workers", observe_capacity)
    register("almondspread.peers", "{instance}", "Other instances", observe_peers)

    def list_bytes() -> Iterable[Observation]:
        for side, counted in read_bytes().items():
            for direction, count in zip(("transmit", "receive"), counted, strict=True):
                attributes = {"network.io.direction": direction, "side": side}
                yield Observation(count, attributes)

    metrics.register_gauge(
        "almondspread.io", "By", "Bytes sent and received", list_bytes
    )


def observe_tasks(status: dict[str, Any]) -> Iterable[Observation]:
    """Yield the running and waiting tasks of each owned scheduling shard."""
    for shard in status["shards"]:
        for state in ("running", "waiting"):
            if state not in shard:
                continue
            attributes = {"shard": shard["shard"], "state": state}
            yield Observation(shard[state], attributes)


def observe_shards(status: dict[str, Any]) -> Iterable[Observation]:
    """Yield the number of owned shards."""
    yield Observation(len(status["shards"]))


def observe_stopped_shards(status: dict[str, Any]) -> Iterable[Observation]:
    """Yield the number of shards that stopped because of a fault."""
    yield Observation(len(status["faults"]))


def observe_revision(status: dict[str, Any]) -> Iterable[Observation]:
    """Yield the revision in force at the instance."""
    yield Observation(status["revision"])


def observe_capacity(status: dict[str, Any]) -> Iterable[Observation]:
    """Yield total and committed amounts of the owned workers, by resource."""
    for section, state in (("capacity", "total"), ("committed", "committed")):
        for resource, amount in status[section].items():
            yield Observation(amount, {"resource": resource, "state": state})


def observe_peers(status: dict[str, Any]) -> Iterable[Observation]:
    """Yield the numbers of other instances that are alive and that are silent."""
    counts = {"alive": 0, "silent": 0}
    for peer in status["peers"]:
        counts[peer["state"]] += 1
    for state, count in counts.items():
        yield Observation(count, {"state": state})
