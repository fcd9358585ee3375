"""Slots of minions, counted exactly, also for what former owners still hold.

A minion belongs to one shard of minions and only the owner of that shard sends to
it. An owner counts its own requests one by one. What an earlier owner may still have
in flight counts as in use as well: the numbers that it reports after a planned
hand-over, and every slot after a crash until the longest request has surely ended.
"""

from datetime import timedelta

import xxhash
from attrs import define, field

from almondspread.requests.health import MinionHealth
from almondspread.requests.kinds import LOOKUP

LOOKUP_SLOTS_DIVISOR = 4


def find_minion_shard(minion: str, shards: tuple[str, ...]) -> str:
    """Return the shard of a minion among those of its failure domain.

    >>> find_minion_shard("route-umea-1", ("minions/umea/0",))
    'minions/umea/0'
    """
    return shards[xxhash.xxh3_64_intdigest(minion.encode()) % len(shards)]


@define
class ShardSlots:
    """What an owner knows of one shard of minions under one epoch.

    ``right_until`` is the monotonic time up to which it may send. After a crash of
    the former owner, all slots count as in use until ``lookups_until``, and those
    that calls may take until ``calls_until``. After a planned hand-over ``held`` maps
    minions to the slots that the former owner still has in use.
    """

    shard: str
    epoch: int
    may_send_until: timedelta = timedelta(0)
    lookups_drained_at: timedelta = timedelta(0)
    calls_drained_at: timedelta = timedelta(0)
    held: dict[str, int] = field(factory=dict)
    released: bool = False

    def may_send(self, now: timedelta) -> bool:
        """Tell whether the owner may send at a monotonic time."""
        return not self.released and now < self.may_send_until

    def count_held(self, minion: "MinionSlots", now: timedelta) -> int:
        """Return how many slots former owners may still have in use."""
        if now < self.lookups_drained_at:
            return minion.slots
        held = self.held.get(minion.name, 0)
        if now < self.calls_drained_at:
            held = max(held, minion.call_slots)
        return held


@define(eq=False)
class MinionSlots:
    """One minion: its slots, those in use, and how it has answered lately."""

    name: str
    address: str
    slots: int
    shard: ShardSlots
    in_flight: int = 0
    calls_in_flight: int = 0
    leaving: bool = False
    listed: bool = True
    health: MinionHealth = field(factory=MinionHealth)

    @property
    def call_slots(self) -> int:
        """How many slots requests other than lookups may take."""
        kept_for_lookups = max(1, self.slots // LOOKUP_SLOTS_DIVISOR)
        return max(1, self.slots - kept_for_lookups)

    def count_free(self, now: timedelta) -> int:
        """Return how many slots are free."""
        used = self.in_flight + self.shard.count_held(self, now)
        return max(0, self.slots - used)

    def has_room(self, kind: str, now: timedelta) -> bool:
        """Tell whether one more request of a kind may go to the minion."""
        if self.leaving or not self.listed or not self.shard.may_send(now):
            return False
        held = self.shard.count_held(self, now)
        if self.in_flight + held >= self.slots:
            return False
        if not self.health.admits_request(self.in_flight, now):
            return False
        if kind == LOOKUP:
            return True
        return self.calls_in_flight + held < self.call_slots

    def acquire_slot(self, kind: str) -> None:
        """Count a request that is about to be sent."""
        self.in_flight += 1
        if kind != LOOKUP:
            self.calls_in_flight += 1

    def release_slot(self, kind: str) -> None:
        """Count a request that the minion is done with."""
        self.in_flight -= 1
        if kind != LOOKUP:
            self.calls_in_flight -= 1


def choose_minion(
    minions: list[MinionSlots], kind: str, now: timedelta
) -> MinionSlots | None:
    """Return the minion that should answer soonest, ``None`` where all are full.

    A minion counts as slower the more requests it has and the longer it took lately.
    """
    best = None
    best_score = 0.0
    for minion in minions:
        if not minion.has_room(kind, now):
            continue
        score = (minion.in_flight + 1) * minion.health.estimate_latency_seconds(kind)
        if best is None or score < best_score:
            best, best_score = minion, score
    return best
