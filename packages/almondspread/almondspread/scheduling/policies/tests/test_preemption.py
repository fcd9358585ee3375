import unittest
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from almondspread.clock import ManualClock
from almondspread.placement import Cell
from almondspread.resources.capacity import Capacity
from almondspread.scheduling.policies.preemption import choose_victims
from almondspread.scheduling.policies.running import RunningTask, RunningTasks

NOW = ManualClock().now()
tasks = st.lists(
    st.tuples(
        st.integers(0, 2),
        st.integers(1, 4),
        st.integers(1, 4),
        st.sampled_from([100, 500, 900, 950]),
        st.sampled_from(["batch", "gang", "service"]),
        st.integers(0, 90),
        st.booleans(),
    ),
    max_size=14,
)


def make_cell(drawn):
    cell = Cell()
    running = RunningTasks()
    for number in range(3):
        cell.add_worker(f"w{number}", "enna", "r", Capacity(8, 8))
    for number, (worker, cpu, memory, priority, kind, age, checkpointable) in enumerate(
        drawn
    ):
        size = Capacity(cpu, memory)
        name = f"w{worker}"
        if not cell.worker(name).has_room(size):
            continue
        cell.commit(name, f"g{number}", size)
        saved_at = NOW - timedelta(seconds=age)
        running.add(
            RunningTask(
                f"t{number}",
                f"g{number}",
                name,
                size,
                priority,
                kind,
                saved_at,
                checkpointable,
            )
        )
    return cell, running


class ChooseVictimsTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, database=None, max_examples=300)
    @given(
        tasks, st.integers(1, 9), st.integers(1, 9), st.sampled_from([899, 900, 960])
    )
    def test_chooses_few_of_lower_priority_whenever_it_can(
        self, drawn, cpu, memory, priority
    ):
        cell, running = make_cell(drawn)
        size = Capacity(cpu, memory)
        possible = False
        for worker in running.list_workers():
            room = cell.worker(worker).free
            for task in running.list_on(worker):
                room = room.plus(task.size) if task.priority < priority else room
            possible = possible or size.fits_in(room)
        victims = choose_victims(cell, running, size, priority, NOW)
        if victims is None:
            self.assertTrue(priority < 900 or not possible)
            return
        self.assertGreaterEqual(priority, 900)
        room = cell.worker(victims.worker).free
        for name in victims.tasks:
            task = running.find(name)
            self.assertEqual(task.worker, victims.worker)
            self.assertLess(task.priority, priority)
            room = room.plus(task.size)
        self.assertTrue(size.fits_in(room))
        for name in victims.tasks:
            self.assertFalse(size.fits_in(room.minus(running.find(name).size)))

    def choose(self, drawn, spared=()):
        cell, running = make_cell(drawn)
        return choose_victims(cell, running, Capacity(4, 4), 900, NOW, spared).tasks

    def test_loses_the_least_work(self):
        old = (0, 8, 8, 100, "batch", 90, False)
        young = (1, 8, 8, 100, "batch", 10, False)
        saved = (2, 8, 8, 100, "batch", 90, True)
        service = (2, 8, 8, 100, "service", 0, False)
        self.assertEqual(self.choose([old, young]), ("t1",))
        self.assertEqual(self.choose([old, young, saved]), ("t2",))
        self.assertEqual(self.choose([old, young, saved], {"t2"}), ("t1",))
        self.assertEqual(self.choose([old, service]), ("t0",))

    def test_spares_tasks_whose_capacity_is_not_needed(self):
        cheap = (0, 1, 1, 100, "batch", 1, False)
        costly = (0, 4, 4, 100, "batch", 90, False)
        urgent = (0, 3, 3, 900, "batch", 90, False)
        self.assertEqual(self.choose([cheap, costly, urgent]), ("t1",))

    def test_spares_excluded_workers(self):
        cell, running = make_cell([(0, 8, 8, 100, "batch", 9, False)])
        cell.exclude("w0", "draining")
        self.assertIsNone(choose_victims(cell, running, Capacity(4, 4), 900, NOW))
