import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from almondspread.resources import Capacity
from almondspread.scheduling import ShardState
from almondspread.scheduling.events import AttemptBound, WorkloadRemoved
from almondspread.scheduling.tests.shards import Shard, make_desired, recount

NAMES = ("a", "b", "c")
STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.just("declare"),
            st.sampled_from(NAMES),
            st.sampled_from(("service", "batch", "gang")),
            st.integers(1, 5),
        ),
        st.tuples(st.just("cancel"), st.sampled_from(NAMES)),
        st.tuples(st.just("decide"), st.integers(1, 5)),
        st.tuples(st.just("run")),
        st.tuples(st.just("stop")),
        st.tuples(
            st.just("end"),
            st.integers(0, 20),
            st.sampled_from(("finished", "failed", "stopped", "lapsed")),
        ),
        st.tuples(st.just("takeover")),
    ),
    max_size=40,
)


class Follower:
    """Runs random steps on a shard; a name keeps the kind it was first declared as."""

    def __init__(self):
        self.shard = Shard()
        self.kinds = {}

    def declare(self, name, kind, tasks):
        kind = self.kinds.setdefault(name, kind)
        desired = (
            make_desired(kind, name, tasks, attempts=2)
            if kind != "service"
            else (make_desired(kind, name, tasks))
        )
        known = self.shard.state.workloads.get(desired.workload)
        if known is None or not known.removed:
            self.shard.declare(desired)

    def cancel(self, name):
        kind = self.kinds.get(name, "batch")
        self.shard.scheduler.cancel_workload(f"{kind}/{name}:1")

    def decide(self, limit):
        self.shard.decide(limit)

    def run(self):
        self.shard.report_running()

    def stop(self):
        self.shard.report_stops()

    def end(self, place, outcome):
        attempts = self.shard.list_attempts()
        if place < len(attempts):
            self.shard.report_end(attempts[place], outcome)

    def takeover(self):
        state = ShardState.decode(self.shard.state.encode())
        self.shard = Shard(state=state)


class DifferentialTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, database=None, max_examples=150)
    @given(STEPS)
    def test_kept_counts_equal_a_scan(self, steps):
        follower = Follower()
        for name, *arguments in steps:
            getattr(follower, name)(*arguments)
            self.check_counts(follower.shard)
            self.check_capacity(follower.shard)

    def check_counts(self, shard):
        for state in shard.state.workloads.values():
            counts, running, attempts, waiting = recount(state)
            self.assertEqual(state.phase_counts, counts)
            self.assertEqual(
                (state.running_count, state.attempt_count), (running, attempts)
            )
            self.assertEqual({*state.ready, *state.delayed}, waiting)

    def check_capacity(self, shard):
        for worker in shard.workers:
            used = Capacity(0, 0, 0)
            for attempt in shard.state.list_attempts(worker.name):
                used = used.plus(attempt.size)
            self.assertTrue(used.fits_in(worker.capacity))
            self.assertEqual(shard.scheduler.cell.worker(worker.name).committed, used)

    @settings(derandomize=True, deadline=None, database=None, max_examples=150)
    @given(
        st.lists(
            st.tuples(st.integers(1, 9), st.integers(0, 3), st.integers(1, 5)),
            max_size=8,
        ),
        st.lists(st.integers(0, 11), max_size=12),
        st.integers(1, 4),
    )
    def test_passes_leave_no_task_that_fits(self, jobs, ends, limit):
        shard = Shard()
        for number, (tasks, priority, size) in enumerate(jobs):
            amounts = Capacity(400 * size, 256)
            name = f"j{number}"
            shard.declare(
                make_desired("batch", name, tasks, amounts, priority=priority)
            )
        self.settle(shard, limit)
        for place in ends:
            attempts = shard.list_attempts()
            if place < len(attempts):
                shard.report_end(attempts[place])
            self.settle(shard, limit)

    def settle(self, shard, limit):
        while shard.scheduler.place(limit):
            pass
        for state in shard.state.workloads.values():
            for worker in shard.workers if state.ready else ():
                free = shard.scheduler.cell.worker(worker.name).free
                self.assertFalse(state.resource.template.size.fits_in(free))


class CancellationTest(unittest.TestCase):
    def test_many_cancellations_do_not_delay_placement(self):
        shard = Shard()
        for number in range(300):
            shard.declare(make_desired("batch", f"old{number}", 20, Capacity(4_001, 1)))
        shard.decide()
        for number in range(300):
            shard.scheduler.cancel_workload(f"batch/old{number}:1")
        shard.declare(make_desired("batch", "new", 3))
        first = shard.decide()
        kinds = [type(event) for event in first]
        self.assertEqual(kinds.count(AttemptBound), 3)
        self.assertLess(kinds.count(WorkloadRemoved), 110)
        for _ in range(8):
            shard.decide()
        self.assertEqual(list(shard.state.workloads), ["batch/new:1"])

    def test_cancelled_workload_is_not_placed(self):
        shard = Shard()
        shard.declare(make_desired("batch", "a", 2))
        shard.scheduler.place(0)
        shard.scheduler.cancel_workload("batch/a:1")
        shard.scheduler.place(10)
        self.assertEqual(shard.list_attempts(), [])

    def test_pass_without_changes_records_no_event(self):
        shard = Shard()
        shard.declare(make_desired("batch", "a", 20))
        shard.decide()
        self.assertEqual(len(shard.list_attempts()), 12)
        self.assertEqual(shard.decide(), [])
        reason = shard.scheduler.explain_waiting("batch/a:1")
        self.assertEqual(reason.to_text(), "0 of 3 workers fit: 3 too little processor")


class GangTest(unittest.TestCase):
    def test_gang_starts_as_a_whole_or_not_at_all(self):
        shard = Shard()
        shard.declare(make_desired("gang", "g", 13))
        shard.decide()
        self.assertEqual(shard.list_attempts(), [])
        shard.declare(make_desired("gang", "h", 12))
        shard.decide()
        self.assertEqual(len(shard.list_attempts()), 12)


if __name__ == "__main__":
    unittest.main()
