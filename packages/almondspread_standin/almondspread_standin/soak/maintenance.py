"""Maintenance waves over the machines of a soak."""

import asyncio
import random
from datetime import timedelta

from almondspread.jobs.ports import RowName, RowPut, Transaction
from almondspread.testing.record_store import MemoryRecordStore
from almondspread_standin.soak.pool import PoolMember, UpstreamPool
from platform_standin.formats import decode_wave_state, encode_wave
from platform_standin.machine_server import MachineFleet, StandinMachine, Wave

DOWN_SECONDS = 1.0
WITHIN_SECONDS = 12.0
LOSS_SHARE = 0.3
POLL_SECONDS = 0.2
NO_TIMEOUT = timedelta(0)


class MaintenanceDriver:
    """Asks for one wave after another, and sees that what is told of them is true."""

    def __init__(
        self,
        fleet: MachineFleet,
        pool: UpstreamPool,
        store: MemoryRecordStore,
        source: random.Random,
    ) -> None:
        self._fleet = fleet
        self._pool = pool
        self._store = store
        self._source = source
        self._downs: set[asyncio.Task[None]] = set()
        fleet.loses_answer = lambda: source.random() < LOSS_SHARE
        fleet.applies_late = lambda: source.random() < 0.5

    async def run(self) -> None:
        """Ask for waves until cancelled."""
        for place in self._pool.members:
            self._add_machine(place)
        number = 0
        while True:
            number += 1
            await self._ask(number)
            while self._read_state(number) != "completed":
                await asyncio.sleep(POLL_SECONDS)
            self._fleet.check_completed(number)

    def _add_machine(self, place: PoolMember) -> None:
        """Have a machine for an upstream's place."""

        def take_down() -> None:
            place.down = True
            down = asyncio.create_task(self._pool.maintain(place, DOWN_SECONDS))
            self._downs.add(down)
            down.add_done_callback(self._downs.discard)

        name = f"machine-{place.number}"
        self._fleet.machines[name] = StandinMachine(
            name,
            lambda: place.endpoint.upstream.name,
            lambda: not place.down,
            take_down,
        )

    async def _ask(self, number: int) -> None:
        """Publish a wave over all machines."""
        wave = Wave(tuple(self._fleet.machines), self._source.randint(1, 3))
        self._fleet.waves[number] = wave
        body = encode_wave(number, wave.machines, WITHIN_SECONDS, wave.limit)
        put = RowPut(RowName("op", "", f"wave/{number}"), body)
        await self._store.transact(Transaction(puts=(put,)), NO_TIMEOUT)

    def _read_state(self, number: int) -> str:
        """Return what the cell tells of a wave."""
        row = self._store.rows.get(RowName("status", "", f"wave/{number}"))
        return decode_wave_state(row.value) if row is not None and row.value else ""

    @property
    def has_completed_wave(self) -> bool:
        """Whether the first wave is told as complete."""
        return self._read_state(1) == "completed"
