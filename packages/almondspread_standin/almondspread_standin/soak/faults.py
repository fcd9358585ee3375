"""Random faults: one after another, and over each other."""

import asyncio
import random
import signal
import zlib
from collections.abc import Awaitable, Callable
from datetime import timedelta

from attrs import define, field
from loguru import logger

from almondspread.testing.record_store import MemoryRecordStore
from almondspread_standin.soak.instances import Instance, Instances
from almondspread_standin.soak.pool import PoolMember, UpstreamPool
from almondspread_standin.soak.proxy import LinkState, Proxy
from platform_standin.store_server import StoreFaults

LINK_STATES = (LinkState.HELD, LinkState.DEAF, LinkState.REFUSED)
RESTART_SECONDS = 0.5
# Into how many shares the parts of the store fall, of which one may be away.
SHARES = 3
SECOND = timedelta(seconds=1)
NO_TIME = timedelta(0)


@define(eq=False)
class FaultInjector:
    """Injects faults from outside the processes, by a seeded choice.

    ``ease`` has to be called at the end, so that everything works again.
    """

    instances: Instances
    pool: UpstreamPool
    store: MemoryRecordStore
    store_faults: StoreFaults
    source: random.Random
    injected: int = 0
    _running: set[asyncio.Task[None]] = field(factory=set)

    def list_kinds(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Return what can go wrong, by name."""
        return {
            "kill": self._kill,
            "terminate": self._terminate,
            "pause": self._pause,
            "hang up": self._hang_up,
            "cut instance": self._cut_instance,
            "cut store": self._cut_store,
            "cut domain": self._cut_domain,
            "cut upstream": self._cut_upstream,
            "delay links": self._delay_links,
            "reset links": self._reset_links,
            "crash upstream": self._crash_upstream,
            "drain upstream": self._drain_upstream,
            "busy store": self._make_store_busy,
            "slow store": self._slow_store,
            "lose answers": self._lose_answers,
            "refuse parts": self._refuse_parts,
            "forget history": self._forget_history,
        }

    async def run(self) -> None:
        """Begin one fault after another until cancelled."""
        kinds = self.list_kinds()
        while True:
            await asyncio.sleep(self.source.uniform(0.2, 2.5))
            name = self.source.choice(sorted(kinds))
            logger.info("fault", kind=name)
            self.injected += 1
            task = asyncio.create_task(kinds[name]())
            self._running.add(task)
            task.add_done_callback(self._running.discard)

    async def wait_for_faults(self) -> None:
        """Let the faults that run come to their end."""
        await asyncio.gather(*self._running)

    async def stop(self) -> None:
        """Give up the faults that run, before what they act on ends."""
        for task in self._running:
            task.cancel()
        await asyncio.gather(*self._running, return_exceptions=True)

    def _pick_instance(self) -> Instance:
        return self.source.choice(self.instances.instances)

    def _pick_place(self) -> PoolMember:
        return self.source.choice(self.pool.members)

    async def _last(self) -> None:
        """Let a fault last a while."""
        await asyncio.sleep(self.source.uniform(0.5, 6.0))

    async def _kill(self) -> None:
        await self._restart(signal.SIGKILL)

    async def _terminate(self) -> None:
        await self._restart(signal.SIGTERM)

    async def _restart(self, number: signal.Signals) -> None:
        """End some instances, and start them again."""
        count = self.source.choice((1, 1, 1, 2, len(self.instances.instances)))
        chosen = self.source.sample(self.instances.instances, count)
        await asyncio.gather(*(self._restart_one(each, number) for each in chosen))

    async def _restart_one(self, instance: Instance, number: signal.Signals) -> None:
        life = instance.start_count
        await self.instances.end(instance, number)
        await asyncio.sleep(RESTART_SECONDS)
        if instance.start_count == life and not instance.is_alive:
            await self.instances.start(instance)

    async def _pause(self) -> None:
        instance = self._pick_instance()
        self.instances.send_signal(instance, signal.SIGSTOP)
        instance.paused_until = asyncio.get_running_loop().time() + 60
        await self._last()
        self.instances.send_signal(instance, signal.SIGCONT)
        instance.paused_until = asyncio.get_running_loop().time()

    async def _hang_up(self) -> None:
        self.instances.send_signal(self._pick_instance(), signal.SIGHUP)

    async def _cut(self, proxies: list[Proxy]) -> None:
        state = self.source.choice(LINK_STATES)
        for proxy in proxies:
            proxy.set_state(state)
        await self._last()
        for proxy in proxies:
            proxy.set_state(LinkState.OPEN)

    async def _cut_instance(self) -> None:
        instance = self._pick_instance()
        await self._cut([instance.store_proxy, instance.peer_proxy])

    async def _cut_store(self) -> None:
        await self._cut([self._pick_instance().store_proxy])

    async def _cut_domain(self) -> None:
        domain = self._pick_instance().domain
        proxies = [place.proxy for place in self.pool.members if place.domain == domain]
        for instance in self.instances.instances:
            if instance.domain == domain:
                proxies.extend((instance.store_proxy, instance.peer_proxy))
        await self._cut(proxies)

    async def _cut_upstream(self) -> None:
        await self._cut([self._pick_place().proxy])

    def _list_proxies(self) -> list[Proxy]:
        proxies = [place.proxy for place in self.pool.members]
        for instance in self.instances.instances:
            proxies.extend((instance.store_proxy, instance.peer_proxy))
        return proxies

    async def _delay_links(self) -> None:
        proxies = self.source.sample(self._list_proxies(), 4)
        for proxy in proxies:
            proxy.delay = self.source.uniform(0.01, 0.4)
        await self._last()
        for proxy in proxies:
            proxy.delay = 0.0

    async def _reset_links(self) -> None:
        for proxy in self.source.sample(self._list_proxies(), 5):
            proxy.reset()

    async def _crash_upstream(self) -> None:
        await self.pool.crash(self._pick_place())

    async def _drain_upstream(self) -> None:
        place = self._pick_place()
        place.draining = True
        await asyncio.sleep(3.0)
        if place.draining:
            await self.pool.crash(place)

    async def _make_store_busy(self) -> None:
        self.store_faults.busy = True
        await self._last()
        self.store_faults.busy = False

    async def _slow_store(self) -> None:
        self.store_faults.delay = self.source.choice((0.05, 0.25)) * SECOND
        await self._last()
        self.store_faults.delay = NO_TIME

    async def _lose_answers(self) -> None:
        self.store_faults.loses_answer = lambda: self.source.random() < 0.3
        self.store_faults.applies_late = lambda: self.source.random() < 0.5
        await self._last()
        self.store_faults.loses_answer = lambda: False

    async def _refuse_parts(self) -> None:
        refused = self.source.randrange(SHARES)
        self.store.refuses = lambda part: _find_share(part) == refused
        await self._last()
        self.store.refuses = lambda _: False

    async def _forget_history(self) -> None:
        self.store.compacted_version = self.store.version


def _find_share(part: str) -> int:
    """Return which share of the store's parts a part belongs to, if any."""
    return zlib.crc32(part.encode()) % SHARES if part else -1
