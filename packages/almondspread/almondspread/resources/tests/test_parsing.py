import unittest

from almondspread.resources import describe_resource, parse_resource

TEMPLATE = {"cpu_millis": 500, "memory_mib": 256, "command": ["sleep", "1"]}


class ParseResourceTest(unittest.TestCase):
    def test_round_trip(self):
        document = {
            "kind": "service",
            "metadata": {"name": "monitors", "team": "routes"},
            "replicas": 3,
            "template": TEMPLATE,
        }
        kind, service = parse_resource(document).ok
        self.assertEqual(kind, "service")
        self.assertEqual(parse_resource(describe_resource(service)).ok[1], service)

    def test_refuses_what_is_wrong(self):
        job = {"kind": "batch", "metadata": {"name": "nightly"}, "template": TEMPLATE}
        wrong = [
            {**job, "tasks": -1},
            {**job, "tasks": 10**9},
            {**job, "tasks": True},
            {**job, "tasks": "4"},
            {**job, "tasks": 4, "colour": "red"},
            {**job, "tasks": 4, "metadata": {"name": "../up"}},
            {**job, "kind": "pod", "tasks": 4},
            {**job, "tasks": 4, "template": {**TEMPLATE, "memory_mib": 0}},
            [],
            None,
        ]
        for document in wrong:
            with self.subTest(document=document):
                problem = parse_resource(document).error
                self.assertEqual(problem.code, "invalid_input")
                self.assertTrue(problem.not_run)
                self.assertTrue(problem.remedy)
