import unittest

import attrs

from almondspread.jobs.placement import list_candidates, place_tasks
from almondspread.jobs.progress import JobProgress
from almondspread.jobs.step_progress import StepProgress
from almondspread.jobs.submissions import TaskId
from almondspread.jobs.tests.cells import SECOND, make_job, make_step
from almondspread.jobs.upstreams import Upstream
from almondspread.resources.capacity import Capacity
from almondspread.testing.cell_input import make_entry
from almondspread.testing.fake_upstream import FakeUpstream, History

PLAIN = Capacity(64_000, 131_072, 0)
ACCELERATED = Capacity(64_000, 131_072, 8)


def make_upstream(name, capacity, used=None):
    entry = make_entry(FakeUpstream(name, capacity, History()), 0)
    upstream = Upstream(attrs.evolve(entry, capacity=capacity))
    if used is not None:
        upstream.bind(TaskId("used", 0, 0, 0), 1, used)
    return upstream


def choose(claim, *upstreams):
    """Return the name of the upstream on which a task is placed."""
    step = make_step(size=claim)
    progress = StepProgress(JobProgress(make_job("j", step), SECOND), 0, 0, step)
    progress.waiting = {0: None}
    candidates = list_candidates(progress, upstreams, lambda upstream: upstream.free)
    (placement,) = place_tasks(progress, candidates, set())
    return placement.upstream.name


class PlacementTest(unittest.TestCase):
    def test_task_is_packed_by_the_resource_that_it_takes_most_of(self):
        """Tasks with one accelerator were spread, and none was left with eight."""
        few = make_upstream("few-processors", ACCELERATED, Capacity(40_000, 1_000, 2))
        many = make_upstream("few-accelerators", ACCELERATED, Capacity(6_000, 1_000, 5))
        claim = Capacity(5_600, 11_000, 1)
        self.assertEqual(choose(claim, few, many), "few-accelerators")

    def test_no_more_tasks_are_placed_than_may_start(self):
        """Guards against a plan with more tasks than a limit lets start."""
        for gang, most in ((False, 2), (True, 0)):
            step = make_step(3, gang=gang)
            job = JobProgress(make_job("j", step), SECOND)
            progress = StepProgress(job, 0, 0, step, waiting=dict.fromkeys(range(3)))
            upstream = make_upstream("u", PLAIN)
            candidates = list_candidates(progress, [upstream], lambda each: each.free)
            placed = place_tasks(progress, candidates, set(), max_tasks=2)
            self.assertEqual(len(placed), most)

    def test_task_without_accelerators_leaves_them_free(self):
        accelerated = make_upstream("with", ACCELERATED, Capacity(32_000, 1_000, 0))
        plain = make_upstream("without", PLAIN)
        self.assertEqual(choose(Capacity(5_600, 1_000), accelerated, plain), "without")

    def test_memory_can_be_the_scarcest(self):
        full = make_upstream("little-memory", PLAIN, Capacity(1_000, 100_000, 0))
        other = make_upstream("few-processors", PLAIN, Capacity(40_000, 1_000, 0))
        self.assertEqual(choose(Capacity(1_000, 20_000), full, other), "little-memory")

    def test_small_task_fills_a_small_upstream_first(self):
        """Small tasks in large upstreams left no room for large tasks."""
        large = make_upstream("large", Capacity(32_000, 65_536, 0))
        small = make_upstream("small", Capacity(16_000, 32_768, 0))
        self.assertEqual(choose(Capacity(1_000, 1_000), large, small), "small")


if __name__ == "__main__":
    unittest.main()
