"""Replays loads whose data is on one rack, without a network."""

import unittest

from almondspread.jobs.locality import LocalStep, is_far
from almondspread.jobs.placement import Candidate
from almondspread.jobs.submissions import TaskId
from almondspread.jobs.tests.cells import (
    MILLISECOND,
    SECOND,
    CellTest,
    make_job,
    make_step,
)
from almondspread.resources.capacity import Capacity
from almondspread.testing.fake_cell import FakeCell

FACTOR = 3.0
# The upstreams u0 and u2 are on the rack r0, the others on r1.
NEAR = ("u0", "u2")


class LocalityCase(CellTest):
    """A cell of two racks with four processors each."""

    factor = FACTOR

    def setUp(self):
        self.cell = FakeCell(remote_factor=self.factor)
        self.add_upstreams(4, 2_000)
        self.cell.run_for(SECOND)

    @property
    def counts(self):
        return self.cell.scheduler.count_near_waits()

    def submit(self, name, count=1, seconds=2.0, near=False, **fields):
        """Submit tasks that take the factor as long on r1, if their data is on r0."""
        for upstream in self.cell.upstreams.values():
            far = near and upstream.name not in NEAR
            for index in range(count):
                duration = seconds * SECOND * (self.factor if far else 1)
                upstream.durations[TaskId(name, 0, 0, index)] = duration
        rack = "r0" if near else ""
        step = make_step(
            count, estimate=seconds * SECOND, preferred_rack=rack, **fields
        )
        self.cell.submit(make_job(name, step))

    def fill(self, seconds, real=None, count=4):
        """Fill the rack r0 with tasks of an estimate, which take another time."""
        step = make_step(count, estimate=seconds * SECOND, preferred_rack="r0")
        for name in NEAR:
            for index in range(4):
                task = TaskId("full", 0, 0, index)
                duration = (real or seconds) * SECOND
                self.cell.upstreams[name].durations[task] = duration
        self.cell.submit(make_job("full", step))
        self.cell.step()

    def find_upstreams(self, job):
        return sorted(run.upstream for run in self.cell.scheduler.jobs[job].list_runs())

    def is_started(self, job):
        return bool(self.cell.scheduler.jobs[job].list_runs())


class HotRackTest(LocalityCase):
    def test_task_waits_for_a_near_place_that_is_soon_free(self):
        """The task started far at once, and took three times as long."""
        self.fill(0.8)
        self.submit("j", near=True)
        self.cell.run_for(SECOND / 2)
        self.assertFalse(self.is_started("j"))
        self.cell.run_for(2.9 * SECOND)
        self.assert_completed("j")
        self.assertEqual(self.counts, {"near": 1, "far": 0})

    def test_burst_on_a_rack_goes_far_where_the_queue_is_long(self):
        """All tasks of a burst waited for the first free places of a hot rack."""
        self.fill(0.8)
        self.submit("j", 8, near=True)
        self.cell.step()
        self.assertEqual(self.find_upstreams("j"), ["u1", "u1", "u3", "u3"])
        self.cell.run_for(1.2 * SECOND)
        near = [name for name in self.find_upstreams("j") if name in NEAR]
        self.assertEqual(len(near), 4)
        self.assertEqual(self.counts, {"near": 4, "far": 0})

    def test_steps_that_wait_share_the_places_that_become_free(self):
        """Each of many jobs expected the same place to be free for itself."""
        self.fill(0.8)
        for number in range(8):
            self.submit(f"j{number}", near=True)
        self.cell.step()
        started = [self.is_started(f"j{number}") for number in range(8)]
        self.assertEqual(started, [False] * 4 + [True] * 4)

    def test_step_that_comes_later_leaves_the_places_to_those_that_wait(self):
        """Steps that were not looked at again lost their places to a new one."""
        self.fill(0.8)
        for number in range(4):
            self.submit(f"j{number}", near=True)
        self.cell.step()
        self.submit("late", near=True)
        self.cell.step(SECOND / 20)
        self.assertTrue(self.is_started("late"))
        self.assertFalse(self.is_started("j0"))

    def test_ends_of_new_runs_count_at_once(self):
        """A place taken since the ends were listed was not expected to be free."""
        self.fill(0.5, count=3)
        self.submit("a", 2, seconds=0.8, near=True)
        self.cell.step()
        self.assertEqual(len(self.find_upstreams("a")), 1)
        for name in "bcd":
            self.submit(name, near=True)
        self.cell.step(SECOND / 20)
        self.assertEqual([self.is_started(name) for name in "bcd"], [False] * 3)

    def test_wait_ends_where_the_estimate_was_wrong(self):
        """A place that is always about to be free would hold a task back for ever."""
        self.cell = FakeCell(remote_factor=1.25)
        self.add_upstreams(4, 2_000)
        self.cell.run_for(SECOND)
        self.fill(0.4, real=30)
        self.submit("j", seconds=4.0, near=True)
        self.cell.run_for(SECOND / 2)
        self.assertFalse(self.is_started("j"))
        self.cell.run_for(0.8 * SECOND)
        self.assertEqual(self.counts, {"near": 0, "far": 1})

    def test_late_job_does_not_wait(self):
        """A job without slack lost its value while it waited."""
        self.fill(1.4)
        self.submit("j", near=True)
        self.cell.step()
        self.assertTrue(self.is_started("j"))

    def test_interrupted_and_lasting_tasks_do_not_wait(self):
        """A service that was to start again stood still for its old rack."""
        self.fill(0.8)
        self.submit("lasting", near=True, lasting=True)
        self.submit("stopped", near=True)
        progress = self.cell.scheduler.jobs["stopped"].steps[0, 0]
        progress.interrupted.add(0)
        self.submit("resumed", near=True)
        self.cell.scheduler.jobs["resumed"].steps[0, 0].checkpoints[0] = "half"
        self.cell.step()
        self.assertTrue(self.is_started("resumed"))
        self.assertTrue(self.is_started("lasting"))
        self.assertTrue(self.is_started("stopped"))

    def test_wait_is_not_held_by_a_reservation(self):
        """Far upstreams were reserved for large tasks that wait for a near place."""
        self.fill(0.8)
        self.submit("j", 2, near=True, size=Capacity(2_000, 2_000, 0))
        self.cell.run_for(200 * MILLISECOND)
        self.assertFalse(self.is_started("j"))
        self.submit("other", 2, seconds=9.0, size=Capacity(2_000, 2_000, 0))
        self.cell.step()
        self.assertEqual(self.find_upstreams("other"), ["u1", "u3"])

    def test_time_left_of_a_far_run_counts_the_factor(self):
        """A far run was taken to end in a third of its time, or for a straggler."""
        self.submit("j", 8, seconds=6.0, near=True)
        self.cell.step()
        control = self.cell.scheduler._control
        progress = self.cell.scheduler.jobs["j"].steps[0, 0]
        upstreams = self.cell.scheduler.cell_state.upstreams
        self.assertEqual(control.find_speed(progress, upstreams["u0"]), 1.0)
        self.assertEqual(control.find_speed(progress, upstreams["u1"]), 1 / FACTOR)
        usual = control.find_usual_speed(progress, upstreams["u1"])
        self.assertEqual(usual, 1 / FACTOR)
        ends = self.cell.scheduler._planner._list_ends(upstreams["u1"], self.cell.now)
        for ends_at, _ in ends:
            self.assertGreater(ends_at - self.cell.now, 17 * SECOND)

    def test_cancelled_job_leaves_no_wait(self):
        """Waits of jobs that have ended would be kept for ever."""
        self.fill(0.8)
        self.submit("j", near=True)
        self.cell.step()
        locality = self.cell.scheduler._planner.locality
        self.assertEqual(locality.waiting, 1)
        self.cell.scheduler.cancel_job("j", self.cell.now)
        self.submit("other")
        self.cell.step()
        self.assertEqual(locality.waiting, 0)

    def test_far_runs_do_not_skew_the_ratio_of_their_queue(self):
        """Far runs made all tasks of a queue look as long as far ones."""
        ratios = self.cell.scheduler._control.ratios
        for number in range(4):
            self.fill_far(number)
            self.cell.run_for(7 * SECOND)
        self.assertAlmostEqual(ratios.find_mean("queue"), 1.0, delta=0.15)

    def fill_far(self, number):
        """Fill both racks with tasks whose data is on one of them."""
        self.submit(f"far{number}", 8, near=True)


class CalmDayTest(LocalityCase):
    def test_task_starts_near_at_once(self):
        """With free places nothing must wait."""
        self.submit("j", 4, near=True)
        self.cell.step()
        self.assertEqual(self.find_upstreams("j"), ["u0", "u0", "u2", "u2"])
        self.assertEqual(self.counts, {"near": 0, "far": 0})


class SwitchedOffTest(LocalityCase):
    factor = 1.0

    def test_nothing_waits_without_a_factor(self):
        """The settings of a deployment that does not ask for it start no waits."""
        self.fill(0.8)
        self.submit("j", near=True)
        self.cell.step()
        self.assertTrue(self.is_started("j"))
        locality = self.cell.scheduler._planner.locality
        progress = self.cell.scheduler.jobs["j"].steps[0, 0]
        self.assertFalse(locality.concerns(progress))


class GangTest(LocalityCase):
    def test_gang_waits_for_one_rack(self):
        """The gang was spread over racks at once, and took three times as long."""
        for rack in ("r0", "r1"):
            step = make_step(2, estimate=0.8 * SECOND, preferred_rack=rack)
            self.cell.submit(make_job(rack, step))
        self.cell.step()
        self.submit("gang", 4, gang=True, same_rack=True)
        self.cell.run_for(SECOND / 2)
        self.assertFalse(self.is_started("gang"))
        self.cell.run_for(0.7 * SECOND)
        racks = {int(name[1:]) % 2 for name in self.find_upstreams("gang")}
        self.assertEqual(len(racks), 1)

    def test_gang_with_room_on_one_rack_starts_at_once(self):
        self.submit("gang", 4, gang=True, same_rack=True)
        self.cell.step()
        self.assertTrue(self.is_started("gang"))


class CrowdedTest(LocalityCase):
    factor = 1.5

    def count_held(self, crowded):
        """Return how many tasks wait for a place that is free in 0.7 s."""
        self.fill(0.7)
        self.submit("j", seconds=1.0, near=True)
        scheduler = self.cell.scheduler
        planner = scheduler._planner
        progress = scheduler.jobs["j"].steps[0, 0]
        step = planner._ranker.rank(progress, {}, self.cell.now)
        upstreams = scheduler.cell_state.upstreams
        local = LocalStep(progress, step.rank, "service", SECOND, upstreams)
        far = [Candidate(upstreams["u1"], upstreams["u1"].free)]
        self.assertTrue(is_far(progress.step, upstreams["u1"]))
        planner.locality.crowded = {"service"} if crowded else set()
        return len(planner.locality.choose_held(local, far, self.cell.now))

    def test_task_waits_longer_where_others_wait_for_the_far_place(self):
        """A far run took twice the time from a place for which others waited."""
        self.assertEqual(self.count_held(True), 1)

    def test_task_goes_far_where_nobody_needs_the_far_place(self):
        self.assertEqual(self.count_held(False), 0)

    def test_service_is_crowded_while_other_tasks_find_no_room(self):
        """Guards the record of which services have tasks that wait for room."""
        self.fill(3)
        locality = self.cell.scheduler._planner.locality
        self.assertEqual(locality.crowded, set())
        self.submit("others", 8, seconds=3)
        self.cell.step()
        self.cell.step()
        self.assertEqual(locality.crowded, {"service"})


if __name__ == "__main__":
    unittest.main()
