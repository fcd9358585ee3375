"""The minions of one service with their queue, and slots taken of them."""

from datetime import timedelta

from attrs import define, field

from almondspread.requests import (
    MinionSlots,
    RequestQueue,
    ShardSlots,
    choose_minion,
)
from almondspread.requests.kinds import LOOKUP
from almondspread_daemon.peers.request_messages import ServiceLoad

SERVICE_TIME_FACTOR = 1.2
REPLY_TRANSIT_TIME = timedelta(milliseconds=20)


@define(eq=False)
class ServicePool:
    """The minions of one service in this failure domain, and its queue here."""

    queue: RequestQueue
    minions: dict[str, MinionSlots] = field(factory=dict)

    def choose_minion(self, kind: str, now: timedelta) -> MinionSlots | None:
        """Return the best minion for one more request of a kind."""
        return choose_minion(list(self.minions.values()), kind, now)

    def compute_mean_seconds(self, kind: str) -> float:
        """Return the mean time that a request of a kind takes, 0 if unknown."""
        known = []
        for minion in self.minions.values():
            if kind in minion.health.seconds:
                known.append(minion.health.seconds[kind])
        return sum(known) / len(known) if known else 0.0

    def estimate_time_needed(self, kind: str) -> timedelta:
        """Return how long before its deadline a request must get its slot."""
        seconds = self.compute_mean_seconds(kind)
        if not seconds:
            return timedelta(0)
        return timedelta(seconds=seconds * SERVICE_TIME_FACTOR) + REPLY_TRANSIT_TIME

    def compute_load(self, now: timedelta) -> ServiceLoad:
        """Return how the owned minions stand."""
        slots = free = 0
        for minion in self.minions.values():
            if minion.leaving or not minion.listed or not minion.shard.may_send(now):
                continue
            slots += minion.slots
            if minion.has_room(LOOKUP, now):
                free += minion.count_free(now)
        return ServiceLoad(slots, free, len(self.queue))


@define(eq=False)
class Ticket:
    """One slot of a minion, taken for one request under one ownership."""

    pool: ServicePool
    minion: MinionSlots
    shard: ShardSlots
    kind: str
    is_open: bool = True
