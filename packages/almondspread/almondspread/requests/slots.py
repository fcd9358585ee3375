"""Slots of minions, including those that former owners may still use.

A minion belongs to one minion shard, and only the owner of that shard sends requests
to it. The owner counts its own requests in flight. Slots that a former owner may still
use also count as in use: after a planned handover, the numbers that the former owner
reports; after a crash, every slot until the longest possible lookup must have ended,
and the slots for other requests until the longest of those must have ended.
"""

from datetime import timedelta

import xxhash
from attrs import define, field

from almondspread.requests.health import MinionHealth
from almondspread.requests.kinds import LOOKUP

LOOKUP_SLOTS_DIVISOR = 4


def find_minion_shard(minion: str, shards: tuple[str, ...]) -> str:
    """Return the shard of a minion among the minion shards of its failure domain.

    >>> find_minion_shard("route-umea-1", ("minions/umea/0",))
    'minions/umea/0'
    """
    return shards[xxhash.xxh3_64_intdigest(minion.encode()) % len(shards)]


@define
class ShardSlots:
    """The slots of one minion shard, as seen by its owner under one epoch.

    All times are monotonic. The owner may send requests until ``may_send_until``, and
    not after it has set ``released``. After a crash of the former owner, all slots
    count as in use until ``lookups_drained_at``, and the slots available to requests
    other than lookups until ``calls_drained_at``. After a planned handover, ``held``
    maps the names of minions to the number of slots that the former owner still uses.
    """

    shard: str
    epoch: int
    may_send_until: timedelta = timedelta(0)
    lookups_drained_at: timedelta = timedelta(0)
    calls_drained_at: timedelta = timedelta(0)
    held: dict[str, int] = field(factory=dict)
    released: bool = False

    def may_send(self, now: timedelta) -> bool:
        """Return whether the owner may send requests at a monotonic time."""
        return not self.released and now < self.may_send_until

    def count_held(self, minion: "MinionSlots", now: timedelta) -> int:
        """Return how many slots of a minion former owners may still use."""
        if now < self.lookups_drained_at:
            return minion.slots
        held = self.held.get(minion.name, 0)
        if now < self.calls_drained_at:
            held = max(held, minion.call_slots)
        return held


@define(eq=False)
class MinionSlots:
    """The slots of one minion and its recent health.

    ``in_flight`` counts the requests of this owner, and ``calls_in_flight`` those that
    are not lookups. A minion that is ``leaving`` or no longer ``listed`` gets no
    requests.
    """

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
        """The number of slots that requests other than lookups may use."""
        reserved_for_lookups = max(1, self.slots // LOOKUP_SLOTS_DIVISOR)
        return max(1, self.slots - reserved_for_lookups)

    def count_free(self, now: timedelta) -> int:
        """Return the number of free slots."""
        used = self.in_flight + self.shard.count_held(self, now)
        return max(0, self.slots - used)

    def has_room(self, kind: str, now: timedelta) -> bool:
        """Return whether one more request of a kind may be sent to the minion."""
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
        """Mark a slot as in use for a request that is about to be sent."""
        self.in_flight += 1
        if kind != LOOKUP:
            self.calls_in_flight += 1

    def release_slot(self, kind: str) -> None:
        """Mark a slot as free after its request has ended."""
        self.in_flight -= 1
        if kind != LOOKUP:
            self.calls_in_flight -= 1


def choose_minion(
    minions: list[MinionSlots], kind: str, now: timedelta
) -> MinionSlots | None:
    """Return the minion expected to answer first, ``None`` if none has room.

    The expected time is the number of requests in flight, including the new one,
    times the average latency of the minion for this kind.
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
