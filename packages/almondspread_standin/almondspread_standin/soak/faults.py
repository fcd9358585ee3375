"""Injection of random faults, which may overlap."""

import asyncio
import random
import signal
import zlib
from collections.abc import Awaitable, Callable
from datetime import timedelta

from attrs import define, field
from loguru import logger

from almondspread.testing.record_store import MemoryRecordStore
from almondspread_standin.soak.calm import Disturbance
from almondspread_standin.soak.foreign_entries import ForeignEntries
from almondspread_standin.soak.instances import Instance, Instances
from almondspread_standin.soak.pool import PoolMember, UpstreamPool
from almondspread_standin.soak.proxy import LinkState, Proxy
from almondspread_standin.soak.restarts import Restarts
from almondspread_standin.soak.silences import Silences
from almondspread_standin.soak.store_troubles import StoreTroubles
from almondspread_standin.soak.takeovers import Takeovers
from platform_standin.store_server import StoreFaults

LINK_STATES = (LinkState.HELD, LinkState.DEAF, LinkState.REFUSED)
RESTART_SECONDS = 0.5
# The partitions are divided into this many shares, of which one may be unavailable.
PARTITION_SHARES = 3
# A disturbed instance works as promised again after this time.
CONTACT_SECONDS = 3.0
REACH_POLL_SECONDS = 0.05
GENERAL_FAULTS = (
    "kill",
    "terminate",
    "pause",
    "hang up",
    "cut instance",
    "cut store",
    "cut domain",
    "cut upstream",
    "delay links",
    "reset links",
    "crash upstream",
    "drain upstream",
    "lose upstreams' answers",
    "malformed upstreams",
    "busy store",
    "slow store",
    "lose answers",
    "refuse parts",
    "forget history",
)
SILENCES = (
    "silence peers",
    "silence stores",
    "silence upstreams",
    "silence all",
)
CONFIGURATION_TROUBLES = (
    "hang up",
    "cut store",
    "crash upstream",
    "drain upstream",
    "lose upstreams' answers",
    "malformed upstreams",
    "forget history",
    "turn away",
    "silence feed",
    "odd entries",
)
# Beside these, a configuration has to be in force in time.
HARMLESS_FAULTS = (*CONFIGURATION_TROUBLES, *SILENCES)
CONFIGURATION_FAULTS = (*CONFIGURATION_TROUBLES, "kill", "terminate")
FOREIGN_ENTRY_FAULTS = ("foreign entry", "crash upstream", "cut upstream", "kill")
SILENCE_FAULTS = (*SILENCES, "kill", "terminate", "crash upstream", "forget history")
RESTART_FAULTS = ("kill", "terminate", "pause", "cut instance", "take over")
# A series of restarts follows the start of the one before after so many seconds, and
# this share of them have another fault beside them.
RESTARTS_PAUSE = (0.5, 2.2)
RESTARTS_OVERLAP_SHARE = 0.2
# This share of the takeovers have another fault beside them.
OVERLAP_SHARE = 0.3
# Those of a series follow each other soon; this share of them are its last one.
SERIES_PAUSE = (0.5, 5.0)
CALM_SHARE = 0.6
CALM_PAUSE = (9.0, 14.0)
DOMAIN_LOSS_DELAY = (4.0, 6.0)
# Neither an instance, nor the store, a link or an upstream fails.
CALM_FAULTS = ("hang up", "odd entries")
SECOND = timedelta(seconds=1)
NO_TIME = timedelta(0)


@define(eq=False)
class FaultInjector:
    """Injects faults from outside the processes, chosen by a seeded generator.

    ``injected`` counts the faults, whose ``kinds`` may be limited, and ``disturbances``
    has those after which the cell is not calm for a while. Each fault undoes
    itself at its end, so ``wait_for_faults`` has to be awaited before the end of a soak
    is checked.
    """

    instances: Instances
    pool: UpstreamPool
    store: MemoryRecordStore
    store_faults: StoreFaults
    rng: random.Random
    kinds: tuple[str, ...] = GENERAL_FAULTS
    injected: int = 0
    disturbances: list[Disturbance] = field(factory=list)
    _disturbing: int = 0
    _undisturbed_since: float = 0.0
    _running: set[asyncio.Task[None]] = field(factory=set)
    _troubles: StoreTroubles = field(init=False)
    _silences: Silences = field(init=False)
    _takeovers: Takeovers = field(init=False)
    _restarts: Restarts = field(init=False)
    _foreign_entries: ForeignEntries = field(init=False)
    _faults: dict[str, Callable[[], Awaitable[None]]] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._troubles = StoreTroubles(
            self.instances, self.store, self.store_faults, self.rng
        )
        self._silences = Silences(self.instances, self.pool, self.rng)
        self._restarts = Restarts(self.pool, self.rng)
        self._foreign_entries = ForeignEntries(self.pool, self.store, self.rng)
        self._takeovers = Takeovers(
            self.instances, self.pool, self.store, self.store_faults, self.rng
        )
        self._faults = self.collect_faults()

    def is_disturbed(self) -> bool:
        """Tell whether there is, or was a moment ago, a fault that may delay anything.

        Faults that keep instances from the store count once they keep all of them from
        it, as several may do together: then nobody can learn of a change.
        """
        now = asyncio.get_running_loop().time()
        return self._disturbing > 0 or now < self._undisturbed_since

    def collect_faults(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """Return the functions that inject a fault, by the kind of fault."""
        return {
            "kill": self._kill,
            "terminate": self._terminate,
            "pause": self._pause,
            "hang up": self._send_sighup,
            "cut instance": self._cut_instance,
            "cut store": self._cut_store,
            "cut domain": self._cut_domain,
            "cut upstream": self._cut_upstream,
            "delay links": self._delay_links,
            "reset links": self._reset_links,
            "crash upstream": self._crash_upstream,
            "drain upstream": self._drain_upstream,
            "lose upstreams' answers": self._lose_upstream_answers,
            "malformed upstreams": self._malform_upstream_answers,
            "busy store": self._make_store_busy,
            "slow store": self._slow_store,
            "lose answers": self._lose_answers,
            "refuse parts": self._refuse_partition_share,
            "forget history": self._forget_history,
            "turn away": self._troubles.turn_away,
            "silence feed": self._troubles.silence_feed,
            "odd entries": self._troubles.write_odd_entries,
            "silence peers": self._silences.silence_peers,
            "silence stores": self._silences.silence_stores,
            "silence upstreams": self._silences.silence_upstreams,
            "silence all": self._silences.silence_all,
            "take over": self._takeovers.take_over,
            "lose domain": self._takeovers.lose_domain,
            "restart upstreams": self._restarts.restart_some,
            "foreign entry": self._foreign_entries.write,
        }

    def is_store_reached(self) -> bool:
        """Tell whether at least one instance reaches the store now."""
        for instance in self.instances.instances:
            is_turned_away = instance.store_faults.turned_away is not None
            is_open = instance.store_proxy.state is LinkState.OPEN
            if instance.is_alive and is_open and not is_turned_away:
                return True
        return False

    async def watch_store(self) -> None:
        """Note the times at which no instance reaches the store, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            if not self.is_store_reached():
                self._undisturbed_since = loop.time() + CONTACT_SECONDS
            await asyncio.sleep(REACH_POLL_SECONDS)

    async def run(self) -> None:
        """Start one fault after another at random intervals until cancelled."""
        while True:
            await asyncio.sleep(self.rng.uniform(0.2, 2.5))
            self._start(self.rng.choice(sorted(self.kinds)))

    async def run_domain_loss(self) -> None:
        """Lose one failure domain, once tasks have begun; runs until cancelled."""
        await asyncio.sleep(self.rng.uniform(*DOMAIN_LOSS_DELAY))
        self._start("lose domain")
        await asyncio.Event().wait()

    async def run_takeovers(self) -> None:
        """Have one takeover after another, in series with pauses, until cancelled."""
        while True:
            await asyncio.sleep(self.rng.uniform(*SERIES_PAUSE))
            takeover_task = self._start("take over")
            if self.rng.random() < OVERLAP_SHARE:
                self._start(self.rng.choice(GENERAL_FAULTS))
            await asyncio.wait([takeover_task])
            if self.rng.random() < CALM_SHARE:
                await asyncio.sleep(self.rng.uniform(*CALM_PAUSE))

    async def run_restarts(self) -> None:
        """Have upstreams restart in series that overlap, until cancelled."""
        while True:
            await asyncio.sleep(self.rng.uniform(*RESTARTS_PAUSE))
            self._start("restart upstreams")
            if self.rng.random() < RESTARTS_OVERLAP_SHARE:
                self._start(self.rng.choice(RESTART_FAULTS))

    def _start(self, kind: str) -> asyncio.Task[None]:
        """Start a fault, and return the task that runs it until its end."""
        logger.info("fault", kind=kind)
        self.injected += 1
        fault_task = asyncio.create_task(self._inject(kind, self._faults[kind]))
        self._running.add(fault_task)
        fault_task.add_done_callback(self._running.discard)
        return fault_task

    async def _inject(self, kind: str, fault: Callable[[], Awaitable[None]]) -> None:
        """Run a fault until it has undone itself, and record how long it lasts."""
        loop = asyncio.get_running_loop()
        is_disturbing = kind not in HARMLESS_FAULTS
        disturbance = Disturbance(kind, loop.time())
        if kind not in CALM_FAULTS:
            self.disturbances.append(disturbance)
        self._disturbing += is_disturbing
        try:
            await fault()
        finally:
            disturbance.ended = loop.time()
            self._disturbing -= is_disturbing
            if is_disturbing:
                self._undisturbed_since = loop.time() + CONTACT_SECONDS

    def record_start(self) -> None:
        """Record that an instance is started, which disturbs the cell for a moment."""
        now = asyncio.get_running_loop().time()
        self.disturbances.append(Disturbance("start", now, now))

    async def wait_for_faults(self) -> None:
        """Wait until all active faults have ended and undone themselves."""
        await asyncio.gather(*self._running)

    async def stop(self) -> None:
        """Cancel all active faults, before the processes and proxies are stopped."""
        for fault_task in self._running:
            fault_task.cancel()
        await asyncio.gather(*self._running, return_exceptions=True)
        await self._takeovers.stop()

    def _pick_instance(self) -> Instance:
        return self.rng.choice(self.instances.instances)

    def _pick_member(self) -> PoolMember:
        return self.rng.choice([each for each in self.pool.members if not each.dark])

    async def _wait_random_time(self) -> None:
        """Wait for the random duration of a fault."""
        await asyncio.sleep(self._draw_seconds())

    def _draw_seconds(self) -> float:
        return self.rng.uniform(0.5, 6.0)

    async def _kill(self) -> None:
        await self._restart(signal.SIGKILL)

    async def _terminate(self) -> None:
        await self._restart(signal.SIGTERM)

    async def _restart(self, signal_number: signal.Signals) -> None:
        """End one, two or all instances by a signal, and start them again."""
        count = self.rng.choice((1, 1, 1, 2, len(self.instances.instances)))
        chosen = self.rng.sample(self.instances.instances, count)
        await asyncio.gather(
            *(
                self.instances.restart(instance, signal_number, RESTART_SECONDS)
                for instance in chosen
            )
        )

    async def _pause(self) -> None:
        await self.instances.pause(self._pick_instance(), self._draw_seconds())

    async def _send_sighup(self) -> None:
        self.instances.send_signal(self._pick_instance(), signal.SIGHUP)

    async def _cut(self, proxies: list[Proxy]) -> None:
        state = self.rng.choice(LINK_STATES)
        for proxy in proxies:
            proxy.set_state(state)
        await self._wait_random_time()
        for proxy in proxies:
            proxy.set_state(LinkState.OPEN)

    async def _cut_instance(self) -> None:
        instance = self._pick_instance()
        await self._cut([instance.store_proxy, instance.peer_proxy])

    async def _cut_store(self) -> None:
        await self._cut([self._pick_instance().store_proxy])

    async def _cut_domain(self) -> None:
        domain = self._pick_instance().domain
        proxies = [
            member.proxy for member in self.pool.members if member.domain == domain
        ]
        for instance in self.instances.instances:
            if instance.domain == domain:
                proxies.extend((instance.store_proxy, instance.peer_proxy))
        await self._cut(proxies)

    async def _cut_upstream(self) -> None:
        await self._cut([self._pick_member().proxy])

    def _list_proxies(self) -> list[Proxy]:
        proxies = [member.proxy for member in self.pool.members]
        for instance in self.instances.instances:
            proxies.extend((instance.store_proxy, instance.peer_proxy))
        return proxies

    async def _delay_links(self) -> None:
        proxies = self.rng.sample(self._list_proxies(), 4)
        for proxy in proxies:
            proxy.delay = self.rng.uniform(0.01, 0.4)
        await self._wait_random_time()
        for proxy in proxies:
            proxy.delay = 0.0

    async def _reset_links(self) -> None:
        for proxy in self.rng.sample(self._list_proxies(), 5):
            proxy.reset()

    async def _crash_upstream(self) -> None:
        await self.pool.crash(self._pick_member())

    async def _drain_upstream(self) -> None:
        member = self._pick_member()
        member.draining = True
        # Longer than the remaining time that the entry of a draining upstream states.
        await asyncio.sleep(3.0)
        if member.draining:
            await self.pool.crash(member)

    async def _lose_upstream_answers(self) -> None:
        faults = self.pool.faults
        faults.loses_answer = lambda: self.rng.random() < 0.3
        faults.applies_late = lambda: self.rng.random() < 0.5
        await self._wait_random_time()
        faults.loses_answer = lambda: False

    async def _malform_upstream_answers(self) -> None:
        self.pool.faults.is_malformed = lambda: self.rng.random() < 0.2
        await self._wait_random_time()
        self.pool.faults.is_malformed = lambda: False

    async def _make_store_busy(self) -> None:
        self.store_faults.busy = True
        await self._wait_random_time()
        self.store_faults.busy = False

    async def _slow_store(self) -> None:
        self.store_faults.delay = self.rng.choice((0.05, 0.25)) * SECOND
        await self._wait_random_time()
        self.store_faults.delay = NO_TIME

    async def _lose_answers(self) -> None:
        self.store_faults.loses_answer = lambda: self.rng.random() < 0.3
        self.store_faults.applies_late = lambda: self.rng.random() < 0.5
        await self._wait_random_time()
        self.store_faults.loses_answer = lambda: False

    async def _refuse_partition_share(self) -> None:
        refused = self.rng.randrange(PARTITION_SHARES)
        self.store.refuses = lambda partition: _compute_share(partition) == refused
        await self._wait_random_time()
        self.store.refuses = lambda _: False

    async def _forget_history(self) -> None:
        self.store.compacted_version = self.store.version


def _compute_share(partition: str) -> int:
    """Return the share that a partition belongs to, or -1 for the unnamed partition."""
    return zlib.crc32(partition.encode()) % PARTITION_SHARES if partition else -1
