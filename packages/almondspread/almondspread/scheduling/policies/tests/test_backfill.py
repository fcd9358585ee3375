import unittest
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from almondspread.clock import ManualClock
from almondspread.placement import Cell
from almondspread.resources.capacity import Capacity
from almondspread.scheduling.policies.backfill import (
    INITIAL_RESERVATION_DURATION,
    REPLAN_INTERVAL,
    STARVED_PRIORITY,
    ReservationTable,
)
from almondspread.scheduling.policies.ordering import (
    STARVATION_LIMIT,
    WaitingQueue,
    WaitingWorkload,
)
from almondspread.scheduling.policies.quotas import TeamQuotas
from almondspread.scheduling.policies.reservations import Reservation, plan_reservation
from almondspread.scheduling.policies.running import RunningTask, RunningTasks
from almondspread.scheduling.policies.scheduling_pass import (
    Deferral,
    Eviction,
    PassState,
    cancel_workload,
    schedule_waiting,
)

NOW = ManualClock().now()
WORKERS = 3
CAPACITY = Capacity(8, 8)


def make_gang(size, name="gang", priority=100):
    submitted = NOW - timedelta(minutes=1)
    return WaitingWorkload(name, "t", priority, size, submitted, gang=True)


def run_until_gang_starts(running_sizes, gang_size, gang_tasks, backfill):
    """Return how many running tasks end before the gang starts, ``None`` if never."""
    cell = Cell()
    for number in range(WORKERS):
        cell.add_worker(f"w{number}", "enna", "r", CAPACITY)
    quotas = TeamQuotas(CAPACITY.times(WORKERS))
    state = PassState(cell, quotas, WaitingQueue(), "packing")
    for number, (worker, cpu, memory) in enumerate(running_sizes):
        size = Capacity(cpu, memory)
        name = f"w{worker}"
        if not cell.worker(name).has_room(size):
            continue
        cell.commit(name, "old", size)
        end = NOW + timedelta(minutes=5, seconds=number)
        state.running.add(
            RunningTask(
                f"old{number}", "old", name, size, 100, "batch", NOW, False, end
            )
        )
        quotas.restore("t", size)
    gang = make_gang(gang_size)
    state.queue.add(gang, [f"g{task}" for task in range(gang_tasks)])
    for step in range(len(running_sizes) + 1):
        now = NOW + timedelta(seconds=step)
        fitting = count_fitting(cell, state, gang_size)
        if run_passes(state, now):
            return step
        if not backfill and fitting >= gang_tasks:
            raise AssertionError("the gang fits but does not start")
        if step == 0:
            add_backfill(state.queue, backfill)
        end_task(state, f"old{step}")
    return None


def run_passes(state, now):
    """Run passes until no task is stopped; return whether the gang started."""
    stopped = None
    while stopped is None or stopped:
        stopped = []
        for decision in schedule_waiting(state, now):
            if isinstance(decision, Eviction):
                stopped.extend(decision.tasks)
            if not isinstance(decision, tuple):
                continue
            if decision[0].workload == "gang":
                return True
            for placed in decision:
                state.running.add(
                    RunningTask(
                        placed.task,
                        placed.workload,
                        placed.worker,
                        placed.size,
                        100,
                        "batch",
                        now,
                    )
                )
        for task in stopped:
            end_task(state, task)
    return False


def end_task(state, name):
    """Release the capacity of a task, if it runs."""
    ended = state.running.find(name)
    if ended is None:
        return
    state.cell.release(ended.worker, ended.workload, ended.size)
    state.running.remove(name)


def count_fitting(cell, state, size):
    """Return how many tasks fit beside the running ones, ignoring reservations."""
    fitting = 0
    for worker in cell.iterate_workers():
        free = worker.capacity
        for task in state.running.list_on(worker.name):
            free = free.minus(task.size)
        fitting += min(
            free.cpu_millis // size.cpu_millis, free.memory_mib // size.memory_mib
        )
    return fitting


def add_backfill(queue, drawn):
    """Add workloads that are ordered before the gang and never end by themselves."""
    for number, (cpu, memory, checkpointable) in enumerate(drawn):
        workload = WaitingWorkload(
            f"fill{number}",
            "u",
            100,
            Capacity(cpu, memory),
            NOW - timedelta(minutes=2),
            checkpointable=checkpointable,
        )
        queue.add(workload, [f"fill{number}-{task}" for task in range(6)])


small = st.integers(1, 4)


class BackfillTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, database=None, max_examples=300)
    @given(
        st.lists(st.tuples(st.integers(0, WORKERS - 1), small, small), max_size=9),
        st.builds(Capacity, st.integers(2, 6), st.integers(2, 6)),
        st.integers(1, 6),
        st.lists(st.tuples(small, small, st.booleans()), min_size=1, max_size=4),
    )
    def test_never_delays_a_gang(self, running, size, tasks, backfill):
        alone = run_until_gang_starts(running, size, tasks, [])
        beside = run_until_gang_starts(running, size, tasks, backfill)
        self.assertEqual(beside, alone)

    def test_other_work_starts_beside_a_reservation(self):
        cell = Cell()
        for number in range(2):
            cell.add_worker(f"w{number}", "enna", "r", CAPACITY)
        state = PassState(
            cell, TeamQuotas(CAPACITY.times(2)), WaitingQueue(), "packing"
        )
        cell.commit("w0", "old", Capacity(6, 2))
        end = NOW + timedelta(seconds=9)
        state.running.add(
            RunningTask(
                "old", "old", "w0", Capacity(6, 2), 100, "batch", NOW, False, end
            )
        )
        state.queue.add(make_gang(Capacity(6, 6)), ["g0", "g1"])
        late = WaitingWorkload("late", "t", 100, Capacity(2, 2), NOW)
        state.queue.add(late, ["late0", "late1"])
        decisions = list(schedule_waiting(state, NOW))
        self.assertIsInstance(decisions[0], Deferral)
        self.assertEqual([(p.task, p.worker) for p in decisions[1]], [("late0", "w1")])
        self.assertIsInstance(decisions[2], Deferral)
        cancel_workload(state, "gang")
        self.assertEqual(cell.worker("w0").committed, Capacity(6, 2))
        self.assertEqual(len(state.queue), 1)

    def test_borrower_is_evicted_when_the_gang_waits_for_nothing_else(self):
        cell = Cell()
        for number in range(2):
            cell.add_worker(f"w{number}", "enna", "r", CAPACITY)
        lengths = {"short": timedelta(minutes=1), "long": timedelta(minutes=20)}
        state = PassState(
            cell,
            TeamQuotas(CAPACITY.times(2)),
            WaitingQueue(),
            "packing",
            estimate_max_run_time=lambda workload: lengths.get(workload.name),
        )
        cell.commit("w0", "old", CAPACITY)
        end = NOW + timedelta(minutes=5)
        state.running.add(
            RunningTask("old", "old", "w0", CAPACITY, 100, "batch", NOW, False, end)
        )
        state.queue.add(make_gang(CAPACITY), ["g0", "g1"])
        list(schedule_waiting(state, NOW))
        for name in ("long", "unknown", "short"):
            work = WaitingWorkload(name, "t", 100, Capacity(8, 1), NOW)
            state.queue.add(work, [f"{name}0"])
        placed = []
        for decision in schedule_waiting(state, NOW):
            if isinstance(decision, tuple):
                placed.extend(decision)
        self.assertEqual([(p.task, p.worker) for p in placed], [("short0", "w1")])
        state.running.add(
            RunningTask(
                "short0", "short", "w1", Capacity(8, 1), 100, "batch", NOW, False, end
            )
        )
        later = NOW + timedelta(seconds=10)
        end_task(state, "old")
        again = WaitingWorkload("short", "t", 100, Capacity(8, 1), NOW)
        state.queue.add(again, ["short1"])
        first, *others = list(schedule_waiting(state, later))
        self.assertEqual(first, Eviction(("short0",)))
        self.assertEqual({type(decision) for decision in others}, {Deferral})
        end_task(state, "short0")
        self.assertEqual(len(next(schedule_waiting(state, later))), 2)

    def make_reserved_cell(self):
        cell = Cell()
        cell.add_worker("w0", "enna", "r", CAPACITY)
        state = PassState(cell, TeamQuotas(CAPACITY), WaitingQueue(), "packing")
        size = Capacity(2, 2)
        cell.commit("w0", "old", size)
        end = NOW + timedelta(seconds=9)
        state.running.add(
            RunningTask("old", "old", "w0", size, 100, "batch", NOW, False, end)
        )
        state.queue.add(make_gang(CAPACITY), ["g0"])
        list(schedule_waiting(state, NOW))
        self.assertEqual(cell.worker("w0").committed, CAPACITY)
        for name, priority in (("low", 100), ("high", 500)):
            early = NOW - timedelta(minutes=2)
            work = WaitingWorkload(name, "u", priority, size, early)
            state.queue.add(work, [f"{name}0"])
        return cell, state

    def test_higher_priority_takes_reserved_capacity_and_it_is_filled_again(self):
        cell, state = self.make_reserved_cell()
        decisions = list(schedule_waiting(state, NOW))
        self.assertEqual(decisions[0][0].task, "high0")
        self.assertEqual([type(decision) for decision in decisions[1:]], [Deferral] * 2)
        self.assertEqual(cell.worker("w0").committed, CAPACITY)

    def test_only_urgent_work_takes_the_capacity_of_a_starved_gang(self):
        _, state = self.make_reserved_cell()
        state.reservations.mark_starved("gang")
        decisions = list(schedule_waiting(state, NOW))
        self.assertEqual([type(decision) for decision in decisions], [Deferral] * 3)
        later = NOW + STARVATION_LIMIT
        state.reservations.remove_reservation(state.cell, "gang")
        for name in ("low", "high"):
            state.queue.remove_workload(name)
        list(schedule_waiting(state, later))
        list(schedule_waiting(state, later))
        self.assertEqual(state.reservations.find("gang").priority, STARVED_PRIORITY)

    def test_gang_over_its_quota_reserves_nothing(self):
        cell, state = self.make_reserved_cell()
        state.quotas.set_team("t", Capacity(1, 1), 1.0)
        list(schedule_waiting(state, NOW))
        self.assertEqual(len(state.reservations), 0)
        self.assertEqual(cell.worker("w0").committed, Capacity(6, 6))

    def test_reservation_expires_and_the_next_lasts_longer(self):
        cell = Cell()
        cell.add_worker("w0", "enna", "r", CAPACITY)
        cell.commit("w0", "old", Capacity(2, 2))
        running = RunningTasks()
        gang = make_gang(CAPACITY)
        reservations = ReservationTable()
        before = NOW - REPLAN_INTERVAL
        self.assertIsNone(reservations.add_reservation(cell, running, gang, 1, before))
        end = NOW + timedelta(seconds=9)
        running.add(
            RunningTask(
                "old", "old", "w0", Capacity(2, 2), 100, "batch", NOW, False, end
            )
        )
        self.assertIsNotNone(reservations.add_reservation(cell, running, gang, 1, NOW))
        later = NOW + INITIAL_RESERVATION_DURATION
        reservations.refresh(cell, running, later)
        self.assertEqual(len(reservations), 0)
        self.assertEqual(cell.worker("w0").committed, Capacity(2, 2))
        self.assertIsNone(reservations.add_reservation(cell, running, gang, 1, later))
        later += REPLAN_INTERVAL
        reservation = reservations.add_reservation(cell, running, gang, 1, later)
        self.assertEqual(
            reservation.expires_at, later + 2 * INITIAL_RESERVATION_DURATION
        )

    def test_plan_uses_the_capacity_that_is_free_first(self):
        cell = Cell()
        running = RunningTasks()
        for number, seconds in ((0, 30), (1, 10), (2, 20)):
            name = f"w{number}"
            cell.add_worker(name, "enna", "r", CAPACITY)
            cell.commit(name, "old", CAPACITY)
            end = NOW + timedelta(seconds=seconds)
            running.add(
                RunningTask(
                    f"t{number}", "old", name, CAPACITY, 1, "batch", NOW, False, end
                )
            )
        plan = plan_reservation(cell, running, Capacity(4, 4), 3, NOW)
        self.assertEqual(plan.tasks_per_worker, {"w1": 2, "w2": 1})
        self.assertEqual(plan.expected_start, NOW + timedelta(seconds=20))
        self.assertIsNone(plan_reservation(cell, running, Capacity(4, 4), 7, NOW))
        other = Reservation("other", 1, CAPACITY, plan, NOW, NOW)
        beside = plan_reservation(cell, running, Capacity(4, 4), 2, NOW, (), [other])
        self.assertEqual(beside.tasks_per_worker, {"w0": 2})
