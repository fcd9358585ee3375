import random
import unittest
from datetime import timedelta
from math import exp

import attrs

from almondspread.jobs.progress import JobProgress
from almondspread.jobs.speeds import (
    MIN_KIND_SAMPLES,
    UpstreamSpeeds,
    sum_effective_capacity,
)
from almondspread.jobs.step_progress import StepProgress
from almondspread.jobs.tests.cells import MILLISECOND, SECOND, make_job, make_step
from almondspread.jobs.upstreams import Upstream
from almondspread.resources.capacity import Capacity
from almondspread.testing.cell_input import make_entry
from almondspread.testing.fake_upstream import FakeUpstream, History

SIZE = Capacity(4_000, 4_000, 0)
KINDS = {"a": 0.7, "b": 1.0, "c": 1.7}


def make_upstream(name, kind="a"):
    fake = FakeUpstream(name, SIZE, History())
    fake.kind = kind
    return Upstream(make_entry(fake, 0))


class SpeedsCase(unittest.TestCase):
    """Ends steps of tasks on upstreams of given speeds, at ten steps a second.

    Estimates err by a factor of up to two for each job, and tasks have a long tail.
    """

    def setUp(self):
        self.random = random.Random(7)
        self.speeds = UpstreamSpeeds()
        self.upstreams = make_cell()
        self.now = timedelta(seconds=100)
        self.steps = 0

    def end_step(self, upstreams, find_speed, tasks=4):
        """End the tasks of one step on upstreams chosen by chance."""
        self.steps += 1
        step = make_step(tasks)
        job = JobProgress(make_job(f"j{self.steps}", step), self.now)
        progress = StepProgress(job, 0, 0, step)
        error = exp(self.random.uniform(-0.69, 0.69))
        for _ in range(tasks):
            upstream = self.random.choice(upstreams)
            tail = 8.0 if self.random.random() < 0.05 else 1.0
            work = error * tail * exp(self.random.gauss(0, 0.1))
            duration = SECOND * work / find_speed(upstream)
            self.speeds.record(progress, upstream, duration, self.now)
        self.speeds.close_step(progress, self.now)
        self.now += 100 * MILLISECOND
        self.speeds.refresh(self.upstreams, self.now)

    def end_steps(self, count, upstreams, find_speed, tasks=4):
        for _ in range(count):
            self.end_step(upstreams, find_speed, tasks)


def make_cell(kinds="abc", of_kind=4):
    return [make_upstream(f"{k}{n}", k) for k in kinds for n in range(of_kind)]


def find_kind_speed(upstream):
    return KINDS[upstream.entry.labels[0]]


def slow_down(slow):
    """Return the speeds of a cell in which one upstream is five times as slow."""
    return lambda each: find_kind_speed(each) / (5 if each is slow else 1)


class KindSpeedTest(SpeedsCase):
    def check_kinds(self):
        found = {each.kind.labels[0]: each.speed for each in self.speeds.list_kinds()}
        self.assertEqual(found.keys(), KINDS.keys())
        self.assertAlmostEqual(found["c"] / found["a"], 1.7 / 0.7, delta=0.35)
        self.assertAlmostEqual(found["c"] / found["b"], 1.7, delta=0.25)

    def test_kinds_are_told_apart_in_spite_of_wrong_estimates(self):
        """Without comparing within steps, estimates off by two hide the kinds."""
        self.end_steps(120, make_cell(), find_kind_speed)
        self.check_kinds()

    def test_kinds_are_learnt_from_single_tasks(self):
        """Steps of one task were compared with nothing, so nothing was learnt."""
        self.end_steps(900, make_cell(), find_kind_speed, tasks=1)
        self.check_kinds()

    def test_rare_kind_does_not_dilute_the_common_one(self):
        """Where steps run on one kind mostly, its own runs were its measure."""
        upstreams = make_cell("b", 12) + make_cell("c", 1) + make_cell("a", 1)
        self.end_steps(600, upstreams, find_kind_speed)
        self.check_kinds()

    def test_too_few_samples_change_nothing(self):
        """A handful of runs of a long tail is no proof of a difference."""
        upstreams = self.upstreams = make_cell("ac")
        self.end_steps(MIN_KIND_SAMPLES - 1, upstreams, find_kind_speed)
        self.assertEqual(self.speeds.slowness, {})
        self.assertEqual([self.speeds.find_speed(each) for each in upstreams], [1] * 8)

    def test_difference_of_unknown_kinds_is_not_one_of_upstreams(self):
        """Every upstream of a rare fast kind was taken for one that turned fast."""
        self.upstreams = make_cell("a", 8) + make_cell("c", 3)
        self.end_steps(MIN_KIND_SAMPLES // 2, self.upstreams, find_kind_speed, 20)
        self.assertEqual(self.speeds.slowness, {})

    def test_few_runs_of_equal_kinds_show_no_difference(self):
        """A few runs with a long tail made one of several equal kinds the fastest."""
        wrong = 0
        for _ in range(60):
            self.speeds = UpstreamSpeeds()
            self.end_steps(6, self.upstreams, lambda upstream: 1.0)
            wrong += bool(self.speeds.slowness)
        self.assertEqual(wrong, 0)

    def test_wrong_estimates_of_equal_kinds_show_no_difference(self):
        """Estimates that err by two make equal kinds look unlike for a while."""
        wrong = 0
        for _ in range(20):
            self.speeds = UpstreamSpeeds()
            self.end_steps(150, self.upstreams, lambda upstream: 1.0, tasks=1)
            wrong += any(each.speed != 1.0 for each in self.speeds.list_kinds())
        self.assertLessEqual(wrong, 1)

    def test_equal_kinds_show_no_difference(self):
        """Noise must not change the choice of upstreams in a cell of equal ones."""
        upstreams = self.upstreams
        wrong = 0
        for _ in range(400):
            self.end_step(upstreams, lambda upstream: 1.0)
            wrong += any(each.speed != 1.0 for each in self.speeds.list_kinds())
        self.assertEqual(wrong, 0)

    def test_upstream_of_another_kind_forgets(self):
        """An upstream that comes back with other labels kept its slowness."""
        upstreams = self.upstreams
        self.end_steps(120, upstreams, find_kind_speed)
        changed = upstreams[0]
        self.end_steps(40, upstreams, slow_down(changed))
        self.assertLess(self.speeds.find_speed(changed), 0.4)
        entry = attrs.evolve(changed.entry, labels=("c", "r0"))
        changed.update(entry, self.now, self.now)
        self.now += SECOND
        self.speeds.refresh(self.upstreams, self.now)
        self.assertGreater(self.speeds.find_speed(changed), 1.2)

    def test_capacity_counts_by_speed(self):
        """The backlog of a slow cell was divided by its nominal capacity."""
        upstreams = self.upstreams = make_cell("ac", 1)
        self.assertEqual(
            sum_effective_capacity(upstreams, self.speeds), Capacity(8_000, 8_000, 0)
        )
        self.end_steps(200, make_cell("ac"), find_kind_speed)
        (slow, fast) = [sum_effective_capacity([u], self.speeds) for u in upstreams]
        self.assertLess(slow.cpu_millis, 3_200)
        self.assertGreater(fast.cpu_millis, 5_000)


class SingleSpeedTest(SpeedsCase):
    def test_slow_upstream_is_followed_both_ways(self):
        """An upstream that is slow for seconds looked as fast as its kind."""
        upstreams = self.upstreams
        slow = upstreams[5]
        self.end_steps(120, upstreams, find_kind_speed)
        usual = self.speeds.find_speed(slow)
        self.end_steps(40, upstreams, slow_down(slow))
        self.assertLess(self.speeds.find_speed(slow), usual / 3)
        others = [each for each in upstreams if each is not slow]
        for other in others:
            self.assertGreater(self.speeds.find_speed(other), 0.5)
        self.end_steps(40, upstreams, find_kind_speed)
        self.assertGreater(self.speeds.find_speed(slow), usual / 1.2)

    def test_long_tail_makes_no_upstream_slow(self):
        """Runs of one job on one upstream err alike, and made it look slow."""
        self.upstreams = make_cell("b", 24)
        wrong = 0
        for _ in range(600):
            pair = self.random.sample(self.upstreams, 2)
            self.end_step(pair, lambda _: 1.0, self.random.randrange(1, 6))
            wrong += len(self.speeds.slowness)
        self.assertEqual(wrong, 0)

    def test_slow_upstream_without_new_runs_is_tried_again(self):
        """One that got no runs because it was slow would stay slow forever."""
        upstreams = self.upstreams
        slow = upstreams[5]
        self.end_steps(120, upstreams, find_kind_speed)
        usual = self.speeds.find_speed(slow)
        self.end_steps(40, upstreams, slow_down(slow))
        self.now += 8 * SECOND
        self.speeds.refresh(self.upstreams, self.now)
        self.assertGreater(self.speeds.find_speed(slow), usual / 1.2)

    def test_new_incarnation_forgets(self):
        """A restarted upstream inherited the slowness of its last incarnation."""
        upstreams = self.upstreams
        slow = upstreams[5]
        self.end_steps(120, upstreams, find_kind_speed)
        usual = self.speeds.find_speed(slow)
        self.end_steps(40, upstreams, slow_down(slow))
        again = make_upstream("b1@2", "b")
        self.now += SECOND
        self.speeds.refresh([*upstreams, again], self.now)
        self.assertLess(self.speeds.find_speed(slow), usual / 3)
        self.assertGreater(self.speeds.find_speed(again), usual / 1.2)


if __name__ == "__main__":
    unittest.main()
