"""Maintenance waves over the machines of a soak, and the check of their states."""

import asyncio
import random
from datetime import timedelta

from almondspread.jobs.ports import RowName, RowPut, Transaction
from almondspread.testing.record_store import MemoryRecordStore
from almondspread_standin.soak.pool import PoolMember, UpstreamPool
from platform_standin.formats import decode_wave_state, encode_wave
from platform_standin.machine_server import MachineFleet, StandinMachine, Wave

MAINTENANCE_SECONDS = 1.0
WAVE_DEADLINE_SECONDS = 12.0
ANSWER_LOSS_SHARE = 0.3
STATE_POLL_SECONDS = 0.2
NO_TIMEOUT = timedelta(0)


class MaintenanceDriver:
    """Requests one wave after another, and checks each wave that is reported complete.

    The machine service loses some responses, and applies some of those orders late.
    """

    def __init__(
        self,
        fleet: MachineFleet,
        pool: UpstreamPool,
        store: MemoryRecordStore,
        rng: random.Random,
    ) -> None:
        self._fleet = fleet
        self._pool = pool
        self._store = store
        self._rng = rng
        self._maintenance_tasks: set[asyncio.Task[None]] = set()
        fleet.loses_answer = lambda: rng.random() < ANSWER_LOSS_SHARE
        fleet.applies_late = lambda: rng.random() < 0.5

    async def run(self) -> None:
        """Publish one wave after another until cancelled."""
        for member in self._pool.members:
            self._add_machine(member)
        number = 0
        while True:
            number += 1
            await self._publish_wave(number)
            while self._read_state(number) != "completed":
                await asyncio.sleep(STATE_POLL_SECONDS)
            self._fleet.check_completed(number)

    def _add_machine(self, member: PoolMember) -> None:
        """Add the machine on which an upstream runs."""

        def take_down() -> None:
            member.down = True
            task = asyncio.create_task(self._pool.maintain(member, MAINTENANCE_SECONDS))
            self._maintenance_tasks.add(task)
            task.add_done_callback(self._maintenance_tasks.discard)

        name = f"machine-{member.number}"
        self._fleet.machines[name] = StandinMachine(
            name,
            lambda: member.endpoint.upstream.name,
            lambda: not member.down,
            take_down,
        )

    async def _publish_wave(self, number: int) -> None:
        """Publish a wave over all machines, with a random limit of machines down."""
        wave = Wave(tuple(self._fleet.machines), self._rng.randint(1, 3))
        self._fleet.waves[number] = wave
        body = encode_wave(number, wave.machines, WAVE_DEADLINE_SECONDS, wave.limit)
        put = RowPut(RowName("op", "", f"wave/{number}"), body)
        await self._store.transact(Transaction(puts=(put,)), NO_TIMEOUT)

    def _read_state(self, number: int) -> str:
        """Return the state that the leader reports for a wave, ``""`` for none."""
        row = self._store.rows.get(RowName("status", "", f"wave/{number}"))
        return decode_wave_state(row.value) if row is not None and row.value else ""

    @property
    def has_completed_wave(self) -> bool:
        """Whether the first wave is reported as completed."""
        return self._read_state(1) == "completed"
