"""A minion without its transport: what it runs, and the truth about it."""

import asyncio
import hashlib
import json
from collections import Counter
from collections.abc import AsyncIterator
from datetime import timedelta
from typing import Any

from attrs import define, evolve

from almondspread.clock import Clock
from almondspread_standin.minions.faults import MinionFaults

MONITOR_INTERVAL = timedelta(milliseconds=10)


@define(frozen=True)
class KindBehaviour:
    """How long a request of one kind takes, and how many bytes pad its answer."""

    service_time: timedelta
    padding_bytes: int = 0


DEFAULT_BEHAVIOURS = {
    "lookup": KindBehaviour(timedelta(milliseconds=5)),
    "recalculation": KindBehaviour(timedelta(milliseconds=200)),
    "reservation": KindBehaviour(timedelta(milliseconds=50)),
    "monitor": KindBehaviour(timedelta(seconds=5)),
}


@define(frozen=True)
class MinionRun:
    """One request that a minion began to run."""

    kind: str
    key: str
    digest: str
    moment: timedelta


@define(frozen=True)
class MinionCounters:
    """A summary of what a minion saw."""

    runs: int
    in_flight: int
    max_in_flight: int
    connections: int
    max_connections: int
    keys_run_again: int


def digest_body(body: bytes) -> str:
    """Return the digest that a minion puts into its answer to a request."""
    return hashlib.sha256(body).hexdigest()


class MinionAgent:
    """Runs requests, counts slots and connections and records every run.

    It runs whatever it is sent, also beyond its slots, and records the most that it
    ever had at once.
    """

    def __init__(
        self,
        name: str,
        service: str,
        clock: Clock,
        *,
        slots: int = 8,
        connections: int = 64,
        behaviours: dict[str, KindBehaviour] | None = None,
    ) -> None:
        self.name = name
        self.service = service
        self.slots = slots
        self.connection_limit = connections
        self.faults = MinionFaults()
        self.behaviours = dict(behaviours or DEFAULT_BEHAVIOURS)
        self.runs: list[MinionRun] = []
        self.runs_by_key: Counter[str] = Counter()
        self.monitored_from: list[int] = []
        self.in_flight = 0
        self.max_in_flight = 0
        self.connections = 0
        self.max_connections = 0
        self._clock = clock
        self._released = asyncio.Event()
        self._released.set()

    def set_faults(self, **changes: Any) -> None:
        """Set the named fault switches and leave the others as they are."""
        self.faults = evolve(self.faults, **changes)
        if self.faults.held:
            self._released.clear()
        else:
            self._released.set()

    async def run(self, kind: str, key: str, body: bytes) -> bytes:
        """Run one request and return its answer, which carries the body's digest.

        A kind without a behaviour of its own raises ``KeyError``.
        """
        behaviour = self.behaviours[kind]
        digest = digest_body(body)
        self.runs.append(MinionRun(kind, key, digest, self._clock.monotonic()))
        if key:
            self.runs_by_key[key] += 1
        await self._clock.sleep(behaviour.service_time)
        await self._released.wait()
        if self.faults.mode == "late":
            await self._clock.sleep(timedelta(seconds=self.faults.late_seconds))
        answer = {
            "minion": self.name,
            "kind": kind,
            "key": key,
            "digest": digest,
            "padding": "." * behaviour.padding_bytes,
        }
        return json.dumps(answer).encode()

    async def monitor(self, position: int) -> AsyncIterator[bytes]:
        """Yield the lines of a standing stream after a position, without end."""
        self.monitored_from.append(position)
        while True:
            await self._clock.sleep(MONITOR_INTERVAL)
            await self._released.wait()
            position += 1
            line = {"position": position, "minion": self.name}
            yield json.dumps(line).encode() + b"\n"

    def enter_slot(self) -> None:
        """Count a request that came in."""
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)

    def leave_slot(self) -> None:
        """Count a request that is over."""
        self.in_flight -= 1

    def open_connection(self) -> None:
        """Count a connection that was accepted."""
        self.connections += 1
        self.max_connections = max(self.max_connections, self.connections)

    def close_connection(self) -> None:
        """Count a connection that is closed."""
        self.connections -= 1

    def count(self) -> MinionCounters:
        """Return a summary."""
        again = sum(1 for runs in self.runs_by_key.values() if runs > 1)
        return MinionCounters(
            len(self.runs),
            self.in_flight,
            self.max_in_flight,
            self.connections,
            self.max_connections,
            again,
        )
