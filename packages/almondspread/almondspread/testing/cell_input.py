"""Configurations and directory entries for tests with fake upstreams."""

from datetime import timedelta

from almondspread.clock.unix_time import from_unix_ms
from almondspread.jobs.configuration import AdviceTiming, Configuration, Queue, Service
from almondspread.jobs.messages import UpstreamEntry
from almondspread.testing.fake_upstream import FakeUpstream

SERVICE = "service"
QUEUE = "queue"
DRAIN_TIME = timedelta(seconds=2)


def make_configuration(
    max_attempts: int = 3, advice: bool = False, priority: int = 0
) -> Configuration:
    """Return a configuration with one queue and one service."""
    timing = AdviceTiming(timedelta(0), timedelta(0), timedelta(seconds=2))
    queue = Queue(
        QUEUE,
        "a.example",
        "/q/",
        SERVICE,
        priority,
        max_attempts,
        1.5,
        timedelta(milliseconds=250),
        advice=timing if advice else None,
    )
    return Configuration(1, {QUEUE: queue}, {SERVICE: Service(SERVICE)})


def make_entry(
    upstream: FakeUpstream, number: int, draining: bool = False
) -> UpstreamEntry:
    """Return the directory entry of a fake upstream."""
    return UpstreamEntry(
        upstream.name,
        SERVICE,
        f"10.0.0.{number}:80",
        "umea",
        upstream.capacity,
        (upstream.kind, f"r{number % 2}"),
        draining,
        DRAIN_TIME if draining else None,
        upstream.identity,
        None if upstream.born is None else from_unix_ms(upstream.born),
    )
