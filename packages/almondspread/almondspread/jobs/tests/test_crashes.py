"""Tasks that crash the upstreams that start them, and tasks that only seem to."""

from datetime import timedelta

from almondspread.jobs.job_records import JobState
from almondspread.jobs.losses import MAX_POSSIBLE_CRASHES
from almondspread.jobs.messages import StartRun
from almondspread.jobs.submissions import TaskId
from almondspread.jobs.tests.cells import SECOND, CellTest, make_job, make_step
from almondspread.jobs.trials import PROOF_TIME

CRASHING = TaskId("crashing", 0, 0, 0)


class CrashingTaskTest(CellTest):
    """One task crashed upstream after upstream, for as long as the day lasted."""

    def setUp(self):
        super().setUp()
        self.add_upstreams(6)
        self.cell.crashing.add(CRASHING)
        self.cell.run_for(SECOND)

    def test_task_that_crashes_two_upstreams_is_given_up(self):
        self.cell.submit(make_job("crashing", make_step(2)))
        self.cell.run_for(20 * SECOND)
        self.assertEqual(self.cell.read_state("crashing"), JobState.FAILED)
        self.assertEqual(self.cell.crashes[CRASHING], 2)

    def test_task_is_given_up_where_upstreams_take_long_to_come_back(self):
        """The leases of a crashed upstream expire before it is back."""
        for restart_time in (9 * SECOND, 40 * SECOND):
            with self.subTest(restart_time=restart_time):
                job = f"crashing-{restart_time.seconds}"
                task = TaskId(job, 0, 0, 0)
                self.cell.crashing.add(task)
                self.cell.restart_time = restart_time
                self.cell.submit(make_job(job, make_step()))
                self.cell.run_for(100 * SECOND)
                self.assertEqual(self.cell.read_state(job), JobState.FAILED)
                self.assertEqual(self.cell.crashes[task], 2)

    def test_task_that_may_run_twice_is_given_up_as_early(self):
        self.cell.submit(make_job("crashing", make_step(duplicates=True)))
        self.cell.run_for(20 * SECOND)
        self.assertEqual(self.cell.read_state("crashing"), JobState.FAILED)
        self.assertEqual(self.cell.crashes[CRASHING], 2)

    def test_lasting_task_that_crashes_two_upstreams_is_given_up(self):
        self.cell.submit(make_job("crashing", make_step(lasting=True)))
        self.cell.run_for(20 * SECOND)
        self.assertEqual(self.cell.read_state("crashing"), JobState.FAILED)
        self.assertEqual(self.cell.crashes[CRASHING], 2)

    def test_crashes_are_remembered_by_the_next_leaders(self):
        self.cell.submit(make_job("crashing", make_step(2)))
        for _ in range(8):
            self.cell.run_for(4 * SECOND)
            self.cell.take_over()
        self.cell.run_for(20 * SECOND)
        self.assertEqual(self.cell.read_state("crashing"), JobState.FAILED)
        self.assertLessEqual(self.cell.crashes[CRASHING], 3)

    def test_leader_killed_soon_after_each_crash_does_not_forget_it(self):
        self.cell.submit(make_job("crashing", make_step(2)))
        for crash in range(1, 6):
            for _ in range(300):
                if self.cell.read_state("crashing") is JobState.FAILED:
                    return
                if self.cell.crashes.get(CRASHING, 0) < crash:
                    self.cell.step()
            self.cell.run_for(timedelta(milliseconds=500))
            self.cell.take_over()
        self.fail("the task was never given up")

    def test_tasks_beside_a_crashing_one_are_done(self):
        self.cell.submit(make_job("crashing", make_step(4)))
        jobs = []
        for number in range(20):
            jobs.append(f"j{number}")
            self.cell.submit(make_job(jobs[-1], make_step(3)))
            self.cell.run_for(timedelta(milliseconds=300))
        self.cell.run_for(20 * SECOND)
        self.assert_completed(*jobs)
        self.assertEqual(self.cell.read_state("crashing"), JobState.FAILED)
        self.assertEqual(self.cell.crashes[CRASHING], 2)


class CrashingGangTest(CellTest):
    """A gang lost upstreams under several of its members at once."""

    def test_gang_with_a_crashing_member_is_given_up(self):
        self.add_upstreams(6)
        self.cell.crashing.add(CRASHING)
        self.cell.submit(make_job("crashing", make_step(4, gang=True)))
        self.cell.run_for(30 * SECOND)
        self.assertEqual(self.cell.read_state("crashing"), JobState.FAILED)
        self.assertEqual(self.cell.crashes[CRASHING], 2)

    def test_gang_is_placed_where_its_suspected_members_cannot_be_put_apart(self):
        self.add_upstreams(2)
        self.cell.run_for(SECOND)
        self.cell.submit(make_job("j", make_step(6, gang=True)))
        self.cell.step()
        for name in list(self.cell.upstreams):
            self.cell.replace_upstream(name)
        self.cell.run_for(10 * SECOND)
        self.assert_completed("j")


class BystanderTest(CellTest):
    """Tasks that lose their upstreams for other reasons are not given up."""

    def setUp(self):
        super().setUp()
        self.add_upstreams(4)
        self.cell.run_for(SECOND)
        self.task = TaskId("j", 0, 0, 0)
        for upstream in self.cell.upstreams.values():
            upstream.durations[self.task] = 3 * SECOND

    def find_upstream(self):
        for name, upstream in self.cell.upstreams.items():
            if self.task in upstream.runs:
                return name
        return None

    def let_task_last(self):
        for upstream in self.cell.upstreams.values():
            upstream.durations[self.task] = timedelta(hours=1)

    def wait_for_start(self):
        for _ in range(300):
            if self.find_upstream() is not None:
                return self.find_upstream()
            self.cell.step()
        return self.fail("the task was not started within 30 s")

    def test_task_on_upstreams_that_are_cut_off_is_not_given_up(self):
        self.cell.submit(make_job("j", make_step()))
        for _ in range(3):
            self.cell.silent.add(self.wait_for_start())
            self.cell.run_for(8 * SECOND)
        self.assertEqual(self.cell.read_state("j"), JobState.RUNNING)
        self.cell.silent.clear()
        self.cell.run_for(20 * SECOND)
        self.assert_completed("j")

    def test_upstreams_that_answer_again_and_are_replaced_later_did_not_crash(self):
        """No end shows that: the starts had not reached the upstreams."""
        self.cell.add_upstream("u4")
        self.cell.run_for(SECOND)
        self.cell.submit(make_job("j", make_step()))
        self.cell.hold_back = lambda order: isinstance(order, StartRun)
        cut_off = []
        for _ in range(MAX_POSSIBLE_CRASHES):
            for _ in range(300):
                if not self.cell.held_orders:
                    self.cell.step()
            order = self.cell.held_orders.pop().order
            cut_off.append(order.upstream)
            self.cell.silent.add(order.upstream)
            self.cell.run_for(8 * SECOND)
        self.cell.silent.clear()
        self.cell.run_for(SECOND)
        self.cell.hold_back = lambda _: False
        for name in cut_off:
            self.cell.replace_upstream(name)
        self.cell.run_for(20 * SECOND)
        self.assert_completed("j")

    def test_task_on_upstreams_that_are_shut_down_is_not_given_up(self):
        self.cell.submit(make_job("j", make_step()))
        for _ in range(3):
            name = self.wait_for_start()
            self.cell.draining.add(name)
            self.cell.run_for(timedelta(milliseconds=200))
            self.cell.replace_upstream(name)
            self.cell.step()
        self.cell.run_for(10 * SECOND)
        self.assert_completed("j")

    def test_task_whose_starts_never_arrived_is_not_given_up(self):
        """The upstreams had crashed before the starts reached them."""
        self.cell.submit(make_job("j", make_step()))
        self.cell.hold_back = lambda order: isinstance(order, StartRun)
        for _ in range(3):
            for _ in range(300):
                if not self.cell.held_orders:
                    self.cell.step()
            order = self.cell.held_orders.pop().order
            self.cell.replace_upstream(order.upstream)
            self.cell.step()
        self.cell.hold_back = lambda _: False
        self.cell.run_for(10 * SECOND)
        self.assert_completed("j")
        self.assertEqual(self.cell.history.starts, 1)

    def test_lasting_task_that_has_worked_since_is_not_given_up(self):
        """Its upstream crashes right after each start, and it works in between."""
        self.let_task_last()
        self.cell.submit(make_job("j", make_step(lasting=True)))
        for _ in range(4):
            self.cell.replace_upstream(self.wait_for_start())
            self.cell.run_for(timedelta(milliseconds=100))
            self.wait_for_start()
            self.cell.run_for(5 * SECOND)
            self.cell.replace_upstream(self.find_upstream())
            self.cell.step()
        self.assertEqual(self.cell.read_state("j"), JobState.RUNNING)

    def test_lasting_task_survives_crashes_of_its_upstreams_over_time(self):
        """Each of its runs has worked for a while, so that they are not to blame."""
        self.let_task_last()
        self.cell.submit(make_job("j", make_step(lasting=True)))
        for _ in range(8):
            name = self.wait_for_start()
            self.cell.run_for(PROOF_TIME + SECOND / 2)
            self.cell.replace_upstream(name)
            self.cell.run_for(SECOND)
        self.assertEqual(self.cell.read_state("j"), JobState.RUNNING)

    def test_lasting_task_survives_two_crashes_soon_after_its_starts(self):
        self.let_task_last()
        self.cell.submit(make_job("j", make_step(lasting=True)))
        for _ in range(3):
            for _ in range(2):
                name = self.wait_for_start()
                self.cell.run_for(2 * SECOND)
                self.cell.replace_upstream(name)
                self.cell.run_for(SECOND)
            self.wait_for_start()
            self.cell.run_for(PROOF_TIME + SECOND / 2)
        self.assertEqual(self.cell.read_state("j"), JobState.RUNNING)

    def test_lasting_task_that_crashes_upstreams_late_is_given_up(self):
        """It went from one upstream to the next for as long as it was asked for.

        All else that ran on these upstreams went down with them.
        """
        for takes_over in (False, True):
            with self.subTest(takes_over=takes_over):
                job = f"late-{takes_over}"
                self.task = TaskId(job, 0, 0, 0)
                self.let_task_last()
                self.cell.submit(make_job(job, make_step(lasting=True)))
                crashes = 0
                while self.cell.read_state(job) is not JobState.FAILED:
                    name = self.wait_for_start()
                    self.cell.run_for(3 * SECOND)
                    self.cell.replace_upstream(name)
                    crashes += 1
                    self.cell.run_for(SECOND)
                    if takes_over:
                        self.cell.take_over()
                        self.cell.run_for(SECOND)
                    self.assertLess(crashes, 6)
                self.assertEqual(crashes, 3)

    def test_crash_together_with_the_leader_counts_for_the_task(self):
        """The next leader did not know what had run on the upstream.

        The task was started three times more after three crashes.
        """
        self.let_task_last()
        self.cell.submit(make_job("j", make_step(estimate=30 * SECOND)))
        crashes = 0
        while self.cell.read_state("j") is not JobState.FAILED:
            name = self.wait_for_start()
            self.cell.run_for(3 * SECOND)
            self.cell.replace_upstream(name)
            self.cell.take_over()
            crashes += 1
            self.assertLessEqual(crashes, 5)
            self.cell.run_for(SECOND)
