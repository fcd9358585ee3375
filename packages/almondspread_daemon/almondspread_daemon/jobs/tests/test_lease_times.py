"""Searches for times at which a lease outlasts what the next leader counts it to last.

Clocks have any offset and drift apart, questions and answers take any time, heartbeats
arrive late, and executors renew whenever they are allowed to.
"""

import unittest
from datetime import timedelta
from unittest import mock

from attrs import define, field
from hypothesis import given, settings
from hypothesis import strategies as st

from almondspread.jobs.lease_renewal import LeaseRenewal
from almondspread.jobs.leases import (
    LEADER_LEASE,
    LeaderRow,
    compute_inherited_expiry,
)
from almondspread_daemon.jobs.remote_clock import RemoteClock

LEASE = timedelta(seconds=6)
# Two clocks of machines differ by no more per second.
MAX_DRIFT = 1e-4
# An upstream's clock may run slower by this share.
MAX_UPSTREAM_DRIFT = 0.02
# The upstream's clock was read no longer ago than a renew call waits.
READING_AGE = timedelta(seconds=2)
EXAMPLES = 400

seconds = st.floats(0.0, 2.0)
drifts = st.floats(-MAX_DRIFT, MAX_DRIFT)
offsets = st.floats(100.0, 10_000.0)


@define
class World:
    """The true time, in seconds."""

    time: float = 1_000.0


@define(eq=False)
class DriftingClock:
    """A machine's monotonic clock, as it goes in the true time of a world."""

    world: World
    offset: float
    drift: float

    def monotonic(self):
        return timedelta(seconds=self.offset + self.world.time * (1.0 + self.drift))

    def find_true_time(self, local):
        """Return the true time, in seconds, at which this clock shows a time."""
        return (local.total_seconds() - self.offset) / (1.0 + self.drift)


@define(eq=False)
class Exchange:
    """What one process asks another one for its clock, with the times on the way."""

    world: World
    asking: DriftingClock
    asked: DriftingClock
    remote: RemoteClock = field(init=False)

    def __attrs_post_init__(self):
        self.remote = RemoteClock(self.asking)

    def ask(self, there, back):
        asked_at = self.asking.monotonic()
        self.world.time += there
        told = self.asked.monotonic()
        self.world.time += back
        self.remote.observe(told, asked_at)
        return self.remote


@define(frozen=True)
class Times:
    """How long each step takes, in seconds, and how the clocks differ."""

    there: tuple[float, ...]
    back: tuple[float, ...]
    pauses: tuple[float, ...]
    renewals: tuple[float, ...]
    offsets: tuple[float, ...]
    drifts: tuple[float, ...]


times = st.builds(
    Times,
    st.tuples(*[seconds] * 3),
    st.tuples(*[seconds] * 3),
    st.tuples(*[seconds] * 3),
    st.lists(st.floats(0.0, 4.0), min_size=1, max_size=6).map(tuple),
    st.tuples(*[offsets] * 4),
    st.tuples(*[drifts] * 4),
)


def play(drawn):
    """Return by how much the next leader's time is later than the last lease's end."""
    world = World()
    store, leader, executor, successor = (
        DriftingClock(world, offset, drift)
        for offset, drift in zip(drawn.offsets, drawn.drifts, strict=True)
    )
    # The leader reads the store's clock, and renews its lease some time later.
    store_clock = Exchange(world, leader, store).ask(drawn.there[0], drawn.back[0])
    world.time += drawn.pauses[0]
    renewed = store_clock.now()
    row = LeaderRow(
        3, "entry-1", "a", "10.0.0.1:1", renewed.total_seconds(), bounds_leases=True
    )
    lease_until = store_clock.to_earliest_local(renewed) + LEADER_LEASE
    # The executor joins the leader, and is told of the lease some time later.
    leader_clock = Exchange(world, executor, leader).ask(drawn.there[1], drawn.back[1])
    world.time += drawn.pauses[1]
    leases = LeaseRenewal(LEASE, executor.monotonic())
    leases.begin_bound(executor.monotonic())
    leases.extend(leader_clock.to_earliest_local(lease_until) + LEASE)
    last_end = 0.0
    for pause in drawn.renewals:
        world.time += pause
        lease = leases.choose_lease(executor.monotonic())
        if lease is None:
            continue
        counted = (lease + READING_AGE).total_seconds() / (1.0 - MAX_UPSTREAM_DRIFT)
        last_end = max(last_end, world.time + counted - READING_AGE.total_seconds())
    # The next leader reads the store's clock, and the row.
    successor_clock = Exchange(world, successor, store).ask(
        drawn.there[2], drawn.back[2]
    )
    store_time = successor_clock.now()
    expiry = compute_inherited_expiry(row, 7, store_time, LEASE)
    counted_out = successor.find_true_time(successor_clock.to_local(expiry))
    return counted_out - last_end


class LeaseTimesTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=EXAMPLES)
    @given(times)
    def test_no_lease_outlasts_what_the_next_leader_counts(self, drawn):
        """Tasks would run twice."""
        self.assertGreaterEqual(play(drawn), 0.0)

    def find_least(self):
        """Return the least margin in a search."""
        margins = []

        @settings(derandomize=True, deadline=None, max_examples=EXAMPLES)
        @given(times)
        def search(drawn):
            margins.append(play(drawn))

        search()
        return min(margins)

    def test_each_side_of_a_conversion_is_needed(self):
        """With estimates on the late side, the search finds a lease that is longer."""
        with mock.patch.object(RemoteClock, "to_earliest_local", RemoteClock.to_local):
            self.assertLess(self.find_least(), 0.0)

    def test_successor_counts_on_the_late_side(self):
        earliest = RemoteClock.to_earliest_local
        with mock.patch.object(RemoteClock, "to_local", earliest):
            self.assertLess(self.find_least(), 0.0)


if __name__ == "__main__":
    unittest.main()
