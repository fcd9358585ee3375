"""The slots of the minions that this instance owns, and the requests that wait."""

import asyncio
from collections.abc import Callable, Iterable
from datetime import timedelta

from expression import Error, Ok, Result

from almondspread.clock import Clock
from almondspread.errors import Problem
from almondspread.interfaces import Instance
from almondspread.requests import (
    MinionSlots,
    QueuedRequest,
    RequestQueue,
    ShardSlots,
    estimate_wait,
    find_minion_shard,
)
from almondspread.requests.kinds import (
    SERVING_ORDER,
)
from almondspread_daemon.peers.request_messages import ServiceLoad, SlotsInUse
from almondspread_daemon.requests.refusals import (
    refuse_no_minion,
    refuse_overload,
    refuse_past_deadline,
)
from almondspread_daemon.requests.service_pools import ServicePool, Ticket


class MinionPools:
    """Counts the slots in use of owned minions, and gives free ones to requests.

    A request acquires a slot first, and waits in the queue of its service if none is
    free. Its slot stays in use until the minion is done with the request, also if the
    caller has stopped waiting. ``pools`` maps services to the minions of this failure
    domain, and ``shards`` maps shards of minions to their slots.
    """

    def __init__(
        self,
        failure_domain: str,
        shards: tuple[str, ...],
        clock: Clock,
        get_queue_limits: Callable[[str], dict[str, int]],
    ) -> None:
        self.pools: dict[str, ServicePool] = {}
        self.shards = {shard: ShardSlots(shard, 0) for shard in shards}
        self._shard_names = shards
        self._failure_domain = failure_domain
        self._clock = clock
        self._get_queue_limits = get_queue_limits

    def update_minions(self, instances: Iterable[Instance]) -> None:
        """Update the pools from the platform's list of instances.

        A minion that is no longer listed gets no new request, and is removed once it
        has none in flight.
        """
        listed = set()
        for instance in instances:
            if instance.role != "minion":
                continue
            if instance.failure_domain != self._failure_domain:
                continue
            listed.add(instance.name)
            self._update_minion(instance)
        for service, pool in self.pools.items():
            pool.queue.set_bounds(self._get_queue_limits(service))
            for minion in list(pool.minions.values()):
                minion.listed = minion.name in listed
                if not minion.listed and minion.in_flight == 0:
                    del pool.minions[minion.name]
            self.grant_slots(pool)

    def _update_minion(self, instance: Instance) -> None:
        """Add a listed minion, or update whether it is leaving.

        A minion that is listed under a new address replaces the former entry.
        """
        pool = self.pools.get(instance.service)
        if pool is None:
            queue = RequestQueue(self._get_queue_limits(instance.service))
            pool = self.pools[instance.service] = ServicePool(queue)
        known = pool.minions.get(instance.name)
        if known is None or known.address != instance.address:
            shard = self.shards[find_minion_shard(instance.name, self._shard_names)]
            known = MinionSlots(instance.name, instance.address, instance.slots, shard)
            pool.minions[instance.name] = known
        if instance.leaving:
            known.leaving = True

    def mark_leaving(self, name: str) -> None:
        """Record that a minion is leaving, so that it gets no new request."""
        for pool in self.pools.values():
            if name in pool.minions:
                pool.minions[name].leaving = True

    def attach_shard(self, slots: ShardSlots) -> None:
        """Replace the slots of a shard by those of a new ownership."""
        former = self.shards[slots.shard]
        self.shards[slots.shard] = slots
        for pool in self.pools.values():
            for minion in pool.minions.values():
                if minion.shard is former:
                    minion.shard = slots

    def release_shard(self, slots: ShardSlots) -> None:
        """Stop sending under an ownership.

        Requests that wait for a slot of a service without any slot left here are
        woken, and fail as not run, so that the router can ask another owner.
        """
        slots.released = True
        for pool in self.pools.values():
            if pool.compute_load(self._clock.monotonic()).slots:
                continue
            while (waiting := pool.queue.pop(list(SERVING_ORDER))) is not None:
                waiting.wake()

    def get_slots_in_use(self, shard: str) -> SlotsInUse:
        """Return the slots that this instance and former owners may still use."""
        slots = self.shards[shard]
        now = self._clock.monotonic()
        in_use: dict[str, int] = {}
        leaving = []
        for pool in self.pools.values():
            for minion in pool.minions.values():
                if minion.shard is not slots:
                    continue
                count = minion.in_flight + slots.count_held(minion, now)
                if count:
                    in_use[minion.name] = count
                if minion.leaving:
                    leaving.append(minion.name)
        return SlotsInUse(slots.epoch, slots.released, in_use, tuple(leaving))

    def compute_loads(self) -> dict[str, ServiceLoad]:
        """Return the load of the owned minions, by service."""
        now = self._clock.monotonic()
        loads = {}
        for service, pool in self.pools.items():
            loads[service] = pool.compute_load(now)
        return loads

    async def acquire_slot(
        self, service: str, kind: str, due: timedelta, wait: bool
    ) -> Result[Ticket, Problem]:
        """Acquire a slot of some minion of a service.

        If no slot is free and ``wait`` is set, the request waits in the queue until
        ``due``. It is refused at once if the queue is full, or if the expected wait
        and the latency of the kind don't fit before ``due``.
        """
        now = self._clock.monotonic()
        if now >= due:
            return Error(refuse_past_deadline(service))
        pool = self.pools.get(service)
        if pool is None:
            return Error(refuse_no_minion(service))
        if not len(pool.queue):
            ticket = self._try_acquire_slot(pool, kind, now)
            if ticket is not None:
                return Ok(ticket)
        load = pool.compute_load(now)
        if not load.slots:
            return Error(refuse_no_minion(service))
        if not wait:
            return Error(refuse_overload(service, "has no free slot"))
        expected = estimate_wait(
            pool.queue.count(kind), load.slots, pool.compute_mean_seconds(kind)
        )
        if now + expected + pool.estimate_time_needed(kind) > due:
            reason = "cannot meet the deadline"
            return Error(refuse_overload(service, reason, expected))
        return await self._wait_for_slot(
            pool, service, QueuedRequest(kind, due), expected
        )

    async def _wait_for_slot(
        self,
        pool: ServicePool,
        service: str,
        waiting: QueuedRequest,
        expected: timedelta,
    ) -> Result[Ticket, Problem]:
        """Wait in the queue for a slot until the deadline of the queued request."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        waiting.wake = lambda: None if future.done() else future.set_result(None)
        if not pool.queue.push(waiting):
            return Error(refuse_overload(service, "has a full queue", expected))
        left = waiting.deadline - self._clock.monotonic()
        try:
            async with asyncio.timeout(left.total_seconds()):
                await future
        except TimeoutError:
            if waiting.ticket is None:
                return Error(refuse_past_deadline(service))
        except asyncio.CancelledError:
            if waiting.ticket is not None:
                self.release_slot(waiting.ticket)
            raise
        finally:
            pool.queue.remove(waiting)
        if waiting.ticket is not None:
            return Ok(waiting.ticket)
        if not pool.compute_load(self._clock.monotonic()).slots:
            return Error(refuse_no_minion(service))
        reason = "shed the request" if waiting.shed else "cannot meet the deadline"
        return Error(refuse_overload(service, reason, expected))

    def _try_acquire_slot(
        self, pool: ServicePool, kind: str, now: timedelta
    ) -> Ticket | None:
        """Acquire a slot of the best minion; return ``None`` if no slot is free."""
        minion = pool.choose_minion(kind, now)
        if minion is None:
            return None
        minion.acquire_slot(kind)
        return Ticket(pool, minion, minion.shard, kind)

    def grant_slots(self, pool: ServicePool) -> None:
        """Give the free slots of a pool to queued requests.

        A queued request that can't be answered before its deadline any more is woken
        without a slot.
        """
        while len(pool.queue):
            now = self._clock.monotonic()
            kinds = []
            for kind in SERVING_ORDER:
                if pool.queue.count(kind) and pool.choose_minion(kind, now) is not None:
                    kinds.append(kind)
            waiting = pool.queue.pop(kinds)
            if waiting is None:
                return
            if now + pool.estimate_time_needed(waiting.kind) <= waiting.deadline:
                waiting.ticket = self._try_acquire_slot(pool, waiting.kind, now)
            waiting.wake()

    def grant_all_slots(self) -> None:
        """Give the free slots of every service to queued requests."""
        for pool in self.pools.values():
            self.grant_slots(pool)

    def release_slot(self, ticket: Ticket) -> None:
        """Release a slot after its request has ended, or if it is not used.

        Releasing a slot again has no effect.
        """
        if not ticket.is_open:
            return
        ticket.is_open = False
        ticket.minion.release_slot(ticket.kind)
        self.grant_slots(ticket.pool)
