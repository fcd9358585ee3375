import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from almondspread.interfaces import Instance
from almondspread.resources import BatchJob, Capacity, GangJob, Metadata, TaskTemplate
from almondspread.scheduling import admit_workload, gather_capacities
from almondspread.scheduling.rules import CellRules, TeamRule
from almondspread.scheduling.tests.shards import Shard, make_desired

SIZES = st.builds(Capacity, st.integers(1, 4), st.integers(1, 4), st.integers(0, 2))


def make_job(size, kind=BatchJob, tasks=1):
    template = TaskTemplate(size.cpu_millis, size.memory_mib, size.accelerators)
    return kind(Metadata("j", "t"), tasks, template)


def make_cell(*capacities):
    workers = []
    for number, capacity in enumerate(capacities):
        workers.append(Instance(f"w{number}", "worker", "", "d", "r", False, capacity))
    return gather_capacities({"schedule/d/0": workers})


class AdmissionTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, database=None)
    @given(SIZES, st.sets(SIZES, min_size=1, max_size=4))
    def test_refused_just_when_no_empty_worker_has_room(self, size, capacities):
        fits = any(size.fits_in(capacity) for capacity in capacities)
        admitted = admit_workload(make_job(size), make_cell(*capacities), None)
        self.assertEqual(admitted.is_ok(), fits)

    def test_an_unknown_cell_rejects_nothing(self):
        self.assertTrue(
            admit_workload(make_job(Capacity(9, 9)), make_cell(), None).is_ok()
        )

    def test_a_gang_must_fit_the_quota_as_a_whole(self):
        quota = Capacity(3, 3)
        cell = make_cell(Capacity(4, 4))
        size = Capacity(1, 1)
        self.assertTrue(admit_workload(make_job(size, tasks=9), cell, quota).is_ok())
        gang = make_job(size, GangJob, 4)
        problem = admit_workload(gang, cell, quota).error
        self.assertEqual(problem.http_status, 400)
        self.assertIn("quota of team t", problem.message)

    def test_leaving_workers_do_not_count(self):
        instances = []
        for number, leaving in enumerate((False, True)):
            capacity = Capacity(number + 1, 1)
            instances.append(
                Instance(f"w{number}", "worker", "", "d", "r", leaving, capacity)
            )
        cell = gather_capacities({"schedule/d/0": instances})
        self.assertEqual(cell.distinct, {Capacity(1, 1)})
        self.assertEqual(cell.by_shard, {"schedule/d/0": (Capacity(1, 1),)})

    def test_a_gang_must_fit_one_shard(self):
        workers = [
            Instance(f"w{n}", "worker", "", "d", "r", False, Capacity(4, 4))
            for n in range(3)
        ]
        cell = gather_capacities({"a": workers[:1], "b": workers[1:]})
        size = Capacity(2, 1)
        self.assertTrue(admit_workload(make_job(size, GangJob, 4), cell, None).is_ok())
        problem = admit_workload(make_job(size, GangJob, 5), cell, None).error
        self.assertIn("no shard holds 5", problem.message)


class ImpossibleTest(unittest.TestCase):
    def describe(self, shard):
        state = shard.state.workloads["batch/b:1"]
        return shard.scheduler.describe_workload(state)

    def test_a_change_of_the_cell_makes_work_impossible_and_possible(self):
        shard = Shard()
        shard.scheduler.set_capacities(make_cell(Capacity(9_000, 9_000)))
        shard.declare(make_desired("batch", "b", 1, Capacity(8_000, 512)))
        shard.decide()
        report = self.describe(shard)
        self.assertFalse(report["impossible"])
        self.assertEqual(
            report["message"],
            "1 tasks wait: 0 of 3 workers fit: 3 too little processor",
        )
        shard.state.unreported_workloads.clear()
        shard.scheduler.set_capacities(make_cell(Capacity(4_000, 4_096)))
        self.assertEqual(shard.state.unreported_workloads, {"batch/b:1"})
        report = self.describe(shard)
        self.assertTrue(report["impossible"])
        self.assertIn("8000 cpu_millis fits no worker", report["message"])
        shard.scheduler.set_capacities(make_cell(Capacity(9_000, 9_000)))
        self.assertFalse(self.describe(shard)["impossible"])

    def test_a_lowered_quota_makes_work_impossible(self):
        shard = Shard(workers=0)
        shard.declare(make_desired("batch", "b", 1, team="t"))
        shard.decide()
        rule = TeamRule(Capacity(500, 512), 1.0, 1)
        shard.scheduler.set_rules(CellRules(teams={"t": rule}))
        self.assertTrue(self.describe(shard)["impossible"])

    def test_changed_counts_alone_are_not_reported_again(self):
        shard = Shard(workers=2)
        shard.declare(make_desired("batch", "b", 9))
        shard.decide()
        shard.state.unreported_workloads.clear()
        attempt = shard.list_attempts()[0]
        shard.declare(make_desired("batch", "c", 1, priority=800))
        shard.report_end(attempt)
        shard.state.unreported_workloads.clear()
        shard.decide()
        self.assertEqual(shard.state.unreported_workloads, {"batch/c:1"})


if __name__ == "__main__":
    unittest.main()
