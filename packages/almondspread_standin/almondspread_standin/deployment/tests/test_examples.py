import unittest
from pathlib import Path

from attrs import evolve

from almondspread.resources import BatchJob, Capacity, GangJob, Service, Team
from almondspread_standin.deployment import read_deployment, read_workloads

EXAMPLES = Path(__file__).resolve().parents[5] / "examples"
DOMAINS = {
    "norrland": ["umea", "lulea", "skelleftea"],
    "sicily": ["catania", "palermo", "enna"],
}
WORKERS = {"norrland": Capacity(16_000, 32_768), "sicily": Capacity(32_000, 65_536)}


class ExamplesTest(unittest.TestCase):
    def test_deployments_have_the_sizes_of_the_operators(self):
        for region, domains in DOMAINS.items():
            deployment = read_deployment(EXAMPLES / region / "deployment.json").ok
            with self.subTest(region=region):
                self.assertEqual(
                    [domain.name for domain in deployment.failure_domains], domains
                )
                whole = WORKERS[region].times(24)
                self.assertEqual(deployment.find_total_capacity(), whole)
                minions = [
                    (group.count, group.slots, group.connections)
                    for domain in deployment.failure_domains
                    for group in domain.minions
                ]
                self.assertEqual(minions, [(8, 8, 64)] * 3)
                entries = [entry.failure_domain for entry in deployment.entries]
                self.assertEqual([entries.count(name) for name in domains], [3, 3, 2])

    def test_workloads_fit_their_quotas_and_workers(self):
        for region, worker in WORKERS.items():
            resources = read_workloads(EXAMPLES / region / "workloads.json").ok
            quotas = {}
            for resource in resources:
                if isinstance(resource, Team):
                    quotas[resource.metadata.name] = resource.quota
            demand = dict.fromkeys(quotas, Capacity(0, 0))
            kinds = set()
            for resource in resources:
                kinds.add(type(resource))
                if not isinstance(resource, Service | BatchJob | GangJob):
                    continue
                team = resource.metadata.team
                size = resource.template.size
                with self.subTest(region=region, name=resource.metadata.name):
                    self.assertTrue(size.fits_in(worker))
                    demand[team] = demand[team].plus(size.times(resource.task_count))
            for team, quota in quotas.items():
                with self.subTest(region=region, team=team):
                    self.assertTrue(demand[team].fits_in(quota))
                    self.assertTrue(quota.fits_in(worker.times(24)))
            self.assertTrue({Service, BatchJob, GangJob} <= kinds)

    def test_contradictions_are_named(self):
        deployment = read_deployment(EXAMPLES / "norrland" / "deployment.json").ok
        twice = deployment.entries[0]
        conflicts = evolve(deployment, entries=(twice, twice)).find_conflicts()
        self.assertIn(f"the port {twice.http_port} is used twice", conflicts)


if __name__ == "__main__":
    unittest.main()
