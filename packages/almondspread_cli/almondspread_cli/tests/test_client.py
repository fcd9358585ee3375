import json
import socket

from almondspread_cli.addresses import Target, make_path
from almondspread_cli.client import Call, Client
from almondspread_cli.failures import ExitCode
from almondspread_cli.tests.entries import (
    EntryTestCase,
    answer_json,
    answer_problem,
    cut,
)

TEAM = {
    "kind": "team",
    "metadata": {"name": "routes"},
    "cpu_millis": 1,
    "memory_mib": 1,
}
APPLIED = {
    "revision": 9,
    "items": [
        {"kind": "team", "name": "routes", "resource_version": 9, "outcome": "created"}
    ],
}
EMPTY = {"revision": 1, "next": None, "items": []}


class FailOverTest(EntryTestCase):
    async def apply(self, *entries):
        words = ("apply", "-f", "-")
        return await self.invoke(entries, *words, text=json.dumps(TEAM))

    async def test_a_read_goes_on_after_refused_and_cut_connections(self):
        cutting = self.start_entry(cut)
        good = self.start_entry(answer_json(EMPTY))
        entries = [self.reserve_address(), cutting, good]
        result = await self.invoke(entries, "get", "team")
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertEqual((len(cutting.asked), len(good.asked)), (1, 1))

    async def test_a_change_is_not_resent_after_a_cut(self):
        cutting = self.start_entry(cut)
        good = self.start_entry(answer_json(APPLIED))
        result = await self.apply(cutting, good)
        self.assertEqual(result.exit_code, 5)
        self.assertIn("remedy: read the resource", result.stderr)
        self.assertEqual((len(cutting.asked), len(good.asked)), (1, 0))

    async def test_a_change_is_sent_on_where_nothing_left(self):
        good = self.start_entry(answer_json(APPLIED))
        result = await self.apply(self.reserve_address(), good)
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertEqual(good.bodies()[0]["items"][0]["document"], TEAM)

    async def test_a_change_is_sent_on_only_when_it_was_surely_not_run(self):
        good = self.start_entry(answer_json(APPLIED))
        leaving = self.start_entry(answer_problem(503, "unavailable", not_run=True))
        unsure = self.start_entry(answer_problem(503, "unavailable"))
        self.assertEqual((await self.apply(unsure, good)).exit_code, 5)
        self.assertEqual(len(good.asked), 0)
        self.assertEqual((await self.apply(leaving, good)).exit_code, 0)
        self.assertEqual(len(good.asked), 1)

    async def test_a_lookup_is_resent_and_a_recalculation_is_not(self):
        cutting = self.start_entry(cut)
        good = self.start_entry(answer_json({"stop": 17}))
        entries = [cutting, good]
        result = await self.invoke(entries, "request", "routes", "lookup")
        self.assertEqual(json.loads(result.stdout), {"stop": 17})
        words = ("request", "routes", "recalculation", "--key", "k1", "--body", "x")
        result = await self.invoke(entries, *words)
        self.assertEqual(result.exit_code, 5)
        self.assertEqual(len(good.asked), 1)
        sent = cutting.asked[-1]
        self.assertEqual(sent.headers["Idempotency-Key"], "k1")
        self.assertEqual(sent.body, b"x")

    async def test_tokens_are_sent(self):
        entry = self.start_entry(answer_json(EMPTY))
        environment = {"ALMONDSPREAD_TOKEN": "t0ken"}
        await self.invoke([entry], "get", "team", environment=environment)
        self.assertEqual(entry.asked[0].headers["Authorization"], "Bearer t0ken")


class TimeoutTest(EntryTestCase):
    async def change_by(self, *entries):
        target = Target(entries, timeout_seconds=0.4, connect_timeout_seconds=0.2)
        async with Client(target) as client:
            call = Call("POST", make_path("apply"), b"{}", idempotent=False)
            return await client.call(call)

    def listen_mute(self):
        mute = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(mute.close)
        return f"127.0.0.1:{mute.getsockname()[1]}"

    async def test_a_timeout_before_the_request_is_sent_on(self):
        good = self.start_entry(answer_json(APPLIED))
        # The listener never takes part in the TLS handshake.
        mute = "https://" + self.listen_mute()
        answer = await self.change_by(mute, "http://" + good.address)
        self.assertTrue(answer.is_ok())

    async def test_a_timeout_after_the_request_is_an_unknown_outcome(self):
        good = self.start_entry(answer_json(APPLIED))
        mute = "http://" + self.listen_mute()
        answer = await self.change_by(mute, "http://" + good.address)
        self.assertEqual(answer.error.exit_code, ExitCode.UNKNOWN)
        self.assertEqual(good.asked, [])


class ExitCodeTest(EntryTestCase):
    async def test_problems(self):
        cases = [
            (answer_problem(404, "not_found", True), 3),
            (answer_problem(401, "unauthenticated", True), 3),
            (answer_problem(429, "overloaded", True, retry_after_seconds=2.0), 3),
            (answer_problem(503, "unavailable"), 4),
            (answer_problem(504, "outcome_unknown"), 5),
            (answer_problem(500, "bell\x07"), 1),
            (answer_json(["no", "problem"], 418), 3),
        ]
        for answer, exit_code in cases:
            entry = self.start_entry(answer)
            result = await self.invoke([entry], "answer", "routes", "k1")
            with self.subTest(exit_code=exit_code, output=result.output):
                self.assertEqual(result.exit_code, exit_code)
                self.assertIn("error: ", result.stderr)
                self.assertNotIn("\x07", result.stderr)
                self.assertIn("remedy: ", result.stderr)

    async def test_a_conflict_names_version_and_remedy(self):
        answer = answer_problem(409, "conflict", True, current_version=12)
        entry = self.start_entry(answer)
        words = ("apply", "-f", "-")
        result = await self.invoke([entry], *words, text=json.dumps(TEAM))
        self.assertEqual(result.exit_code, 3)
        expected = [
            "error: conflict: because of conflict",
            "current version: 12",
            "remedy: mend conflict",
        ]
        self.assertEqual(result.stderr.splitlines(), expected)

    async def test_wrong_usage_sends_nothing(self):
        entry = self.start_entry(answer_json({}))
        wrong = [
            ("apply", "-f", "/nonexistent.json"),
            ("apply", "-f", "-"),
            ("get", "pod"),
            ("cancel",),
            ("cancel", "batch/x", "--selector", "a=b"),
            ("cancel", "batch"),
            ("quota", "set", "routes"),
            ("config", "set", "colour=red"),
            ("config", "set", "quarantine_share=much"),
            ("request", "routes", "recalculation"),
            ("request", "routes", "lookup", "--key", "k1"),
            ("explain", "batch.colour"),
            ("--entry", "no address", "status"),
        ]
        for words in wrong:
            with self.subTest(words=words):
                text = '{"kind": "team", "metadata": {"name": "routes"}}'
                result = await self.invoke([entry], *words, text=text)
                self.assertEqual(result.exit_code, 2, result.output)
        self.assertEqual(entry.asked, [])
