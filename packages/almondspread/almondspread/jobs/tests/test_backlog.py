import unittest
from datetime import timedelta

import attrs

from almondspread.jobs.admission_control import AdmissionControl
from almondspread.jobs.bound_runs import Run, RunPhase
from almondspread.jobs.durations import MIN_RUNS, DurationRatios
from almondspread.jobs.exceeded_rates import ExceededRates
from almondspread.jobs.leader_loads import estimate_loads
from almondspread.jobs.load_estimate import JobShape, LoadEstimate
from almondspread.jobs.progress import JobProgress
from almondspread.jobs.step_progress import StepProgress
from almondspread.jobs.submissions import TaskId
from almondspread.jobs.tests.cells import CORE, SECOND, make_job, make_step
from almondspread.jobs.upstreams import Upstream
from almondspread.resources.capacity import Capacity
from almondspread.testing.cell_input import QUEUE, make_configuration, make_entry
from almondspread.testing.fake_upstream import FakeUpstream, History

UPSTREAM = Capacity(64_000, 131_072, 8)
SCAN = Capacity(10_000, 16_000, 8)
MANY = 1_000.0


class BacklogTest(unittest.TestCase):
    def setUp(self):
        self.configuration = make_configuration()
        self.ratios = DurationRatios()
        entry = make_entry(FakeUpstream("u0", UPSTREAM, History()), 0)
        entry = attrs.evolve(entry, capacity=UPSTREAM)
        self.upstream = Upstream(entry, has_reported=True, recorded=True)
        self.jobs = {}

    def add_job(self, *steps, denied=(), running=0, name="j"):
        """Add a job of which some tasks of the first step have just started."""
        job = JobProgress(make_job(name, *steps), SECOND)
        for number, step in enumerate(steps):
            progress = StepProgress(job, 0, number, step)
            progress.waiting = dict.fromkeys(range(step.count))
            progress.permits.denied.update(denied)
            job.steps[0, number] = progress
        for index in range(running):
            task = TaskId(name, 0, 0, index)
            run = Run(task, 1, "u0", RunPhase.RUNNING, SECOND, SECOND)
            job.steps[0, 0].add_run(run)
        self.jobs[name] = job

    def estimate_loads(self, now=SECOND):
        return estimate_loads(
            self.jobs,
            {"u0": self.upstream},
            self.configuration,
            self.ratios,
            ExceededRates(),
            now,
        )

    def find_wait(self, now=SECOND, accelerated=True, due=MANY, path=1.0):
        """Return the estimated wait of a new job that is due in some seconds."""
        estimate = LoadEstimate(self.estimate_loads(now), now)
        queue = self.configuration.queues[QUEUE]
        return estimate.find_delay(queue, JobShape(path, due, accelerated))

    def test_scarcest_resource_decides(self):
        """Jobs were accepted whose accelerators were taken for the next 20 s."""
        self.add_job(make_step(5, size=SCAN, estimate=4 * SECOND))
        self.assertEqual(self.find_wait(), 20.0)

    def test_jobs_without_accelerators_do_not_wait_for_them(self):
        """Guards against refusals of small jobs while all accelerators are taken."""
        self.add_job(make_step(5, size=SCAN, estimate=4 * SECOND))
        self.assertEqual(self.find_wait(accelerated=False), 0.0)

    def test_memory_may_bind_before_processors(self):
        size = Capacity(1_000, 65_536)
        self.add_job(make_step(6, size=size, estimate=2 * SECOND))
        self.assertEqual(self.find_wait(accelerated=False), 6.0)

    def test_job_behind_too_much_work_is_refused_at_once(self):
        queue = self.configuration.queues[QUEUE]
        scan = make_step(size=SCAN, estimate=4 * SECOND)
        control = AdmissionControl()
        control.update(self.estimate_loads(), SECOND)
        now = make_job("now", scan)
        self.assertIsNone(control.decide(queue, now, self.configuration, SECOND))
        self.add_job(*[scan] * 10)
        control.update(self.estimate_loads(), SECOND)
        late = make_job("late", scan)
        refusal = control.decide(queue, late, self.configuration, SECOND)
        self.assertGreater(refusal.problem.retry_after_seconds, 20)

    def test_estimates_are_corrected_by_what_runs_really_take(self):
        for _ in range(MIN_RUNS):
            self.ratios.record(QUEUE, SECOND, 3 * SECOND)
        self.add_job(make_step(5, size=SCAN, estimate=SECOND))
        self.assertAlmostEqual(self.find_wait(), 15.0)

    def test_work_that_is_placed_later_or_never_makes_nobody_wait(self):
        """Callers were refused for jobs that no upstream may run, and for late ones.

        Eight of 43 were refused on a day on which upstreams stood free.
        """
        scan = make_step(2, size=SCAN, estimate=4 * SECOND)
        self.add_job(scan, denied={"u0"})
        self.assertEqual(self.find_wait(), 0.0)
        self.add_job(scan)
        self.assertEqual(self.find_wait(9 * SECOND), 0.0)
        self.assertEqual(self.find_wait(), 8.0)

    def test_short_tasks_count_with_their_exact_work(self):
        """Rounding their durations had a cell count as full that was not."""
        self.add_job(make_step(128, size=CORE, estimate=0.3 * SECOND))
        self.assertAlmostEqual(self.find_wait(), 0.6, places=2)
        self.add_job(make_step(63, size=CORE, estimate=0.3 * SECOND))
        self.assertEqual(self.find_wait(), 0.0)

    def test_late_work_counts_until_it_has_no_value(self):
        """Late jobs were refused behind results that nobody waits for any more."""
        scan = make_step(10, size=SCAN, estimate=4 * SECOND)
        self.add_job(scan)
        (room,) = self.estimate_loads(9 * SECOND).rooms
        self.assertAlmostEqual(room.late_seconds, 40.0)
        self.assertEqual(self.estimate_loads(60 * SECOND).rooms, ())

    def test_empty_cell_makes_nobody_wait(self):
        self.assertEqual(self.find_wait(), 0.0)

    def test_later_steps_of_accepted_jobs_count(self):
        """Bursts were admitted whose wide second steps then all ended late."""
        wide = make_step(640, size=CORE, estimate=2 * SECOND, after=(0,))
        self.add_job(make_step(1, size=CORE, estimate=SECOND), wide)
        self.assertAlmostEqual(self.find_wait(path=4.0), 20.0)
        # A job that is done before that step begins does not wait for it.
        self.assertEqual(self.find_wait(path=0.5), 0.0)

    def test_running_tasks_leave_room_only_when_they_end(self):
        """Guards against a full cell without waiting tasks that counts as free."""
        self.add_job(make_step(64, size=CORE, estimate=4 * SECOND), running=64)
        self.assertAlmostEqual(self.find_wait(), 4.0)
        self.assertAlmostEqual(self.find_wait(2 * SECOND), 3.0)

    def test_lasting_tasks_take_their_room_for_good(self):
        """Jobs were accepted for capacity that lasting tasks never give back."""
        self.add_job(make_step(48, size=CORE, lasting=True), running=48, name="l")
        self.add_job(make_step(32, size=CORE, estimate=4 * SECOND))
        self.assertAlmostEqual(self.find_wait(), 8.0)

    def test_work_that_fits_into_the_room_makes_nobody_wait(self):
        """Guards against refusals while the cell has room for more."""
        self.add_job(
            make_step(31, size=CORE, estimate=100 * SECOND),
            make_step(31, size=CORE, estimate=100 * SECOND, after=(0,)),
            running=20,
        )
        self.assertEqual(self.find_wait(path=1_000.0), 0.0)
        self.assertEqual(self.estimate_loads().rooms, ())

    def test_small_jobs_do_not_wait_for_large_ones(self):
        """A burst of large jobs had small ones refused that are placed before them."""
        self.add_job(make_step(256, size=CORE, estimate=10 * SECOND))
        self.assertEqual(self.find_wait(due=1.0), 0.0)
        self.assertAlmostEqual(self.find_wait(due=30.0), 40.0)

    def test_upstreams_that_a_new_leader_has_not_heard_count(self):
        """Every change of the leader looked like an overload."""
        self.upstream.has_reported = False
        self.add_job(make_step(64, size=CORE, estimate=4 * SECOND))
        self.assertAlmostEqual(self.find_wait(path=1.0), 4.0)
        self.upstream.mark_unlisted(SECOND)
        self.assertEqual(self.estimate_loads().rooms, ())

    def test_last_wait_of_a_priority_is_the_shortest(self):
        """Instances of the release before keep the last one, and refused small jobs."""
        self.add_job(make_step(256, size=CORE, estimate=10 * SECOND), name="large")
        self.add_job(make_step(256, size=CORE, estimate=SECOND / 2), name="small")
        seconds = [wait.seconds for wait in self.estimate_loads().waits]
        self.assertEqual(seconds, sorted(seconds, reverse=True))
        self.assertGreater(len(seconds), 1)


class MessageSizeTest(unittest.TestCase):
    def test_idle_services_and_equal_classes_are_not_sent(self):
        """Guards against messages of many kB to all instances, 3 times a second."""
        case = BacklogTest()
        case.setUp()
        queue = case.configuration.queues[QUEUE]
        queues = {QUEUE: queue}
        for number in range(2_000):
            name = f"q{number}"
            queues[name] = attrs.evolve(
                queue, name=name, priority=number % 3, service=f"s{number % 40}"
            )
        case.configuration = attrs.evolve(case.configuration, queues=queues)
        case.add_job(make_step(256, size=CORE, estimate=timedelta(seconds=4)))
        loads = case.estimate_loads()
        self.assertEqual(len(loads.waits), 1)
        self.assertEqual(len(loads.rooms), 1)


if __name__ == "__main__":
    unittest.main()
