import unittest

from almondspread.clock import ManualClock
from almondspread.placement import Cell
from almondspread.resources.capacity import Capacity
from almondspread.scheduling.policies.ordering import WaitingQueue, WaitingWorkload
from almondspread.scheduling.policies.pending_preemptions import SEARCH_INTERVAL
from almondspread.scheduling.policies.quotas import TeamQuotas
from almondspread.scheduling.policies.running import RunningTask
from almondspread.scheduling.policies.scheduling_pass import (
    Deferral,
    PassState,
    cancel_workload,
    explain_deferral,
    schedule_waiting,
)

NOW = ManualClock().now()
SIZE = Capacity(1000, 1000)


def make_workload(name, team="t", priority=100, gang=False):
    return WaitingWorkload(name, team, priority, SIZE, NOW, gang=gang)


class DecideWaitingTest(unittest.TestCase):
    def setUp(self):
        self.cell = Cell()
        self.cell.add_worker("w", "enna", "r", Capacity(4000, 8000))
        self.quotas = TeamQuotas(Capacity(4000, 8000))
        self.queue = WaitingQueue()
        self.state = PassState(self.cell, self.quotas, self.queue, "packing")

    def decide(self, now=NOW):
        decisions = []
        for decision in schedule_waiting(self.state, now):
            if isinstance(decision, Deferral):
                waiting = explain_deferral(self.state, decision)
                decisions.append((decision.workload, waiting.to_text()))
                continue
            decisions.append([placement.task for placement in decision])
        return decisions

    def test_teams_share_the_free_capacity(self):
        self.queue.add(make_workload("a", "x"), ["a0", "a1", "a2", "a3"])
        self.queue.add(make_workload("b", "y"), ["b0", "b1", "b2", "b3"])
        text = "0 of 1 workers fit: 1 too little processor"
        self.assertEqual(
            self.decide(),
            [["a0"], ["b0"], ["a1"], ["b1"], ("a", text), ("b", text)],
        )
        self.assertEqual(self.cell.worker("w").committed, SIZE.times(4))
        self.assertEqual(self.quotas.get_usage("x"), SIZE.times(2))
        self.assertEqual(len(self.queue), 4)

    def test_team_over_its_quota_waits_and_others_do_not(self):
        self.quotas.set_team("x", SIZE, 1.0)
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

    def test_urgent_task_starts_when_its_victim_has_ended(self):
        victim = RunningTask("v", "v", "w", SIZE.times(3), 100, "batch", NOW)
        self.cell.commit("w", "v", victim.size)
        self.cell.commit("w", "s", SIZE)
        self.quotas.restore("t", victim.size)
        self.state.running.add(victim)
        self.queue.add(make_workload("u", priority=900), ["u0"])
        self.queue.add(make_workload("low"), ["low0", "low1", "low2"])
        first = next(schedule_waiting(self.state, NOW))
        self.assertEqual(first.victims.tasks, ("v",))
        for decision in schedule_waiting(self.state, NOW):
            self.assertIsInstance(decision, Deferral)
        self.cell.release("w", "v", victim.size)
        self.state.running.remove("v")
        placed = [names for names in self.decide() if isinstance(names, list)]
        self.assertEqual(placed, [["u0"], ["low0"], ["low1"]])
        self.assertEqual(len(self.state.preemptions), 0)

    def test_cancelling_an_urgent_task_releases_its_reservation(self):
        victim = RunningTask("v", "v", "w", SIZE.times(2), 100, "batch", NOW)
        self.cell.commit("w", "v", victim.size)
        self.cell.commit("w", "s", SIZE)
        self.state.running.add(victim)
        work = WaitingWorkload("u", "t", 900, SIZE.times(2), NOW)
        self.queue.add(work, ["u0", "u1"])
        preemption, deferral = list(schedule_waiting(self.state, NOW))
        self.assertEqual((preemption.task, deferral.workload), ("u0", "u"))
        self.assertEqual(self.cell.worker("w").committed, Capacity(4000, 5000))
        cancel_workload(self.state, "u")
        self.assertEqual(self.cell.worker("w").committed, SIZE.times(3))

    def test_preempted_capacity_is_counted_once_and_given_to_no_other_task(self):
        for name, priority in (("v0", 100), ("v1", 100)):
            size = Capacity(1500, 1000)
            self.cell.commit("w", name, size)
            self.state.running.add(
                RunningTask(name, name, "w", size, priority, "batch", NOW)
            )
        work = WaitingWorkload("u", "t", 900, Capacity(2500, 1000), NOW)
        self.queue.add(work, ["u0", "u1"])
        preemption, _ = list(schedule_waiting(self.state, NOW))
        self.assertEqual(preemption.victims.tasks, ("v0",))
        self.cell.release("w", "v0", Capacity(1500, 1000))
        self.state.running.remove("v0")
        work = WaitingWorkload("x", "t", 950, Capacity(3500, 1000), NOW)
        self.queue.add(work, ["x0"])
        self.assertEqual(self.decide()[1:2], [["u0"]])

    def test_search_without_victims_is_repeated_only_after_an_interval(self):
        self.cell.commit("w", "s", SIZE.times(4))
        self.queue.add(make_workload("u", priority=900), ["u0"])
        self.assertEqual(len(list(schedule_waiting(self.state, NOW))), 1)
        victim = RunningTask("s", "s", "w", SIZE.times(4), 100, "batch", NOW)
        self.state.running.add(victim)
        self.assertEqual(len(list(schedule_waiting(self.state, NOW))), 1)
        later = NOW + SEARCH_INTERVAL
        self.assertEqual(next(schedule_waiting(self.state, later)).task, "u0")
