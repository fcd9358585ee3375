import unittest

import attrs

from almondspread.jobs.job_records import JobState
from almondspread.jobs.progress import JobProgress
from almondspread.jobs.reservations import Reservations, find_ready_time
from almondspread.jobs.step_progress import StepProgress
from almondspread.jobs.submissions import Submission, TaskId
from almondspread.jobs.tests.cells import CORE, SECOND, CellTest, make_step
from almondspread.jobs.upstreams import Upstream
from almondspread.resources.capacity import Capacity
from almondspread.testing.cell_input import QUEUE, make_configuration, make_entry
from almondspread.testing.fake_cell import FakeCell
from almondspread.testing.fake_upstream import FakeUpstream, History

LARGE = Capacity(4_000, 4_000)
URGENT, ROUTINE = "urgent", "routine"


def make_cell():
    """Return a cell with an urgent and a routine queue, which allow long waits."""
    configuration = make_configuration()
    queue = attrs.evolve(
        configuration.queues[QUEUE], stretch=10.0, target_latency=20 * SECOND
    )
    queues = {
        URGENT: attrs.evolve(queue, name=URGENT, priority=0),
        ROUTINE: attrs.evolve(queue, name=ROUTINE, priority=1),
    }
    return FakeCell(configuration=attrs.evolve(configuration, queues=queues))


class ReservationTest(CellTest):
    def setUp(self):
        self.cell = make_cell()

    def submit(self, name, queue, *steps, lasts=1):
        """Submit a job, each of whose tasks runs for ``lasts`` seconds."""
        for upstream in self.cell.upstreams.values():
            for number, step in enumerate(steps):
                for index in range(step.count):
                    task = TaskId(name, 0, number, index)
                    upstream.durations[task] = lasts * SECOND
        self.cell.submit(Submission(name, queue, "", steps))

    def fill(self, seconds, lasts=3):
        """Submit one small routine job every half second."""
        for number in range(2 * seconds):
            step = make_step(estimate=lasts * SECOND)
            self.submit(f"small-{self.cell.now}-{number}", ROUTINE, step, lasts=lasts)
            self.cell.run_for(SECOND / 2)

    def read_state(self, job):
        return self.cell.read_state(job)

    def test_no_more_upstreams_are_reserved_than_tasks_may_start(self):
        """Guards against room kept for tasks that the limit of a workspace holds."""
        step = make_step(3, size=LARGE)
        job = JobProgress(Submission("j", URGENT, "", (step,)), SECOND)
        progress = StepProgress(job, 0, 0, step, waiting=dict.fromkeys(range(3)))
        upstreams = []
        for number in range(9):
            fake = FakeUpstream(f"u{number}", LARGE, History())
            upstreams.append(Upstream(make_entry(fake, number)))
        reservations = Reservations(lambda _: 1)
        waiting = [((0, 0, 0, SECOND), progress, upstreams)]
        reservations.renew(waiting, 9, lambda _: [], SECOND)
        self.assertEqual(len(reservations.list_older(SECOND)), 1)

    def test_large_task_starts_although_small_ones_keep_coming(self):
        """Whole upstreams of eight accelerators were never free for urgent tasks.

        Such tasks waited for up to 19 s, while less urgent tasks that need a single
        accelerator took each one that became free.
        """
        self.add_upstreams(1)
        self.fill(5)
        self.submit("large", URGENT, make_step(size=LARGE))
        self.fill(6)
        self.assertEqual(self.read_state("large"), JobState.COMPLETED)

    def test_gap_before_the_reserved_task_is_used(self):
        self.add_upstreams(1)
        self.submit("long", ROUTINE, make_step(2, estimate=4 * SECOND), lasts=4)
        self.cell.run_for(2.4 * SECOND)
        self.submit("large", URGENT, make_step(size=LARGE))
        self.cell.run_for(SECOND / 5)
        self.submit("short", ROUTINE, make_step(2, estimate=SECOND / 2), lasts=0.5)
        self.submit("too-long", ROUTINE, make_step(estimate=8 * SECOND), lasts=8)
        self.cell.run_for(SECOND)
        self.assertEqual(self.read_state("short"), JobState.COMPLETED)
        self.assertEqual(self.read_state("too-long"), JobState.QUEUED)
        self.cell.run_for(3 * SECOND)
        self.assertEqual(self.read_state("large"), JobState.COMPLETED)

    def test_more_urgent_tasks_ignore_a_reservation(self):
        self.add_upstreams(1)
        self.submit("long", ROUTINE, make_step(1, estimate=6 * SECOND), lasts=6)
        self.cell.run_for(SECOND)
        self.submit("large", ROUTINE, make_step(size=LARGE))
        self.cell.run_for(SECOND / 2)
        self.submit("urgent", URGENT, make_step(estimate=9 * SECOND), lasts=9)
        self.cell.run_for(SECOND / 2)
        self.assertEqual(self.read_state("urgent"), JobState.RUNNING)

    def test_most_upstreams_stay_open_to_small_tasks(self):
        self.add_upstreams(6)
        self.submit("long", ROUTINE, make_step(6, estimate=9 * SECOND), lasts=9)
        self.cell.run_for(SECOND)
        self.submit("large", URGENT, make_step(30, size=LARGE))
        self.cell.run_for(SECOND / 2)
        self.submit("small", ROUTINE, make_step(12, estimate=20 * SECOND), lasts=20)
        self.cell.run_for(SECOND / 2)
        self.assertEqual(self.read_state("small"), JobState.RUNNING)

    def test_gang_is_reserved_all_its_upstreams(self):
        self.add_upstreams(6)
        for number in range(40):
            step = make_step(estimate=3 * SECOND)
            self.submit(f"early-{number}", ROUTINE, step, lasts=3)
            self.cell.run_for(SECOND / 10)
        self.submit("gang", URGENT, make_step(2, size=LARGE, gang=True), lasts=1)
        for number in range(80):
            step = make_step(estimate=3 * SECOND)
            self.submit(f"crowd-{number}", ROUTINE, step, lasts=3)
            self.cell.run_for(SECOND / 10)
        self.assertEqual(self.read_state("gang"), JobState.COMPLETED)

    def test_reservation_ends_with_its_job(self):
        self.add_upstreams(1)
        self.submit("long", ROUTINE, make_step(1, estimate=9 * SECOND), lasts=9)
        self.cell.run_for(SECOND)
        self.submit("large", URGENT, make_step(size=LARGE))
        self.cell.run_for(SECOND / 2)
        self.cell.scheduler.cancel_job("large", self.cell.now)
        self.submit("small", ROUTINE, make_step(estimate=20 * SECOND), lasts=20)
        self.cell.run_for(SECOND / 5)
        self.assertEqual(self.read_state("small"), JobState.RUNNING)


class ReadyTimeTest(unittest.TestCase):
    def setUp(self):
        fake = FakeUpstream("u0", LARGE, History())
        self.upstream = Upstream(make_entry(fake, 0))

    def test_room_that_is_free_now(self):
        ready = find_ready_time(self.upstream, CORE, [], SECOND)
        self.assertEqual(ready, (SECOND, LARGE))

    def test_runs_free_room_in_the_order_of_their_ends(self):
        self.upstream.bind(TaskId("a", 0, 0, 0), 1, LARGE)
        ends = [(9 * SECOND, CORE), (5 * SECOND, CORE), (7 * SECOND, CORE)]
        ready = find_ready_time(self.upstream, CORE.times(2), ends, SECOND)
        self.assertEqual(ready, (7 * SECOND, CORE.times(2)))

    def test_room_that_will_never_be_free(self):
        self.upstream.bind(TaskId("a", 0, 0, 0), 1, LARGE)
        self.assertIsNone(find_ready_time(self.upstream, LARGE, [], SECOND))


if __name__ == "__main__":
    unittest.main()
