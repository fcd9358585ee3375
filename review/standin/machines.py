"""A stand-in of the platform's service for machines, as PROTOCOL.md describes it."""

import asyncio
import time

from minions import STARTUP_SECONDS
from web import NoAnswer, Server

MAINTENANCE_SECONDS = 2.0
UNAVAILABLE_SECONDS = 5.0


class Machine:
    """One machine with the minion that runs on it, and its latest order."""

    def __init__(self, name, number, minion):
        self.name = name
        self.number = number
        self.minion = minion
        self.state = "up"
        self.token = 0
        self.lives = 1
        self.done_waves = set()


class MachineService:
    """Lists machines and carries out upkeeps.

    While ``is_available`` is false, no call is carried out or answered. ``ended`` gets,
    for each upkeep, its time, the machine and the tasks that were at work there.
    """

    def __init__(self, cell):
        self.cell = cell
        self.machines = {}
        self.waves = {}
        self.is_available = True
        self.on_order = lambda: None
        self.ended = []
        self.server = Server(self._handle)
        self.address = ""
        self.background = set()

    async def start(self, host):
        port = await self.server.start(host)
        self.address = f"{host}:{port}"

    async def add(self, name, number, cpu=16_000):
        minion = await self.cell.add_minion(f"i-{name}-1", number, cpu)
        self.machines[name] = Machine(name, number, minion)

    async def request_wave(self, number, machines, within, limit):
        """Ask for a wave, as the operator does."""
        self.waves[number] = machines
        wave = {
            "wave": number,
            "machines": machines,
            "within_s": within,
            "at_most": limit,
        }
        await self.cell.store.put("op", f"wave/{number}", wave)
        self.cell.record("operator wave", number, *machines, "at most", limit)

    async def _handle(self, request):
        await asyncio.sleep(0.004)
        if request.path == "/machine-upkeep":
            self.on_order()
        if not self.is_available:
            self.cell.record("machine service leaves a call unanswered", request.path)
            await asyncio.sleep(UNAVAILABLE_SECONDS)
            raise NoAnswer
        if request.path == "/machines":
            return 200, {"machines": [self._encode(each) for each in self.machines.values()]}
        if request.path == "/machine-upkeep":
            return await self._maintain(request)
        return 404, {}

    def _encode(self, machine):
        up = machine.state == "up"
        return {
            "machine": machine.name,
            "pool": machine.minion.service,
            "state": machine.state,
            "zone": machine.minion.zone,
            "labels": machine.minion.labels,
            "capacity": machine.minion.capacity,
            "id": machine.minion.ident if up else "",
        }

    async def _maintain(self, request):
        call = request.json()
        machine = self.machines.get(call.get("machine"))
        holder = request.headers.get("x-lease-holder", "")
        token = int(request.headers.get("x-fencing-token", "0"))
        if machine is None:
            return 400, {}
        if token < machine.token:
            return 409, {"reason": "fence"}
        machine.token = token
        wave = call.get("wave")
        if wave in machine.done_waves:
            return 200, {}
        if machine.name not in self.waves.get(wave, ()):
            return 409, {"reason": "wave"}
        if machine.state != "up":
            return 409, {"reason": "busy"}
        machine.done_waves.add(wave)
        machine.state = "upkeep"
        minion = machine.minion
        at_work = []
        for run in minion.runs.values():
            if run.lasting and minion.clock() - run.began >= STARTUP_SECONDS:
                at_work.append(run.task)
        self.cell.record("machine", machine.name, "upkeep by", holder, token, "ends", at_work)
        self.ended.append((time.monotonic(), machine.name, at_work))
        await minion.leave(self.cell.store)
        task = asyncio.create_task(self._bring_up(machine))
        self.background.add(task)
        return 200, {}

    async def _bring_up(self, machine):
        await asyncio.sleep(MAINTENANCE_SECONDS)
        machine.lives += 1
        machine.minion = await self.cell.add_minion(
            f"i-{machine.name}-{machine.lives}",
            machine.number,
            machine.minion.capacity["cpu"],
        )
        machine.state = "up"
        self.cell.record("machine", machine.name, "up again")

    def stop(self):
        for task in self.background:
            task.cancel()
        self.server.stop()
