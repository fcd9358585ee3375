"""Replays of the loads that admission control is for, each against a cell of 64 cores.

The bounds lie between the figures with and without the rule that a test guards.
"""

import unittest

import attrs

from almondspread.jobs.tests.cells import SECOND
from almondspread.jobs.tests.load_replay import LoadReplay, arrive, one_core
from almondspread.jobs.workspaces import Workspace
from almondspread.testing.cell_input import make_configuration

SMALL = (one_core(4, 0.5),)
LARGE = (one_core(16, 4.0),)
STAGED = (
    one_core(1, 0.3),
    one_core(24, 1.0, after=(0,)),
    one_core(4, 0.5, after=(1,)),
)
RETRIES = 4
# Tasks take 0.5 to 1.5 times their estimate.
SPREAD = 0.5


def replay(arrivals, until, **fields):
    fields = {"spread": SPREAD, "retries": RETRIES} | fields
    return LoadReplay(**fields).run(arrivals, until)


def compare(arrivals, until, **fields):
    """Return the replay without and the one with admission control."""
    admitting = replay(arrivals, until, admits_all=True, **fields)
    return admitting, replay(arrivals, until, **fields)


class QueueReplayTest(unittest.TestCase):
    def test_nothing_is_refused_while_the_cell_has_room(self):
        """Guards against refusals in calm: two thirds of the cell are in use."""
        load = arrive("small", 12, 0, 20, *SMALL) + arrive("large", 0.25, 0, 20, *LARGE)
        calm = replay(load, 40)
        self.assertEqual(calm.refused.total(), 0)
        self.assertGreater(calm.on_time["small"], 230)

    def test_burst_of_small_jobs(self):
        """Callers came back in the burst, and the jobs after it were late as well."""
        load = arrive("small", 20, 0, 20, *SMALL) + arrive("burst", 75, 5, 10, *SMALL)
        admitting, replayed = compare(load, 40)
        self.assertGreaterEqual(replayed.value.total(), 0.97 * admitting.value.total())
        late = 11 * SECOND
        refused = [item for at, item, _ in replayed.refusals if at > late]
        self.assertEqual([item for item in refused if not item.attempts], [])

    def test_burst_of_jobs_with_wide_later_steps(self):
        """Bursts were admitted by their narrow first steps, and all ended late."""
        load = arrive("staged", 4.7, 0, 40, *STAGED)
        admitting, replayed = compare(load, 60)
        self.assertGreater(replayed.value.total(), 2 * admitting.value.total())

    def test_burst_of_large_jobs(self):
        load = arrive("large", 0.5, 0, 40, *LARGE) + arrive("burst", 4, 5, 10, *LARGE)
        admitting, replayed = compare(load, 60)
        self.assertGreaterEqual(replayed.value.total(), admitting.value.total())
        self.assertGreater(replayed.refused["burst"], 0)

    def test_both_kinds_at_once(self):
        """Small jobs were refused for large ones, and large ones must not starve.

        Small jobs are placed first, so that large ones do not make them late.
        """
        load = arrive("small", 10, 0, 40, *SMALL) + arrive("large", 1.2, 5, 25, *LARGE)
        admitting, replayed = compare(load, 60)
        self.assertGreater(replayed.value["small"], 0.97 * admitting.value["small"])
        self.assertLess(replayed.refused["small"], 0.02 * replayed.arrived["small"])
        served = replayed.on_time + replayed.late
        share = served.total() / replayed.arrived.total()
        large_share = served["large"] / replayed.arrived["large"]
        self.assertGreaterEqual(large_share, 0.5 * share)

    def test_end_of_a_burst(self):
        """Guards against refusals that go on after the backlog has drained."""
        load = arrive("burst", 128, 0, 10, *SMALL) + arrive("after", 10, 20, 30, *SMALL)
        replayed = replay(load, 45, retries=0)
        self.assertGreater(replayed.refused["burst"], 100)
        self.assertEqual(replayed.refused["after"], 0)
        self.assertGreater(replayed.on_time["after"], 95)

    def test_change_of_the_leader_in_a_burst(self):
        """Without a leader nothing starts; with an old estimate nothing is refused."""
        load = arrive("large", 6, 0, 30, *LARGE)
        lost = {"leader_is_lost_from": 4 * SECOND, "leader_is_lost_until": 10 * SECOND}
        replayed = replay(load, 40, retries=0, **lost)
        during = [
            at for at, _, _ in replayed.refusals if 6.3 * SECOND < at < 10 * SECOND
        ]
        self.assertEqual(during, [])
        before = [at for at, _, _ in replayed.refusals if at < 4 * SECOND]
        after = [at for at, _, _ in replayed.refusals if at > 10.3 * SECOND]
        self.assertTrue(before and after)


class WorkspaceReplayTest(unittest.TestCase):
    def setUp(self):
        workspaces = {"greedy": Workspace("greedy", 4.0), "fair": Workspace("fair", 20)}
        self.configuration = attrs.evolve(make_configuration(), workspaces=workspaces)

    def compare(self, greedy_rate, fair_rate):
        greedy = arrive("greedy", greedy_rate, 5, 25, *SMALL, workspace="greedy")
        fair = arrive("fair", fair_rate, 0, 30, *SMALL, workspace="fair")
        return compare(greedy + fair, 50, configuration=self.configuration)

    def test_workspace_at_many_times_its_rate_is_refused_first(self):
        """A workspace at 15 times its rate made the jobs of all others late."""
        admitting, replayed = self.compare(60, 18)
        self.assertLess(admitting.on_time["fair"], 0.5 * admitting.arrived["fair"])
        self.assertGreater(replayed.on_time["fair"], 0.8 * replayed.arrived["fair"])
        self.assertLess(replayed.refused["fair"], 0.02 * replayed.arrived["fair"])
        # It still gets what its weight entitles it to: 80 jobs in 20 s.
        self.assertGreater(replayed.on_time["greedy"], 80)

    def test_surplus_is_not_refused_while_there_is_capacity(self):
        admitting, replayed = self.compare(12, 8)
        self.assertEqual(replayed.refused.total(), 0)
        self.assertEqual(replayed.value, admitting.value)

    def test_surplus_comes_back_later_than_others(self):
        _, replayed = self.compare(90, 30)
        waits = {"load": [], "surplus": []}
        for _, _, refusal in replayed.refusals:
            waits[str(refusal.reason)].append(refusal.problem.retry_after_seconds)
        means = {reason: sum(waits[reason]) / len(waits[reason]) for reason in waits}
        self.assertGreater(means["surplus"], 1.2 * means["load"])


if __name__ == "__main__":
    unittest.main()
