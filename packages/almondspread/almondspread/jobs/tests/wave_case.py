"""Base of tests of maintenance waves, with machines that go down and up again."""

import unittest
from datetime import timedelta

from almondspread.jobs.maintenance import MaintenancePlanner
from almondspread.jobs.tests.cells import SECOND
from almondspread.jobs.waves import Machine, MachineState, MaintenanceWave, OrderOutcome

DURATION = 2 * SECOND
STEP = timedelta(milliseconds=300)


class FakeMachines:
    """Machines that are down for ``DURATION`` after an order, and then up again.

    Each restart gives a machine a new upstream, numbered by ``incarnations``.
    """

    def __init__(self, count):
        self.incarnations = {f"m{number}": 0 for number in range(count)}
        self.down_until = {}
        self.maintained = {}
        self.most_down = 0

    def make_upstream_name(self, name):
        return f"{name}-life-{self.incarnations[name]}"

    def list(self, now):
        machines = []
        for name in self.incarnations:
            if now < self.down_until.get(name, now):
                machines.append(Machine(name, "service", MachineState.MAINTENANCE))
                continue
            upstream = self.make_upstream_name(name)
            machines.append(Machine(name, "service", MachineState.UP, upstream))
        return machines

    def execute(self, order, now):
        """Take a machine down, but only once per wave."""
        if (order.machine, order.wave) in self.maintained:
            return
        self.maintained[order.machine, order.wave] = now
        self.incarnations[order.machine] += 1
        self.down_until[order.machine] = now + DURATION
        down = sum(until > now for until in self.down_until.values())
        self.most_down = max(self.most_down, down)


class WaveCase(unittest.TestCase):
    def setUp(self):
        self.machines = FakeMachines(6)
        self.planner = MaintenancePlanner(DURATION)
        self.now = 100 * SECOND
        self.runs = {}
        self.protected = set()
        self.step_upstreams = set()
        self.step_away = 0

    def may_stop(self, upstream, others):
        """Keep ``protected`` upstreams, and two of ``step_upstreams`` at once."""
        if upstream in self.protected:
            return False
        down = self.step_upstreams & {upstream, *others}
        return upstream not in down or len(down) + self.step_away <= 1

    def add_wave(self, limit=2, within=60 * SECOND, names=None):
        self.wave = MaintenanceWave(
            1, tuple(names or self.machines.incarnations), within, limit
        )
        self.planner.add_wave(self.wave, self.now, self.now)

    def step(self, answer=OrderOutcome.TAKEN):
        self.now += STEP
        self.planner.update_machines(self.machines.list(self.now), self.now)
        orders = self.planner.plan_orders(
            self.now,
            lambda upstream: self.runs.get(upstream, 0),
            self.may_stop,
        )
        self.now += STEP
        for order in orders:
            self.planner.record_sent(order, self.now)
            if answer is not OrderOutcome.REFUSED:
                self.machines.execute(order, self.now)
            self.planner.handle_order_outcome(order, answer, self.now)
        return orders

    def run_for(self, duration):
        end = self.now + duration
        while self.now < end:
            self.step()
