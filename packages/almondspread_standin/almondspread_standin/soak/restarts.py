"""Restarts of upstreams under their ids, as of machines that lose power."""

import asyncio
import random
from enum import StrEnum

from attrs import define, field
from loguru import logger

from almondspread_standin.soak.pool import PoolMember, UpstreamPool
from almondspread_standin.soak.proxy import LinkState

COUNTS = (1, 1, 2, 3, 4)
# At the others, open connections are reset.
SILENT_SHARE = 0.8
TWICE_SHARE = 0.25
MIN_TWICE_SECONDS, MAX_TWICE_SECONDS = 0.1, 3.0
MIN_LATE_SECONDS, MAX_LATE_SECONDS = 0.2, 7.0
# A call on a silent connection has timed out after this time.
UNNOTICED_SECONDS = 2.5
POLL_SECONDS = 0.02


class Listing(StrEnum):
    """When the store lists the next incarnation; ``held`` also holds its link."""

    AT_ONCE = "at once"
    LATE = "late"
    HELD = "held"


@define(frozen=True)
class RestartPlan:
    """How an upstream restarts; ``pauses`` has the seconds before each restart."""

    listing: Listing
    silences: bool
    pauses: tuple[float, ...]
    late_seconds: float


@define(eq=False)
class Restarts:
    """Restarts upstreams; each series leaves those alone that restart already."""

    pool: UpstreamPool
    rng: random.Random
    _restarting: set[int] = field(factory=set)

    async def restart_some(self) -> None:
        """Restart some upstreams at once; returns once all are listed and reached."""
        free = []
        for member in self.pool.members:
            is_away = member.dark or member.down or member.cut_off
            if not is_away and member.number not in self._restarting:
                free.append(member)
        chosen = self.rng.sample(free, min(self.rng.choice(COUNTS), len(free)))
        plans = [self._draw_plan() for _ in chosen]
        await asyncio.gather(*map(self._restart, chosen, plans))

    def _draw_plan(self) -> RestartPlan:
        pauses = [0.0]
        if self.rng.random() < TWICE_SHARE:
            pauses.append(self.rng.uniform(MIN_TWICE_SECONDS, MAX_TWICE_SECONDS))
        return RestartPlan(
            self.rng.choice(list(Listing)),
            self.rng.random() < SILENT_SHARE,
            tuple(pauses),
            self.rng.uniform(MIN_LATE_SECONDS, MAX_LATE_SECONDS),
        )

    async def _restart(self, member: PoolMember, plan: RestartPlan) -> None:
        """Restart an upstream, and have the store list it in the end."""
        self._restarting.add(member.number)
        try:
            if plan.listing is not Listing.AT_ONCE:
                self.pool.cut_off(member)
            for pause in plan.pauses:
                await asyncio.sleep(pause)
                self._log(member, plan)
                self.pool.restart(member, silences=plan.silences)
                if plan.listing is Listing.AT_ONCE:
                    await self.pool.list_again(member)
            if plan.listing is Listing.HELD:
                await self._hold(member, plan.late_seconds)
            elif plan.listing is Listing.LATE:
                await asyncio.sleep(plan.late_seconds)
            await self.pool.list_again(member)
        finally:
            self._restarting.discard(member.number)

    async def _hold(self, member: PoolMember, seconds: float) -> None:
        """Hold the link of an upstream once it was given a run, or late."""
        proxy, upstream = member.proxy, member.endpoint.upstream
        unnoticed = UNNOTICED_SECONDS
        while unnoticed > 0 and not upstream.started:
            await asyncio.sleep(POLL_SECONDS)
            unnoticed -= POLL_SECONDS
        proxy.set_state(LinkState.HELD)
        await asyncio.sleep(seconds)
        proxy.set_state(LinkState.OPEN)

    def _log(self, member: PoolMember, plan: RestartPlan) -> None:
        upstream = member.endpoint.upstream
        logger.info(
            "upstream restarts",
            upstream=upstream.name,
            address=member.proxy.address,
            born=upstream.born,
            plan=plan,
        )
