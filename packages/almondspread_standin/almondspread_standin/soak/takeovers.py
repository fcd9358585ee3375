"""Losses of the leader together with upstreams, executors and the store."""

import asyncio
import math
import random
import signal
from collections.abc import Callable, Coroutine

from attrs import define, field
from loguru import logger

from almondspread.codec import decode_message
from almondspread.jobs.leases import LeaderRow
from almondspread.jobs.ports import RowName
from almondspread.testing.record_store import MemoryRecordStore
from almondspread_standin.soak.instances import Instance, Instances
from almondspread_standin.soak.pool import PoolMember, UpstreamPool
from almondspread_standin.soak.proxy import LinkState
from platform_standin.store_server import StoreFaults

LEADER = RowName("cell", "cell", "leader")
# All losses of one takeover fall into this time.
SAME_TIME_SECONDS = 1.0
LOST_UPSTREAMS = (1, 1, 1, 2)
# The others are cut off for a while, and their runs go on until the leases expire.
DARK_SHARE = 0.75
# This share of the dark upstreams stay away until the end of the soak.
GONE_SHARE = 0.5
EXECUTOR_SHARE = 0.4
STORE_SHARE = 0.35
LEADER_DOMAIN_SHARE = 0.7
MIN_RETURN_SECONDS, MAX_RETURN_SECONDS = 4.0, 20.0
MIN_SECONDS, MAX_SECONDS = 0.5, 3.0
MIN_CUT_SECONDS, MAX_CUT_SECONDS = 2.0, 9.0
LossOfInstance = Callable[[Instance], Coroutine[None, None, None]]


@define(eq=False)
class Takeovers:
    """Has the leader lost, and within the same second other parts of the cell.

    Half of the upstreams stay in reach.
    """

    instances: Instances
    pool: UpstreamPool
    store: MemoryRecordStore
    store_faults: StoreFaults
    rng: random.Random
    _returns: set[asyncio.Task[None]] = field(factory=set)

    async def take_over(self) -> None:
        """Lose upstreams and the leader, perhaps also an executor and the store.

        Returns once all but the dark upstreams are back.
        """
        lost = self._pick_upstreams()
        leader = self.find_leader()
        losses = [self._lose_instance(leader)]
        for member in lost:
            losses.append(self._lose_upstream(member))
        if self.rng.random() < EXECUTOR_SHARE:
            domain = lost[0].domain if lost else leader.domain
            losses.append(self._lose_instance(self._pick_executor(leader, domain)))
        if self.rng.random() < STORE_SHARE:
            losses.append(self._lose_store())
        await asyncio.gather(*losses)

    async def lose_domain(self) -> None:
        """Lose a failure domain for good, mostly the leader's."""
        domain = self.find_leader().domain
        if self.rng.random() >= LEADER_DOMAIN_SHARE:
            domain = self.rng.choice([each.domain for each in self.pool.members])
        logger.info("failure domain lost", domain=domain)
        for member in self.pool.members:
            if member.domain == domain and not member.dark:
                self.pool.darken(member)
        ends = []
        for instance in self.instances.instances:
            if instance.domain == domain:
                ends.append(self.instances.end(instance, signal.SIGKILL))
        await asyncio.gather(*ends)

    def find_leader(self) -> Instance:
        """Return the instance that leads, or any other one where none does."""
        row = self.store.rows.get(LEADER)
        if row is not None and row.value:
            name = decode_message(row.value, LeaderRow).instance
            for instance in self.instances.instances:
                if instance.name == name:
                    return instance
        return self.rng.choice(self.instances.instances)

    def _pick_upstreams(self) -> list[PoolMember]:
        """Return upstreams that may be lost, of which half stay in reach."""
        reached = [member for member in self.pool.members if not member.dark]
        spare = len(reached) - math.ceil(len(self.pool.members) / 2)
        count = min(self.rng.choice(LOST_UPSTREAMS), spare)
        return self.rng.sample(reached, max(count, 0))

    def _pick_executor(self, leader: Instance, domain: str) -> Instance:
        """Return an instance beside the leader, of a failure domain if it has one.

        An upstream's executor is an instance of its failure domain.
        """
        others = [each for each in self.instances.instances if each is not leader]
        near = [each for each in others if each.domain == domain]
        return self.rng.choice(near or others)

    async def _wait_short_time(self) -> None:
        await asyncio.sleep(self.rng.uniform(0.0, SAME_TIME_SECONDS))

    async def _lose_instance(self, instance: Instance) -> None:
        """Lose an instance in one of several ways, mostly with its process."""
        lose: LossOfInstance = self.rng.choice(
            (self._kill, self._kill, self._kill, self._stop, self._pause, self._cut)
        )
        await self._wait_short_time()
        logger.info("instance lost", instance=instance.name, how=lose.__name__)
        await lose(instance)
        logger.info("instance is back", instance=instance.name)

    async def _kill(self, instance: Instance) -> None:
        await self.instances.restart(instance, signal.SIGKILL, self._draw_seconds())

    async def _stop(self, instance: Instance) -> None:
        await self.instances.restart(instance, signal.SIGTERM, self._draw_seconds())

    async def _pause(self, instance: Instance) -> None:
        await self.instances.pause(instance, self._draw_seconds())

    async def _cut(self, instance: Instance) -> None:
        """Cut an instance off from the store and from all that its peers send."""
        proxies = (instance.store_proxy, instance.peer_proxy)
        for proxy in proxies:
            proxy.set_state(LinkState.HELD)
        await asyncio.sleep(self._draw_seconds())
        for proxy in proxies:
            proxy.set_state(LinkState.OPEN)

    def _draw_seconds(self) -> float:
        return self.rng.uniform(MIN_SECONDS, MAX_SECONDS)

    async def _lose_upstream(self, member: PoolMember) -> None:
        """Have an upstream go dark, or cut it off for a while."""
        is_dark = self.rng.random() < DARK_SHARE
        is_gone = self.rng.random() < GONE_SHARE
        seconds = self.rng.uniform(MIN_CUT_SECONDS, MAX_CUT_SECONDS)
        return_after = self.rng.uniform(MIN_RETURN_SECONDS, MAX_RETURN_SECONDS)
        await self._wait_short_time()
        upstream = member.endpoint.upstream
        logger.info(
            "upstream lost",
            upstream=upstream.name,
            address=member.proxy.address,
            dark=is_dark,
            gone=is_gone,
            runs=len(upstream.runs),
        )
        if not is_dark:
            member.proxy.set_state(LinkState.HELD)
            await asyncio.sleep(seconds)
            member.proxy.set_state(LinkState.OPEN)
            logger.info("upstream is back", upstream=upstream.name)
            return
        self.pool.darken(member)
        if not is_gone:
            task = asyncio.create_task(self._return(member, return_after))
            self._returns.add(task)
            task.add_done_callback(self._returns.discard)

    async def _return(self, member: PoolMember, seconds: float) -> None:
        """Have a dark upstream start again after some seconds."""
        await asyncio.sleep(seconds)
        await self.pool.light(member)
        logger.info("upstream started again", upstream=member.endpoint.upstream.name)

    async def _lose_store(self) -> None:
        """Have the store refuse all calls, or answer none, for some seconds."""
        is_silent = self.rng.random() < 0.5
        seconds = self._draw_seconds()
        await self._wait_short_time()
        logger.info("store lost", silent=is_silent)
        proxies = [each.store_proxy for each in self.instances.instances]
        if is_silent:
            for proxy in proxies:
                proxy.set_state(LinkState.HELD)
        else:
            self.store_faults.busy = True
        await asyncio.sleep(seconds)
        for proxy in proxies:
            proxy.set_state(LinkState.OPEN)
        self.store_faults.busy = False
        logger.info("store is back")

    async def stop(self) -> None:
        """Cancel the returns of upstreams that are still due."""
        for task in self._returns:
            task.cancel()
        await asyncio.gather(*self._returns, return_exceptions=True)
