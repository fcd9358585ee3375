"""The service for machines, as the platform's page describes it, over HTTP."""

import asyncio
import json

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

UPKEEP_S = 2.0


class Cloud:
    """The machines of a cell's minions; each has its upkeep once for each wave."""

    def __init__(self, cell, zones, choose_duration):
        self._cell = cell
        self._zones = zones
        self._choose_duration = choose_duration
        self._fences = {}
        self._waves = {}
        self._done = set()
        self._lives = dict.fromkeys(zones, 1)
        self._tasks = []

    def request_wave(self, number, machines, within_s, at_most):
        """Request a wave, as the operator does."""
        self._waves[number] = machines
        document = {
            "wave": number,
            "machines": machines,
            "within_s": within_s,
            "at_most": at_most,
        }
        self._cell.store.put("op", f"wave/{number}", document)
        self._cell.record("wave", machines=machines, within_s=within_s, at_most=at_most)

    def listen(self, host, port):
        """Serve the machines at an address."""
        handler = (r"/([a-z-]+)", _Handler, {"cloud": self})
        server = HTTPServer(Application([handler], log_function=lambda _: None))
        server.listen(port, host)
        return host, port

    def describe(self):
        """Return all machines, as the list has them."""
        rows = []
        for number, zone in self._zones.items():
            minion = self._cell.endpoints[number].minion
            rows.append(
                {
                    "machine": name_machine(number),
                    "pool": "pool",
                    "state": "upkeep" if minion.down else "up",
                    "zone": zone,
                    "labels": ["a", f"rack-{zone}"],
                    "capacity": minion.capacity,
                    "id": "" if minion.down else minion.id,
                }
            )
        return rows

    def order(self, machine, wave, holder, token):
        """Carry out an order for upkeep; return status and reason."""
        numbers = {name_machine(number): number for number in self._zones}
        if machine not in numbers:
            return 400, ""
        number = numbers[machine]
        if token < self._fences.get(number, 0):
            return 409, "fence"
        self._fences[number] = token
        if (machine, wave) in self._done:
            return 200, ""
        if machine not in self._waves.get(wave, ()):
            return 409, "wave"
        minion = self._cell.endpoints[number].minion
        if minion.down:
            return 409, "busy"
        self._done.add((machine, wave))
        self._cell.record("upkeep", machine, wave=wave, holder=holder, token=token)
        minion.take_down()
        self._tasks.append(asyncio.create_task(self._bring_back(number)))
        return 200, ""

    async def _bring_back(self, number):
        await asyncio.sleep(UPKEEP_S)
        self._lives[number] += 1
        self._cell.next_life(number, self._lives[number], self._choose_duration)
        self._cell.record("upkeep-over", name_machine(number))


def name_machine(number):
    """Return the name of a minion's machine."""
    return f"machine-{number:02d}"


class _Handler(RequestHandler):
    def initialize(self, cloud):
        self._cloud = cloud

    def get(self, path):
        if path != "machines":
            self.send_error(404)
            return
        self.finish(
            json.dumps({"machines": self._cloud.describe(), "next_token": ""}).encode()
        )

    def post(self, path):
        if path != "machine-upkeep":
            self.send_error(404)
            return
        call = json.loads(self.request.body)
        headers = self.request.headers
        status, reason = self._cloud.order(
            call["machine"],
            call["wave"],
            headers["X-Lease-Holder"],
            int(headers["X-Fencing-Token"]),
        )
        self.set_status(status)
        self.finish(json.dumps({"reason": reason} if reason else {}).encode())
