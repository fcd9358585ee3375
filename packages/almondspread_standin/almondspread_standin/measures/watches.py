"""How many watches an instance carries, and what a death costs them."""

import asyncio
import random
from typing import Any

from attrs import define, field

from almondspread.clock import Clock, SystemClock
from almondspread_standin.measures.fleet import Fleet
from almondspread_standin.measures.results import find_quantile
from almondspread_standin.measures.streams import (
    WatchStream,
    open_watch_client,
    wait_until,
)

SETTLE_SECONDS = 30.0


@define
class Watcher:
    """The revisions that one watch was told of, in order."""

    revisions: list[int] = field(factory=list)


class WatchLoad:
    """Many watches at one instance, with another one to go on at."""

    def __init__(self, fleet: Fleet, clock: Clock, watchers: int) -> None:
        self.lags: list[float] = []
        self.watchers = [Watcher() for _ in range(watchers)]
        self.streams: list[WatchStream] = []
        self._fleet = fleet
        self._clock = clock
        self._sent: dict[str, float] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self.revisions: list[int] = []

    def _now(self) -> float:
        """Return the monotonic time in seconds."""
        return self._clock.monotonic().total_seconds()

    async def open(self) -> bool:
        """Open all watches; tell whether all of them began."""
        client = open_watch_client(len(self.watchers))
        urls = [node.url for node in self._fleet.nodes]
        for watcher in self.watchers:
            stream = WatchStream(
                client, urls, "kinds=team", 0, self._make_taker(watcher)
            )
            self.streams.append(stream)
            self._tasks.append(asyncio.create_task(stream.run()))
        return await self.wait_open()

    async def wait_open(self) -> bool:
        """Wait until all watches run."""
        return await wait_until(
            lambda: all(stream.is_open for stream in self.streams), SETTLE_SECONDS
        )

    def _make_taker(self, watcher: Watcher) -> Any:
        """Return what notes the lines of one watch."""

        def take_line(line: dict[str, Any]) -> None:
            watcher.revisions.append(line["revision"])
            self.lags.append(self._now() - self._sent[line["name"]])

        return take_line

    async def send(self, url: str, count: int, pause: float) -> None:
        """Apply teams one after the other."""
        for _ in range(count):
            name = f"team-{len(self._sent)}"
            document = {
                "kind": "team",
                "metadata": {"name": name},
                "cpu_millis": 1,
                "memory_mib": 1,
            }
            self._sent[name] = self._now()
            body = {"items": [{"document": document}]}
            status, answer = await self._fleet.call(f"{url}/v1/apply", "POST", body)
            if status != 200:
                raise RuntimeError(f"apply answered {status}: {answer}")
            self.revisions.append(answer["revision"])
            await asyncio.sleep(pause)

    async def settle(self) -> bool:
        """Wait until every watch has as many lines as there were changes."""
        count = len(self.revisions)
        return await wait_until(
            lambda: all(len(w.revisions) >= count for w in self.watchers),
            SETTLE_SECONDS,
        )

    def count_faults(self) -> tuple[int, int, int]:
        """Return how many lines were missed, doubled and out of order."""
        missed = doubled = disordered = 0
        wanted = set(self.revisions)
        for watcher in self.watchers:
            told = watcher.revisions
            missed += len(wanted - set(told))
            doubled += len(told) - len(set(told))
            disordered += told != sorted(told)
        return missed, doubled, disordered

    def stop(self) -> None:
        """Close the watches."""
        for task in self._tasks:
            task.cancel()


async def measure_watches(
    watchers: int, seed: int, changes: int, pause: float
) -> dict[str, Any]:
    """Measure watches at one daemon, then kill it and let them go on at another."""
    clock = SystemClock()
    fleet = Fleet(clock, 1, 2, grouped=False)
    load = WatchLoad(fleet, clock, watchers)
    choice = random.Random(seed)
    first, second = fleet.nodes
    try:
        await fleet.start()
        idle_mb = fleet.read_resident_mb(first)
        if not await load.open():
            raise TimeoutError("the watches did not open")
        cpu_before = await read_cpu(fleet, first.url)
        for _ in range(changes):
            await load.send(choice.choice(fleet.nodes).url, 1, pause)
        settled = await load.settle()
        cpu_seconds = await read_cpu(fleet, first.url) - cpu_before
        lags = list(load.lags)
        resident_mb = fleet.read_resident_mb(first)
        fleet.kill(first)
        await load.send(second.url, changes, pause)
        reopened = await load.wait_open()
        settled = await load.settle() and settled and reopened
        missed, doubled, disordered = load.count_faults()
        return {
            "watchers": watchers,
            "seed": seed,
            "changes": len(load.revisions),
            "lines": len(load.lags),
            "lag_p50_ms": round(find_quantile(lags, 0.5) * 1000, 1),
            "lag_p99_ms": round(find_quantile(lags, 0.99) * 1000, 1),
            "lag_max_ms": round(max(lags) * 1000, 1),
            "cpu_ms_per_change": round(cpu_seconds / changes * 1000, 1),
            "resident_mb": round(resident_mb, 1),
            "resident_idle_mb": round(idle_mb, 1),
            "missed": missed,
            "doubled": doubled,
            "out_of_order": disordered,
            "expired": sum(stream.expired for stream in load.streams),
            "cuts": sum(stream.cuts for stream in load.streams),
            "settled": settled,
        }
    finally:
        load.stop()
        fleet.stop()


async def read_cpu(fleet: Fleet, url: str) -> float:
    """Return the processor seconds that an instance has used."""
    _, document = await fleet.call(f"{url}/v1/status")
    return float(document["control"]["cpu_seconds"])
