"""How soon a change of configuration is in force everywhere."""

import asyncio
import random
from typing import Any

from attrs import define, field

from almondspread.clock import Clock, SystemClock
from almondspread_standin.measures.fleet import Fleet, Node
from almondspread_standin.measures.streams import (
    WatchStream,
    open_watch_client,
    wait_until,
)

DOMAINS = 6
CHANGES_A_DAY = 2_300
BURST = 100
SETTLE_SECONDS = 30.0
OUTAGE_SECONDS = 5.0
NAMES = 20


@define
class Change:
    """One accepted change, by what it was sent as and when it arrived where.

    Times are monotonic seconds of this process.
    """

    mark: str
    sent: float
    accepted: float = 0.0
    revision: int = 0
    arrived: dict[str, float] = field(factory=dict)


class ConfigurationLoad:
    """Changes configurations at random instances and watches all of them."""

    def __init__(self, fleet: Fleet, clock: Clock, seed: int) -> None:
        self.changes: dict[str, Change] = {}
        self.refused = 0
        self.unknown = 0
        self.reverted = 0
        self._fleet = fleet
        self._clock = clock
        self._random = random.Random(seed)
        self._latest: dict[tuple[str, str], int] = {}
        self._streams: list[WatchStream] = []
        self._tasks: list[asyncio.Task[None]] = []

    def _now(self) -> float:
        """Return the monotonic time in seconds."""
        return self._clock.monotonic().total_seconds()

    async def start(self) -> None:
        """Open a watch at every instance."""
        client = open_watch_client(len(self._fleet.nodes))
        for node in self._fleet.nodes:
            stream = WatchStream(
                client, [node.url], "kinds=configuration", 0, self._make_taker(node)
            )
            self._streams.append(stream)
            self._tasks.append(asyncio.create_task(stream.run()))
        opened = await wait_until(
            lambda: all(stream.is_open for stream in self._streams), SETTLE_SECONDS
        )
        if not opened:
            raise TimeoutError("the watches did not open")

    def stop(self) -> None:
        """Close the watches."""
        for task in self._tasks:
            task.cancel()

    def _make_taker(self, node: Node) -> Any:
        """Return what notes the lines of one instance."""

        def take_line(line: dict[str, Any]) -> None:
            key = (node.name, line["name"])
            if line["revision"] < self._latest.get(key, 0):
                self.reverted += 1
            self._latest[key] = line["revision"]
            change = self.changes.get(line["document"]["values"]["mark"])
            if change is not None:
                change.revision = line["revision"]
                change.arrived.setdefault(node.name, self._now())

        return take_line

    async def change(self, nodes: list[Node]) -> Change:
        """Send one change to one of some instances."""
        number = len(self.changes)
        change = Change(f"change-{number}", self._now())
        self.changes[change.mark] = change
        document = {
            "kind": "configuration",
            "metadata": {"name": f"cell-{self._random.randrange(NAMES)}"},
            "policy": self._random.choice(("waiting", "packing")),
            "values": {"mark": change.mark},
        }
        node = self._random.choice(nodes)
        body = {"items": [{"document": document}]}
        status, _ = await self._fleet.call(f"{node.url}/v1/apply", "POST", body)
        if status == 200:
            change.accepted = self._now()
        elif status == 503:
            self.refused += 1
        else:
            self.unknown += 1
        return change

    async def settle(self, changes: list[Change], names: set[str]) -> bool:
        """Wait until the accepted ones are in force at some instances."""
        accepted = [change for change in changes if change.accepted]
        return await wait_until(
            lambda: all(names <= change.arrived.keys() for change in accepted),
            SETTLE_SECONDS,
        )


def find_slowest(changes: list[Change], names: set[str], since: float = 0.0) -> float:
    """Return the longest time from sending a change until it was in force.

    Counted are some instances, and for a time of its own from ``since`` on.
    """
    slowest = 0.0
    for change in changes:
        if not change.accepted:
            continue
        for name in names:
            arrived = change.arrived.get(name)
            if arrived is None:
                return float("inf")
            slowest = max(slowest, arrived - max(change.sent, since))
    return slowest


async def send_steadily(
    load: ConfigurationLoad, nodes: list[Node], count: int, pause: float
) -> list[Change]:
    """Send changes one after the other with a pause between them."""
    changes = []
    for _ in range(count):
        changes.append(await load.change(nodes))
        await asyncio.sleep(pause)
    return changes


async def measure_configuration(
    instances: int, seed: int, steady_seconds: float
) -> dict[str, Any]:
    """Measure one fleet, and a second one that follows by polls only."""
    result = await _measure_fleet(instances, seed, steady_seconds)
    baseline = await _measure_polls(instances, seed)
    return {**result, "poll_only_in_force_max_s": baseline}


async def _measure_polls(instances: int, seed: int) -> float:
    """Return the slowest change where instances learn of changes by polls only."""
    clock = SystemClock()
    fleet = Fleet(clock, DOMAINS, instances, grouped=True)
    load = ConfigurationLoad(fleet, clock, seed)
    names = {node.name for node in fleet.nodes}
    try:
        await fleet.start()
        for group in fleet.groups:
            await fleet.set_host_faults(group, poll_only=True)
        await load.start()
        changes = await send_steadily(load, fleet.nodes, 10, 0.5)
        await load.settle(changes, names)
        return round(find_slowest(changes, names), 3)
    finally:
        load.stop()
        fleet.stop()


async def _measure_fleet(
    instances: int, seed: int, steady_seconds: float
) -> dict[str, Any]:
    """Measure the day's rate, a burst, an outage and a cut."""
    clock = SystemClock()
    fleet = Fleet(clock, DOMAINS, instances, grouped=True)
    load = ConfigurationLoad(fleet, clock, seed)
    names = {node.name for node in fleet.nodes}
    cut_domain = fleet.nodes[0].failure_domain
    staying = [node for node in fleet.nodes if node.failure_domain != cut_domain]
    staying_names = {node.name for node in staying}
    try:
        await fleet.start()
        await load.start()
        pause = 86_400 / CHANGES_A_DAY
        count = max(1, round(steady_seconds / pause))
        steady = await send_steadily(load, fleet.nodes, count, pause)
        whole = await load.settle(steady, names)
        calls = [load.change(fleet.nodes) for _ in range(BURST)]
        burst = list(await asyncio.gather(*calls))
        whole = await load.settle(burst, names) and whole

        await fleet.set_platform_faults(down=True)
        calls = [load.change(fleet.nodes) for _ in range(10)]
        sent = asyncio.gather(*calls)
        await asyncio.sleep(OUTAGE_SECONDS)
        await fleet.set_platform_faults(down=False)
        back = clock.monotonic().total_seconds()
        during = list(await sent)
        during.extend(await send_steadily(load, fleet.nodes, 5, 0.2))
        whole = await load.settle(during, names) and whole

        await fleet.cut_off(cut_domain)
        cut = await send_steadily(load, staying, 20, 0.2)
        whole = await load.settle(cut, staying_names) and whole
        reached = [c for c in cut if c.arrived.keys() - staying_names]
        await fleet.reconnect()
        healed = clock.monotonic().total_seconds()
        whole = await load.settle(cut, names) and whole
        return {
            "instances": instances,
            "seed": seed,
            "steady_changes": len(steady),
            "changes_accepted": sum(1 for c in load.changes.values() if c.accepted),
            "changes_refused": load.refused,
            "changes_unknown": load.unknown,
            "in_force_max_s": round(
                max(
                    find_slowest(steady + burst, names),
                    find_slowest(cut, staying_names),
                ),
                3,
            ),
            "steady_max_s": round(find_slowest(steady, names), 3),
            "burst_max_s": round(find_slowest(burst, names), 3),
            "cut_others_max_s": round(find_slowest(cut, staying_names), 3),
            "after_outage_max_s": round(find_slowest(during, names, back), 3),
            "after_cut_max_s": round(find_slowest(cut, names, healed), 3),
            "reached_through_cut": len(reached),
            "reverted": load.reverted,
            "all_in_force": whole,
        }
    finally:
        load.stop()
        fleet.stop()
