import unittest

from almondspread.clock import ManualClock
from almondspread.placement import Cell
from almondspread.resources.capacity import Capacity
from almondspread.scheduling.policies.ordering import WaitingQueue, WaitingWorkload
from almondspread.scheduling.policies.passes import Deferral, decide_waiting
from almondspread.scheduling.policies.quotas import TeamLedger

NOW = ManualClock().now()
SIZE = Capacity(1000, 1000)


def make_workload(name, team="t", priority=100, gang=False):
    return WaitingWorkload(name, team, priority, SIZE, NOW, gang=gang)


class DecideWaitingTest(unittest.TestCase):
    def setUp(self):
        self.cell = Cell()
        self.cell.add_worker("w", "enna", "r", Capacity(4000, 8000))
        self.ledger = TeamLedger(Capacity(4000, 8000))
        self.queue = WaitingQueue()

    def decide(self):
        decisions = []
        for decision in decide_waiting(
            self.cell, self.ledger, self.queue, NOW, "packing"
        ):
            if isinstance(decision, Deferral):
                decisions.append((decision.workload, decision.waiting.to_text()))
                continue
            decisions.append([placement.task for placement in decision])
        return decisions

    def test_teams_share_what_is_free(self):
        self.queue.add(make_workload("a", "x"), ["a0", "a1", "a2", "a3"])
        self.queue.add(make_workload("b", "y"), ["b0", "b1", "b2", "b3"])
        text = "0 of 1 workers fit: 1 too little processor"
        self.assertEqual(
            self.decide(),
            [["a0"], ["b0"], ["a1"], ["b1"], ("a", text), ("b", text)],
        )
        self.assertEqual(self.cell.worker("w").committed, SIZE.times(4))
        self.assertEqual(self.ledger.list_used("x"), SIZE.times(2))
        self.assertEqual(len(self.queue), 4)

    def test_team_over_its_quota_waits_and_others_do_not(self):
        self.ledger.set_team("x", SIZE, 1.0)
        self.queue.add(make_workload("a", "x", priority=500), ["a0", "a1"])
        self.queue.add(make_workload("b", "y"), ["b0"])
        text = "over team quota of processor"
        self.assertEqual(self.decide(), [["a0"], ("a", text), ["b0"]])

    def test_gang_starts_whole_or_waits(self):
        self.queue.add(make_workload("g", gang=True), ["g0", "g1", "g2", "g3", "g4"])
        text = "room for 4 of 5 tasks; then 0 of 1 workers fit: 1 too little processor"
        self.assertEqual(self.decide(), [("g", text)])
        self.assertEqual(self.cell.worker("w").committed, Capacity(0, 0))
        self.queue.remove("g", "g4")
        self.assertEqual(self.decide(), [["g0", "g1", "g2", "g3"]])
