import unittest

from almondspread.placement import (
    Cell,
    DuplicateWorker,
    OverCapacity,
    PlacementError,
    TaskRequest,
    UnknownCommitment,
    UnknownWorker,
    choose_gang,
    choose_worker,
    explain_infeasible,
)
from almondspread.resources.capacity import Capacity

SMALL = Capacity(1000, 1024)


def make_cell(count=4, capacity=None):
    cell = Cell()
    for number in range(count):
        domain = ("catania", "enna")[number % 2]
        rack = f"r{number // 2 % 2}"
        cell.add_worker(f"w{number}", domain, rack, capacity or Capacity(4000, 8192))
    return cell


class CellTest(unittest.TestCase):
    def test_refuses_what_exceeds_capacity(self):
        cell = make_cell(1)
        cell.commit("w0", "a", Capacity(4000, 1024))
        for size in (Capacity(1, 1), Capacity(0, 8000), Capacity(0, 0, 1)):
            with self.assertRaises(OverCapacity):
                cell.commit("w0", "a", size)
        self.assertEqual(cell.worker("w0").committed, Capacity(4000, 1024))

    def test_refuses_invalid_changes(self):
        cell = make_cell(1)
        with self.assertRaises(DuplicateWorker):
            cell.add_worker("w0", "enna", "r0", SMALL)
        with self.assertRaises(UnknownWorker):
            cell.commit("w9", "a", SMALL)
        with self.assertRaises(UnknownCommitment):
            cell.release("w0", "a", SMALL)
        with self.assertRaises(PlacementError):
            cell.exclude("w0", "ugly")

    def test_excluded_worker_takes_no_task(self):
        cell = make_cell(2)
        cell.exclude("w0", "draining")
        cell.exclude("w0", "quarantined")
        cell.commit("w0", "a", SMALL)
        self.assertEqual(
            choose_worker(cell, TaskRequest("a", SMALL), "packing").ok, "w1"
        )
        cell.exclude("w1", "unreachable")
        failure = choose_worker(cell, TaskRequest("a", SMALL), "packing").error
        self.assertEqual(
            failure.to_text(), "0 of 2 workers fit: 1 quarantined, 1 unreachable"
        )
        cell.include("w0")
        self.assertEqual(
            choose_worker(cell, TaskRequest("a", SMALL), "waiting").ok, "w0"
        )

    def test_removed_worker_is_no_longer_counted(self):
        cell = make_cell(2)
        cell.commit("w0", "a", SMALL)
        cell.exclude("w0", "leaving")
        cell.remove_worker("w0")
        self.assertEqual(cell.count_exclusions(), ())
        self.assertEqual(cell.get_group_counts("a", "rack"), {})
        self.assertEqual(cell.count_locations("failure_domain"), 1)


class ChoiceTest(unittest.TestCase):
    def test_policies_fill_or_spread(self):
        cell = make_cell(2)
        cell.commit("w1", "a", SMALL)
        request = TaskRequest("b", SMALL)
        self.assertEqual(choose_worker(cell, request, "packing").ok, "w1")
        self.assertEqual(choose_worker(cell, request, "waiting").ok, "w0")

    def test_accelerators_are_kept_for_tasks_that_need_them(self):
        cell = make_cell(1)
        cell.add_worker("g", "enna", "r0", Capacity(64000, 65536, 4))
        for policy in ("packing", "waiting"):
            cpu_only = TaskRequest("a", SMALL)
            self.assertEqual(choose_worker(cell, cpu_only, policy).ok, "w0")
            request = TaskRequest("a", Capacity(1000, 1024, 1))
            self.assertEqual(choose_worker(cell, request, policy).ok, "g")

    def test_replicas_go_to_distinct_locations(self):
        for spread, location_count in (("rack", 4), ("failure_domain", 2)):
            cell = make_cell(8)
            request = TaskRequest("s", SMALL, spread)
            used = set()
            for _ in range(location_count):
                name = choose_worker(cell, request, "packing").ok
                used.add(cell.get_location(name, spread))
                cell.commit(name, "s", SMALL)
            self.assertEqual(len(used), location_count)

    def test_gang_is_placed_whole_or_not(self):
        cell = make_cell(2)
        requests = [TaskRequest("g", Capacity(2000, 1024))] * 5
        failure = choose_gang(cell, requests, "packing").error
        self.assertEqual((failure.tasks, failure.placeable), (5, 4))
        self.assertEqual(cell.worker("w0").committed, Capacity(0, 0))
        chosen = choose_gang(cell, requests[:4], "packing").ok
        self.assertEqual(sorted(chosen), ["w0", "w0", "w1", "w1"])
        self.assertEqual(cell.worker("w1").committed, Capacity(0, 0))

    def test_infeasible_task_names_the_shortage(self):
        cell = make_cell(2)
        cell.commit("w0", "a", Capacity(4000, 8192))
        self.assertIsNone(explain_infeasible(cell, TaskRequest("a", Capacity(4000, 1))))
        failure = explain_infeasible(cell, TaskRequest("a", Capacity(9000, 1, 1)))
        self.assertEqual(
            failure.to_text(),
            "0 of 2 workers fit: 2 too little processor, 2 too few accelerators",
        )
        self.assertIsNone(explain_infeasible(Cell(), TaskRequest("a", SMALL)))
