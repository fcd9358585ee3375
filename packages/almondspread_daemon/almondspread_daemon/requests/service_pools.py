"""The pool of minions of one service, and the slots acquired from it."""

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
    """The minions of one service in this failure domain, and the queue for them.

    The queue holds the requests that wait on this instance for a free slot.
    """

    queue: RequestQueue
    minions: dict[str, MinionSlots] = field(factory=dict)

    def choose_minion(self, kind: str, now: timedelta) -> MinionSlots | None:
        """Return the best minion for a request of a kind, ``None`` if all are full."""
        return choose_minion(list(self.minions.values()), kind, now)

    def compute_mean_seconds(self, kind: str) -> float:
        """Return the mean latency of a kind over the minions, in seconds.

        Returns 0 while no minion has answered a request of the kind.
        """
        known = []
        for minion in self.minions.values():
            if kind in minion.health.seconds:
                known.append(minion.health.seconds[kind])
        return sum(known) / len(known) if known else 0.0

    def estimate_time_needed(self, kind: str) -> timedelta:
        """Return how long before its deadline a request must get its slot.

        The time covers a request slower than the mean, and the way of the answer
        back to the caller. Returns 0 while no latency is known.
        """
        seconds = self.compute_mean_seconds(kind)
        if not seconds:
            return timedelta(0)
        return timedelta(seconds=seconds * SERVICE_TIME_FACTOR) + REPLY_TRANSIT_TIME

    def compute_load(self, now: timedelta) -> ServiceLoad:
        """Return the slots, free slots and waiting requests of the service.

        Minions that are leaving, are no longer listed, or to which this instance may
        not send now are left out. A minion that can't take a lookup now adds no free
        slot.
        """
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
    """One slot of a minion, acquired for one request under one ownership.

    ``is_open`` is true until the slot is released.
    """

    pool: ServicePool
    minion: MinionSlots
    shard: ShardSlots
    kind: str
    is_open: bool = True
