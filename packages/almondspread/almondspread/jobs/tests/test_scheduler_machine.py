import unittest
from datetime import timedelta

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from almondspread.jobs.job_records import JobState
from almondspread.jobs.losses import MAX_FRESH_CRASHES
from almondspread.jobs.messages import StartRun, StopRun
from almondspread.jobs.submissions import Step, Submission, TaskId
from almondspread.resources.capacity import Capacity
from almondspread.testing.cell_input import QUEUE
from almondspread.testing.fake_cell import FakeCell

MAX_JOBS = 8
MAX_UPSTREAMS = 5


class SchedulerMachine(RuleBasedStateMachine):
    """Drives a cell through lost answers, late orders, crashes and leader changes.

    The order of rule names decides which examples the derandomized test runs.
    """

    def __init__(self):
        super().__init__()
        self.cell = FakeCell()
        self.next_upstream = 0
        self.lost_answers = 0
        self.held_orders = 0
        self.crashes = 0
        self.cell.lose_answer = self.should_lose_answer
        self.cell.hold_back = self.should_hold_back
        for _ in range(3):
            self.add_upstream(3_000)
        self.cell.run_for(timedelta(milliseconds=300))

    def should_lose_answer(self, _):
        self.lost_answers -= 1
        return self.lost_answers >= 0

    def should_hold_back(self, order):
        if not isinstance(order, StartRun | StopRun):
            return False
        self.held_orders -= 1
        return self.held_orders >= 0

    def add_upstream(self, cpu_millis):
        self.cell.add_upstream(f"u{self.next_upstream}", cpu_millis)
        self.next_upstream += 1

    @rule(
        counts=st.lists(st.integers(1, 4), min_size=1, max_size=3),
        cpu_millis=st.sampled_from((500, 1_000, 2_500)),
        gang=st.booleans(),
        duplicates=st.booleans(),
        seconds=st.sampled_from((0.3, 1.0, 4.0)),
    )
    def submit(self, counts, cpu_millis, gang, duplicates, seconds):
        number = len(self.cell.history.submissions)
        if number >= MAX_JOBS:
            return
        job = f"j{number}"
        # A gang of the largest tasks would never fit on the upstreams as a whole.
        cpu_millis = min(cpu_millis, 1_000) if gang else cpu_millis
        estimate = timedelta(seconds=seconds)
        steps = []
        for step, count in enumerate(counts):
            after = (step - 1,) if step else ()
            size = Capacity(cpu_millis, 100)
            steps.append(
                Step(
                    count,
                    size,
                    estimate,
                    after,
                    gang=gang and not duplicates,
                    duplicates=duplicates,
                )
            )
            for index in range(count):
                for upstream in self.cell.upstreams.values():
                    upstream.durations[TaskId(job, 0, step, index)] = estimate
        self.cell.submit(Submission(job, QUEUE, "", tuple(steps)))

    @rule(tenths=st.integers(1, 30))
    def wait(self, tenths):
        self.cell.run_for(timedelta(milliseconds=100 * tenths))

    @rule(count=st.integers(1, 6))
    def lose_answers(self, count):
        self.lost_answers = count

    @rule(count=st.integers(1, 4))
    def hold_back_orders(self, count):
        self.held_orders = count

    @precondition(lambda self: self.cell.held_orders)
    @rule()
    def carry_out_late(self):
        held = self.cell.held_orders.pop(0)
        token, order = held.token, held.order
        upstream = self.cell.find_running(order.upstream)
        if upstream is None or upstream.name in self.cell.silent:
            return
        if isinstance(order, StopRun):
            upstream.stop(token, order.task, order.run, self.cell.now)
            return
        until = self.cell.now + timedelta(seconds=1)
        upstream.start(token, order.task, order.run, until, self.cell.now)

    @rule(data=st.data())
    def silence(self, data):
        self.cell.silent.add(data.draw(st.sampled_from(sorted(self.cell.upstreams))))

    @rule()
    def hear_again(self):
        self.cell.silent.clear()

    @rule(data=st.data())
    def crash(self, data):
        name = data.draw(st.sampled_from(sorted(self.cell.upstreams)))
        self.crashes += 1
        # A fake upstream's address follows from its position, so that the next
        # incarnation must take the position of the crashed one.
        upstreams = {}
        for each, upstream in list(self.cell.upstreams.items()):
            if each != name:
                upstreams[each] = upstream
                continue
            upstream.crash()
            self.cell.silent.discard(each)
            self.add_upstream(3_000)
            added = self.cell.upstreams[f"u{self.next_upstream - 1}"]
            added.durations = upstream.durations
            upstreams[added.name] = added
        self.cell.upstreams = upstreams

    @rule(data=st.data(), heard=st.booleans())
    def restart(self, data, heard):
        """Start an upstream anew under its identity."""
        name = data.draw(st.sampled_from(sorted(self.cell.upstreams)))
        self.crashes += 1
        self.cell.hears_restarts = heard
        self.cell.restart_upstream(name)

    @rule()
    def change_leader(self):
        self.cell.take_over()

    @rule(data=st.data())
    def change_leader_and_lose_an_executor(self, data):
        name = data.draw(st.sampled_from(sorted(self.cell.upstreams)))
        self.cell.take_over(lost_executors={name})

    @rule(data=st.data())
    def change_executor(self, data):
        name = data.draw(st.sampled_from(sorted(self.cell.upstreams)))
        if name in self.cell.scheduler.cell_state.upstreams:
            self.cell.assign(name)

    @rule()
    def change_leader_without_a_commit(self):
        self.cell.store_is_up = False
        self.cell.run_for(timedelta(milliseconds=300))
        self.cell.take_over()
        self.cell.store_is_up = True

    @rule()
    def lose_store(self):
        self.cell.store_is_up = not self.cell.store_is_up

    @precondition(lambda self: self.cell.history.submissions)
    @rule(data=st.data())
    def cancel(self, data):
        job = data.draw(st.sampled_from(sorted(self.cell.history.submissions)))
        self.cell.scheduler.cancel_job(job, self.cell.now)

    @invariant()
    def nothing_is_violated(self):
        assert self.cell.history.violations == []

    @invariant()
    def completed_jobs_are_done(self):
        for job, submission in self.cell.history.submissions.items():
            if self.cell.read_state(job) is not JobState.COMPLETED:
                continue
            for number, step in enumerate(submission.steps):
                indexes = (0,) if step.gang else range(step.count)
                done = [TaskId(job, 0, number, index) for index in indexes]
                if step.gang:
                    done = [
                        TaskId(job, 0, number, index)
                        for index in range(step.count)
                        if TaskId(job, 0, number, index) in self.cell.history.done
                    ]
                    assert done
                for task in done:
                    assert task in self.cell.history.done, task

    def teardown(self):
        """Check that every job ends once all faults are over."""
        self.cell.silent.clear()
        self.cell.store_is_up = True
        self.lost_answers = self.held_orders = 0
        self.cell.held_orders.clear()
        self.cell.run_for(timedelta(seconds=80))
        assert self.cell.history.violations == []
        allowed = {JobState.COMPLETED, JobState.CANCELLED}
        if self.crashes >= MAX_FRESH_CRASHES:
            # A task under which that many upstreams have crashed is given up.
            allowed.add(JobState.FAILED)
        for job in self.cell.history.submissions:
            assert self.cell.read_state(job) in allowed, job


class SchedulerMachineTest(unittest.TestCase):
    def test_invariants_hold_under_random_faults(self):
        run_state_machine_as_test(
            SchedulerMachine,
            settings=settings(
                max_examples=120,
                stateful_step_count=25,
                deadline=None,
                phases=(Phase.explicit, Phase.generate),
                derandomize=True,
                suppress_health_check=list(HealthCheck),
            ),
        )


if __name__ == "__main__":
    unittest.main()
