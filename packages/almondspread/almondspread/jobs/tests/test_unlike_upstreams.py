"""Replays a cell of upstreams of unlike speeds and sizes without a network."""

import unittest
from datetime import timedelta
from unittest.mock import patch

from almondspread.jobs.bound_runs import RunPhase
from almondspread.jobs.durations import DurationRatios
from almondspread.jobs.progress import JobProgress
from almondspread.jobs.speeds import UpstreamSpeeds
from almondspread.jobs.step_progress import StepProgress
from almondspread.jobs.stragglers import choose_stragglers
from almondspread.jobs.tests.cells import (
    MILLISECOND,
    SECOND,
    CellTest,
    make_job,
    make_step,
)
from almondspread.jobs.urgency import is_urgent

SPEEDS = {"fast": 1.7, "slow": 0.7}


class UnlikeCellTest(CellTest):
    """A cell with half its upstreams of a fast kind, half of a slow one."""

    def setUp(self):
        super().setUp()
        # The slow ones are smaller, so that the tightest fit chooses them.
        for number in range(4):
            self.add("slow", number, 4_000)
            self.add("fast", number, 8_000)
        self.cell.run_for(SECOND)

    def add(self, kind, number, cpu_millis):
        upstream = self.cell.add_upstream(f"{kind}{number}", cpu_millis)
        upstream.kind = kind
        upstream.speed = SPEEDS[kind]

    def learn(self):
        """Run steps that fill the cell, until the speeds of both kinds are known."""
        for number in range(30):
            self.cell.submit(make_job(f"known{number}", make_step(48)))
            self.cell.run_for(1_600 * MILLISECOND)
        return {
            each.kind.labels[0]: each.speed
            for each in self.cell.scheduler.list_kind_speeds()
        }

    def list_kinds_of(self, job):
        found = set()
        for run in self.cell.scheduler.jobs[job].list_runs():
            found.add(run.upstream.rstrip("0123456789"))
        return found


class UrgentPlacementTest(UnlikeCellTest):
    def run_chains(self):
        """Return how long a burst of three-step chains takes, in the mean."""
        begun = self.cell.now
        steps = [make_step(1)]
        for number in range(1, 3):
            steps.append(make_step(1, after=(number - 1,)))
        names = [f"chain{number}" for number in range(16)]
        for name in names:
            self.cell.submit(make_job(name, *steps))
        self.cell.run_for(8 * SECOND)
        self.assert_completed(*names)
        ends = [self.cell.scheduler.jobs[name].ended_at for name in names]
        return sum((end - begun for end in ends), timedelta(0)) / len(names)

    def test_urgent_chains_end_sooner_than_with_the_tightest_fit(self):
        """Each step of a chain went to the fullest upstream, though it was slow."""
        self.learn()
        fast = self.run_chains()
        self.assertLess(fast, 3 * SECOND)

    def test_tightest_fit_takes_longer(self):
        """Shows that the load above needs the speeds: without them it takes longer."""
        self.learn()
        with patch("almondspread.jobs.starts.find_slowness", lambda *_: {}):
            self.assertGreater(self.run_chains(), 3.5 * SECOND)

    def test_upstream_that_turns_slow_gets_no_urgent_tasks_until_it_recovers(self):
        """Urgent tasks went to an upstream that was slow for some seconds."""
        self.learn()
        slow = self.cell.upstreams["fast0"]
        slow.speed = SPEEDS["fast"] / 4
        self.run_steps("slow", 6)
        self.assertNotIn("fast0", self.list_urgent_upstreams("during"))
        slow.speed = SPEEDS["fast"]
        self.run_steps("again", 6)
        self.assertIn("fast0", self.list_urgent_upstreams("after"))

    def run_steps(self, name, count):
        """Run short steps that fill the cell, one after the other."""
        for number in range(count):
            self.cell.submit(make_job(f"{name}{number}", make_step(48)))
            self.cell.run_for(1_600 * MILLISECOND)
        self.cell.run_for(3 * SECOND)

    def list_urgent_upstreams(self, name):
        """Return where the tasks of a job go that would fill the fast upstreams."""
        self.cell.submit(make_job(name, make_step(24)))
        self.cell.run_for(200 * MILLISECOND)
        found = {run.upstream for run in self.cell.scheduler.jobs[name].list_runs()}
        self.cell.run_for(4 * SECOND)
        return found

    def test_both_kinds_are_learnt(self):
        speeds = self.learn()
        self.assertAlmostEqual(speeds["fast"] / speeds["slow"], 1.7 / 0.7, delta=0.3)

    def test_queue_ratio_does_not_follow_the_kind(self):
        """The ratio of a queue rose by half while its tasks ran on the slow kind."""
        self.learn()
        ratios = self.cell.scheduler._control.ratios
        before = ratios.find_mean("queue")
        for number in range(4):
            self.cell.draining.add(f"fast{number}")
        self.cell.report_upstream_list()
        for number in range(8):
            self.cell.submit(make_job(f"slow{number}", make_step(16)))
            self.cell.run_for(2 * SECOND)
        self.assertAlmostEqual(ratios.find_mean("queue") / before, 1.0, delta=0.15)

    def test_time_left_counts_the_speed_of_the_upstream(self):
        """Reservations expected room on slow upstreams long before it was free."""
        self.learn()
        self.cell.submit(make_job("j", make_step(48, estimate=10 * SECOND)))
        self.cell.step()
        planner = self.cell.scheduler._planner
        upstreams = self.cell.scheduler.cell_state.upstreams
        ends = {}
        for name in ("slow0", "fast0"):
            found = planner._list_ends(upstreams[name], self.cell.now)
            ends[name] = max(end for end, _ in found) - self.cell.now
        self.assertGreater(ends["slow0"], 1.8 * ends["fast0"])

    def test_reservation_is_backfilled_by_speed(self):
        """A task on a slow upstream was taken to end before a reserved one begins."""
        self.learn()
        self.cell.submit(make_job("j", make_step(1, estimate=10 * SECOND)))
        planner = self.cell.scheduler._planner
        upstreams = self.cell.scheduler.cell_state.upstreams
        progress = self.cell.scheduler.jobs["j"].steps[0, 0]
        now = self.cell.now
        step = planner._ranker.rank(progress, {}, now)
        asked = []
        with (
            patch.object(type(planner._reservations), "is_reserved", lambda *_: True),
            patch.object(
                type(planner._reservations),
                "find_free",
                lambda _, upstream, rank, ends_at: asked.append(ends_at - now),
            ),
        ):
            for name in ("slow0", "fast0"):
                planner._ranker.find_free(step, upstreams[name])
        self.assertGreater(asked[0], 1.8 * asked[1])

    def test_run_on_a_slow_kind_is_no_straggler(self):
        """A run was stopped only because its kind was slow, and started again."""
        self.assertTrue(self.is_replaced(1.0, 7))
        self.assertFalse(self.is_replaced(0.5, 7))

    def test_straggler_on_a_fast_kind_is_found_sooner(self):
        """A run on a fast kind had the time that it may take on a usual one."""
        self.assertFalse(self.is_replaced(1.0, 4))
        self.assertTrue(self.is_replaced(2.0, 4))

    def is_replaced(self, speed, seconds):
        """Return whether a run that hardly proceeds is replaced after some seconds."""
        self.cell.submit(make_job("j", make_step(1)))
        self.cell.step()
        scheduler = self.cell.scheduler
        (run,) = scheduler.jobs["j"].list_runs()
        run.phase = RunPhase.RUNNING
        run.percent = 10
        now = run.seen_at = run.started_at + seconds * SECOND
        with patch.object(UpstreamSpeeds, "find_kind_speed", lambda *_: speed):
            chosen = choose_stragglers(
                scheduler._job_table.find_step,
                scheduler.cell_state,
                DurationRatios(),
                scheduler._control.find_usual_speed,
                now,
            )
        return run in chosen

    def test_new_leader_learns_anew(self):
        """A successor knows nothing of speeds, and places as if all were alike."""
        self.learn()
        self.cell.take_over()
        self.cell.run_for(SECOND)
        self.assertEqual(self.cell.scheduler._control.speeds.slowness, {})
        speeds = self.learn_again()
        self.assertGreater(speeds["fast"], speeds["slow"])

    def learn_again(self):
        for number in range(30):
            self.cell.submit(make_job(f"again{number}", make_step(48)))
            self.cell.run_for(1_600 * MILLISECOND)
        kinds = self.cell.scheduler.list_kind_speeds()
        return {each.kind.labels[0]: each.speed for each in kinds}


class UrgencyTest(unittest.TestCase):
    def make(self, *steps):
        job = JobProgress(make_job("j", *steps), SECOND)
        for number, step in enumerate(steps):
            progress = StepProgress(job, 0, number, step)
            progress.waiting = dict.fromkeys(range(step.count))
            job.steps[0, number] = progress
        return job

    def test_only_the_longest_chain_is_urgent(self):
        """A short branch took a fast upstream from the branch that decides the end."""
        job = self.make(make_step(estimate=9 * SECOND), make_step())
        rank = (0, 0, 0, 60 * SECOND)
        self.assertTrue(is_urgent(job.steps[0, 0], rank, SECOND))
        self.assertFalse(is_urgent(job.steps[0, 1], rank, SECOND))
        job.steps[0, 0].done.add(0)
        self.assertTrue(is_urgent(job.steps[0, 1], rank, SECOND))

    def test_nearly_late_step_is_urgent_and_a_late_one_is_not(self):
        job = self.make(make_step(estimate=9 * SECOND), make_step())
        short = job.steps[0, 1]
        self.assertTrue(is_urgent(short, (0, 0, 0, SECOND * 3.2), 2 * SECOND))
        self.assertFalse(is_urgent(short, (1, 0, 0, SECOND * 2.2), 2 * SECOND))


if __name__ == "__main__":
    unittest.main()
