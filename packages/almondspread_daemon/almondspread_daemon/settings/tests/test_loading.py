import copy
import json
import unittest
from datetime import timedelta

from jsonschema import Draft202012Validator

from almondspread_daemon.settings import (
    make_schema,
    parse_settings,
    structure_settings,
)

GOOD = {
    "name": "umea-1",
    "operator": "norrland",
    "failure_domain": "umea",
    "failure_domains": ["umea", "lulea"],
    "platform": {
        "table_url": "http://127.0.0.1:7000",
        "store_url": "http://127.0.0.1:7000",
        "instances_url": "http://[::1]:7000/list",
    },
}
HASH = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"


def make_document(**sections):
    document = copy.deepcopy(GOOD)
    document.update(sections)
    return document


def list_keys(document):
    return [fault.key for fault in structure_settings(document).error.faults]


class LoadingTest(unittest.TestCase):
    def test_defaults_and_durations(self):
        settings = structure_settings(make_document(log={"level": "debug"})).ok
        self.assertEqual(settings.log.level, "debug")
        self.assertEqual(settings.peer.heartbeat, timedelta(milliseconds=500))
        self.assertEqual(settings.failure_domains, ("umea", "lulea"))
        self.assertIsInstance(settings.requests.stop_bound_seconds, float)

    def test_names_all_wrong_keys_together(self):
        document = make_document(
            operator=7,
            region=None,
            colour="red",
            http={"listen": "localhost:80", "max_conections": 9, "key": "k.pem"},
            peer={
                "heartbeat_milliseconds": True,
                "listen": "10.0.0.1:9101",
                "seeds": ["127.0.0.1:9102", "lulea:9102"],
            },
            platform={"table_url": "http://table", "store_url": "http://127.0.0.1"},
            requests=[],
            tokens=[{"sha256": "hunter2-hunter2", "role": "root"}],
            log={"level": "loud"},
        )
        text = structure_settings(document).error.to_text()
        expected = [
            "operator",
            "region",
            "colour",
            "http.listen",
            "http.max_conections",
            "http.key",
            "peer.heartbeat_milliseconds",
            "peer.seeds[1]",
            "peer.listen",
            "platform.table_url",
            "platform.instances_url",
            "requests",
            "tokens[0].sha256",
            "tokens[0].role",
            "log.level",
        ]
        keys = [line.split(":")[0] for line in text.splitlines()]
        self.assertCountEqual(keys, expected)
        self.assertIn("nearest known key 'max_connections'", text)
        self.assertIn('"lulea:9102" is refused', text)
        self.assertNotIn("hunter2", text)

    def test_a_listener_without_credentials_is_for_loopback_only(self):
        secured = {"listen": "10.0.0.1:80", "certificate": "c.pem", "key": "k.pem"}
        tokens = [{"sha256": HASH, "role": "operator"}]
        cases = [
            (make_document(http={"listen": "0.0.0.0:80"}), ["http.listen"]),
            (make_document(http=secured), ["http.listen"]),
            (make_document(http={"listen": "[::]:80"}, tokens=tokens), ["http.listen"]),
            (make_document(peer=secured), ["peer.listen"]),
        ]
        for document, keys in cases:
            with self.subTest(document=document):
                self.assertEqual(list_keys(document), keys)
        peer = {**secured, "listen": "10.0.0.1:91", "authority": "ca.pem"}
        whole = make_document(http=secured, peer=peer, tokens=tokens)
        self.assertTrue(structure_settings(whole).is_ok())

    def test_rules_between_keys(self):
        cases = [
            ({"failure_domain": "kiruna"}, "failure_domain"),
            ({"failure_domains": ["umea", "umea"]}, "failure_domains"),
            ({"http": {"listen": "127.0.0.1:9101"}}, "peer.listen"),
            (
                {"peer": {"suspect_after_milliseconds": 300}},
                "peer.suspect_after_milliseconds",
            ),
            (
                {"scheduling": {"task_lease_seconds": 1}},
                "scheduling.task_lease_seconds",
            ),
            ({"tokens": [{"sha256": HASH, "role": "peer"}] * 2}, "tokens[1].sha256"),
        ]
        for sections, key in cases:
            with self.subTest(key=key):
                self.assertEqual(list_keys(make_document(**sections)), [key])

    def test_refuses_what_is_no_document(self):
        for text in ("", "[]", "null", '{"name": NaN}', '{"a": 1, "a": 2}', "[" * 9999):
            with self.subTest(text=text[:20]):
                problem = parse_settings(text).error
                self.assertEqual(problem.faults[0].key, "the file")


class SchemaTest(unittest.TestCase):
    def setUp(self):
        self.schema = make_schema()
        self.validator = Draft202012Validator(self.schema)

    def test_is_a_schema(self):
        Draft202012Validator.check_schema(self.schema)

    def test_agrees_with_the_loader(self):
        values = [None, True, -1, 0, 1, 2.5, 10**9, "", "x", "127.0.0.1:1", [], {}]
        for name, described in self.schema["properties"].items():
            for value in values:
                self._compare(make_document(**{name: value}))
            for key in described.get("properties", {}):
                for value in values:
                    section = dict(GOOD.get(name, {}))
                    self._compare(make_document(**{name: {**section, key: value}}))

    def _compare(self, document):
        problem = structure_settings(document)
        by_rule = 0
        if problem.is_error():
            # The rules between keys are beyond a schema.
            for fault in problem.error.faults:
                by_rule += "must differ" in fault.allowed
                by_rule += "go together" in fault.allowed
                by_rule += "at least" in fault.allowed
                by_rule += "one of failure_domains" in fault.allowed
        accepted = problem.is_ok() or by_rule == len(problem.error.faults)
        with self.subTest(document=json.dumps(document)):
            self.assertEqual(self.validator.is_valid(document), accepted)
