import unittest

import attrs

from almondspread.errors import Overloaded, Unavailable
from almondspread.jobs.admission import Outlook, RefusalReason, find_excess
from almondspread.jobs.admission_control import AdmissionControl
from almondspread.jobs.backlog import ServiceRoom, ServiceSize, ServiceWait
from almondspread.jobs.exceeded_rates import MAX_TOLD, ExceededRates
from almondspread.jobs.load_estimate import JobShape, Loads
from almondspread.jobs.retry_times import choose_retry_seconds
from almondspread.jobs.submissions import Repetition
from almondspread.jobs.tests.cells import CORE, SECOND, make_job, make_step
from almondspread.jobs.workspaces import Workspace
from almondspread.resources.capacity import Capacity
from almondspread.testing.cell_input import QUEUE, SERVICE, make_configuration
from almondspread.testing.fake_cell import WALL_CLOCK_START

NOW = 100 * SECOND
FULL = ServiceRoom(SERVICE, 10_000, 10_000)
MINUTE = ServiceWait(SERVICE, 0, 60.0)


class DecisionCase(unittest.TestCase):
    def setUp(self):
        limit = Capacity(4_000, 0, 0)
        workspaces = {
            "w": Workspace("w", 2.0),
            "limited": Workspace("limited", 2.0, limit),
        }
        self.configuration = attrs.evolve(make_configuration(), workspaces=workspaces)
        self.queue = self.configuration.queues[QUEUE]
        self.control = AdmissionControl()
        self.count = 0

    def update(self, *waits, at=NOW, **fields):
        self.control.update(Loads(waits, **fields), at)

    def decide(self, *steps, at=NOW, workspace="", name="", repetition=None):
        """Return the refusal of a new job, by default one of a second on one core."""
        self.count += 1
        job = make_job(name or f"j{self.count}", *(steps or (make_step(),)))
        job = attrs.evolve(job, workspace=workspace, repetition=repetition)
        return self.control.decide(self.queue, job, self.configuration, at)


class LoadTest(DecisionCase):
    def test_lasting_and_repeated_jobs_are_never_refused_by_load(self):
        self.update(MINUTE, rooms=(FULL,))
        self.assertIsInstance(self.decide().problem, Overloaded)
        self.assertIsNone(self.decide(make_step(lasting=True)))
        repetition = Repetition(WALL_CLOCK_START, SECOND, 3)
        self.assertIsNone(self.decide(repetition=repetition))

    def test_old_estimate_refuses_nobody(self):
        """Guards against refusals by the last estimate of a leader that is lost."""
        self.update(MINUTE, rooms=(FULL,))
        self.assertIsNotNone(self.decide(at=NOW + 1.9 * SECOND))
        self.assertIsNone(self.decide(at=NOW + 2.1 * SECOND))

    def test_old_estimate_still_refuses_surplus(self):
        """A greedy workspace must not gain from the loss of a leader."""
        self.update(MINUTE, rooms=(FULL,), exceeded=("w",))
        later = NOW + 5 * SECOND
        for _ in range(20):
            refusal = self.decide(workspace="w", at=later)
        self.assertIs(refusal.reason, RefusalReason.SURPLUS)

    def test_instance_counts_what_it_has_admitted_since_the_estimate(self):
        """Each instance admitted the same room again until the next estimate."""
        room = ServiceRoom(SERVICE, 10_000, 10_000, 0, 5_000, 5_000)
        wide = make_step(5, estimate=10 * SECOND)
        self.update(rooms=(room,))
        admitted = [self.decide(wide) is None for _ in range(30)]
        self.assertTrue(all(admitted[:3]))
        self.assertLess(sum(admitted), 15)
        alone = sum(admitted)
        # Others admit as much as this one, so that it may admit less itself.
        self.control = AdmissionControl()
        self.update(rooms=(room,), instances=10)
        admitted = [self.decide(wide) is None for _ in range(30)]
        self.assertLess(sum(admitted), alone)

    def test_admitted_large_jobs_do_not_make_small_ones_wait(self):
        """Small jobs were refused after one large job was admitted at an instance."""
        self.update(rooms=(FULL,), instances=40)
        self.assertIsNone(self.decide(make_step(10, estimate=20 * SECOND)))
        self.assertIsNone(self.decide(make_step(estimate=SECOND / 10)))

    def test_admitted_jobs_are_forgotten_once_an_estimate_has_them(self):
        wide = make_step(10, estimate=10 * SECOND)
        self.update(rooms=(FULL,))
        refusals = [self.decide(wide) for _ in range(20)]
        self.assertIsNotNone(refusals[-1])
        later = NOW + 3 * SECOND
        self.update(rooms=(FULL,), at=later)
        self.assertIsNone(self.decide(wide, at=later))

    def test_refusing_does_not_flap(self):
        """Guards against refusals and admissions in turn around a bound."""
        at_bound = JobShape(1.0, 2.0)
        outlook = Outlook(5.0, 5.0)
        self.assertIsNone(find_excess(at_bound, Outlook(4.9, 4.9)))
        self.assertIsNotNone(
            find_excess(at_bound, attrs.evolve(outlook, wait_seconds=5.1))
        )
        refusing = Outlook(4.9, 4.9, is_refusing=True)
        self.assertIsNotNone(find_excess(at_bound, refusing))
        self.assertIsNone(find_excess(at_bound, Outlook(3.9, 3.9, is_refusing=True)))

    def test_bounds_do_not_depend_on_the_size_of_a_job(self):
        """Guards against large jobs that starve: bounds are relative to the target."""
        for size in (1.0, 10.0, 100.0):
            shape = JobShape(size, 2.0 * size)
            self.assertIsNone(find_excess(shape, Outlook(4.9 * size, 4.9 * size)))
            self.assertIsNotNone(find_excess(shape, Outlook(5.1 * size, 5.1 * size)))

    def test_time_since_the_first_attempt_counts(self):
        """A job that came back was admitted although its value was gone by then."""
        shape = JobShape(1.0, 2.0)
        self.assertIsNone(find_excess(shape, Outlook(3.0, 3.0)))
        self.assertIsNotNone(find_excess(shape, Outlook(3.0, 3.0, 4.0)))


class WorkspaceTest(DecisionCase):
    def test_surplus_is_refused_before_others(self):
        self.update(ServiceWait(SERVICE, 0, 1.0), rooms=(FULL,), exceeded=("w",))
        refusals = [self.decide(workspace="w") for _ in range(20)]
        reasons = {refusal.reason for refusal in refusals if refusal is not None}
        self.assertEqual(reasons, {RefusalReason.SURPLUS})
        self.assertIsNone(self.decide(workspace="limited"))
        # What it is entitled to in three seconds passes.
        self.assertEqual(refusals.count(None), 6)

    def test_surplus_comes_back_after_others(self):
        """Surplus that came back with the other jobs took the room from them."""
        self.update(MINUTE, rooms=(FULL,))
        other = self.decide(workspace="w", name="j").problem
        self.control = AdmissionControl()
        self.update(MINUTE, rooms=(FULL,), exceeded=("w",))
        for _ in range(6):
            self.decide(workspace="w")
        refusal = self.decide(workspace="w", name="j")
        self.assertIs(refusal.reason, RefusalReason.SURPLUS)
        least = other.retry_after_seconds + 30
        self.assertGreater(refusal.problem.retry_after_seconds, least)

    def test_surplus_waits_for_late_work_and_other_surplus(self):
        """A backlog of surplus grew without bound, since none of it counted."""
        shape = JobShape(1.0, 4.0, False)
        outlook = Outlook(0.0, late_seconds=200.0, is_surplus=True)
        self.assertIs(find_excess(shape, outlook).reason, RefusalReason.SURPLUS)

    def test_long_overload_does_not_send_callers_away_for_ever_longer(self):
        """After half an hour of overload callers were sent away for two hours."""
        delays = []
        for second in range(1_800):
            now = NOW + second * SECOND
            self.update(MINUTE, rooms=(FULL,), at=now)
            refusal = self.decide(at=now)
            delays.append(refusal.problem.retry_after_seconds)
        self.assertLessEqual(max(delays[60:]), 2 * max(delays[:60]))

    def test_surplus_passes_while_there_is_capacity(self):
        self.update(exceeded=("w",))
        self.assertEqual([self.decide(workspace="w") for _ in range(20)], [None] * 20)

    def test_job_above_the_limit_of_its_workspace_is_refused_with_the_reason(self):
        """Such a job waited for its limit for ever."""
        large = make_step(size=Capacity(5_000, 100))
        refusal = self.decide(large, workspace="limited")
        self.assertIsInstance(refusal.problem, Overloaded)
        self.assertIn("4000 are allowed", refusal.problem.message)
        self.assertIsNone(self.decide(large, workspace="w"))
        self.assertIsNotNone(self.decide(make_step(5, gang=True), workspace="limited"))
        self.assertIsNone(self.decide(make_step(5), workspace="limited"))
        lasting = make_step(size=Capacity(5_000, 100), lasting=True)
        self.assertIsNotNone(self.decide(lasting, workspace="limited"))

    def test_task_larger_than_every_upstream_is_refused_at_once(self):
        size = ServiceSize(SERVICE, 4_000, 8_000)
        large = make_step(size=Capacity(5_000, 100))
        self.assertIsNone(self.decide(large))
        self.update(sizes=(size,))
        refusal = self.decide(large)
        self.assertIsInstance(refusal.problem, Unavailable)
        self.assertTrue(refusal.problem.not_run)
        self.assertIsNone(self.decide(make_step(50)))
        # A new leader that knows fewer upstreams does not cause refusals.
        self.update(sizes=(attrs.evolve(size, cpu_millis=500),))
        self.assertIsNone(self.decide(make_step(size=CORE)))

    def test_leader_names_workspaces_until_a_while_after_the_last_surplus(self):
        """Instances that refuse all surplus hide it from the leader."""
        rates = ExceededRates()
        workspaces = self.configuration.workspaces
        for _ in range(8):
            rates.record(workspaces["w"], NOW)
            rates.record(workspaces["limited"], NOW - 60 * SECOND)
        self.assertEqual(rates.list_exceeded(workspaces, NOW + SECOND), ("w",))
        self.assertEqual(rates.list_exceeded(workspaces, NOW + 4 * SECOND), ())

    def test_number_of_named_workspaces_is_bounded(self):
        rates = ExceededRates()
        workspaces = {f"w{n}": Workspace(f"w{n}", 0.1) for n in range(500)}
        for workspace in workspaces.values():
            for _ in range(2):
                rates.record(workspace, NOW)
        self.assertEqual(len(rates.list_exceeded(workspaces, NOW)), MAX_TOLD)


class RetryTest(unittest.TestCase):
    def test_returns_are_spread_over_the_time_in_which_the_backlog_drains(self):
        """Callers that were refused together came back together."""
        times = [
            choose_retry_seconds(f"j{n}", 1, 5.0, 20.0, 99.0) for n in range(1_000)
        ]
        self.assertGreaterEqual(min(times), 5.0)
        self.assertLessEqual(max(times), 25.0)
        for second in range(5, 25):
            due = [time for time in times if second <= time < second + 1]
            self.assertTrue(25 <= len(due) <= 75, len(due))

    def test_same_job_gets_the_same_time_at_every_instance(self):
        times = {choose_retry_seconds("j", 1, 5.0, 20.0, 99.0) for _ in range(9)}
        self.assertEqual(len(times), 1)

    def test_job_that_came_earlier_returns_earlier(self):
        first = choose_retry_seconds("j", 1, 5.0, 20.0, 99.0)
        third = choose_retry_seconds("j", 3, 5.0, 20.0, 99.0)
        self.assertLess(third, first)

    def test_job_that_would_be_late_anyway_leaves_the_room_to_others(self):
        """Callers of small jobs came back in the burst, and made new jobs late."""
        late = [choose_retry_seconds(f"j{n}", 1, 1.0, 3.0, 0.5) for n in range(100)]
        self.assertGreater(min(late), 10.0)


if __name__ == "__main__":
    unittest.main()
