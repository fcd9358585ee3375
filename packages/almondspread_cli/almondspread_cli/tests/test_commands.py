import json

from almondspread_cli.tests.entries import (
    EntryTestCase,
    answer_in_turn,
    answer_json,
    answer_problem,
)

CONFLICT = answer_problem(409, "conflict", True, current_version=5)


def make_worker(version, **fields):
    document = {"kind": "worker", "metadata": {"name": "w1"}, **fields}
    return {"kind": "worker", "name": "w1", "resource_version": version} | {
        "document": document,
        "status": None,
    }


def make_applied(kind, name, version):
    item = {"kind": kind, "name": name, "resource_version": version}
    return answer_json({"revision": version, "items": [{**item, "outcome": "changed"}]})


class ChangeTest(EntryTestCase):
    async def test_drain_is_made_again_on_the_version_that_won(self):
        labels = {"name": "w1", "labels": {"rack": "r1"}}
        entry = self.start_entry(
            answer_in_turn(
                answer_json(make_worker(4)),
                CONFLICT,
                answer_json(make_worker(5, metadata=labels)),
                make_applied("worker", "w1", 6),
            )
        )
        result = await self.invoke([entry], "drain", "w1")
        self.assertEqual(result.exit_code, 0, result.output)
        first, second = (body["items"][0] for body in entry.bodies())
        self.assertEqual(first["resource_version"], 4)
        self.assertEqual(second["resource_version"], 5)
        self.assertEqual(second["document"]["metadata"], labels)
        self.assertTrue(second["document"]["drain"])

    async def test_an_edit_that_keeps_losing_is_refused(self):
        answers = (answer_json(make_worker(4)), CONFLICT) * 3
        entry = self.start_entry(answer_in_turn(*answers))
        result = await self.invoke([entry], "undrain", "w1")
        self.assertEqual(result.exit_code, 3)
        self.assertEqual(len(entry.asked), 6)

    async def test_a_new_quota_must_not_exist_yet(self):
        missing = answer_problem(404, "not_found", True)
        made = make_applied("team", "routes", 1)
        entry = self.start_entry(answer_in_turn(missing, made))
        words = ("quota", "set", "routes", "--cpu-millis", "5", "--memory-mib", "6")
        result = await self.invoke([entry], *words)
        self.assertEqual(result.exit_code, 0, result.output)
        (item,) = entry.bodies()[0]["items"]
        self.assertEqual(item["resource_version"], 0)
        self.assertEqual(item["document"]["memory_mib"], 6)

    async def test_what_get_printed_is_applied_on_its_version(self):
        listed = {"revision": 9, "next": None, "items": [make_worker(4, drain=True)]}
        entry = self.start_entry(
            answer_in_turn(answer_json(listed), make_applied("worker", "w1", 4))
        )
        printed = await self.invoke([entry], "get", "worker", "-o", "json")
        result = await self.invoke([entry], "apply", "-f", "-", text=printed.stdout)
        self.assertEqual(result.stdout, "worker/w1 changed\n")
        (item,) = entry.bodies()[0]["items"]
        self.assertEqual(item["resource_version"], 4)
        self.assertTrue(item["document"]["drain"])

    async def test_a_dry_run_says_so(self):
        entry = self.start_entry(make_applied("worker", "w1", 4))
        text = json.dumps(make_worker(4)["document"])
        words = ("apply", "--dry-run", "--wait", "-f", "-")
        result = await self.invoke([entry], *words, text=text)
        self.assertEqual(result.stdout, "worker/w1 changed (dry run)\n")
        self.assertTrue(entry.bodies()[0]["dry_run"])

    async def test_configuration_is_merged_and_waited_for(self):
        document = {
            "kind": "configuration",
            "metadata": {"name": "cell"},
            "values": {"a": "1"},
        }
        item = {"kind": "configuration", "name": "cell", "document": document}
        late = {"accepted_revision": 6, "in_force": ["u"], "not_in_force": {"l": "cut"}}
        done = {"accepted_revision": 6, "in_force": ["u", "l"], "not_in_force": {}}
        entry = self.start_entry(
            answer_in_turn(
                answer_json({**item, "resource_version": 5}),
                make_applied("configuration", "cell", 6),
                answer_json({**item, "resource_version": 6, "status": late}),
                answer_json({**item, "resource_version": 6, "status": done}),
            )
        )
        words = ("config", "set", "quarantine_share=0.2", "values.b=2", "--wait")
        result = await self.invoke([entry], *words)
        self.assertIn("in force everywhere", result.stdout, result.output)
        sent = entry.bodies()[0]["items"][0]["document"]
        self.assertEqual(sent["values"], {"a": "1", "b": "2"})
        self.assertEqual(sent["quarantine_share"], 0.2)
        shown = await self.invoke([entry], "config", "show")
        self.assertIn("accepted revision: 6", shown.stdout)


class ShowTest(EntryTestCase):
    async def test_lists_all_pages_with_the_selector(self):
        first = {"revision": 9, "next": "w1", "items": [make_worker(4)]}
        second = {"revision": 9, "next": None, "items": [make_worker(5, drain=True)]}
        entry = self.start_entry(
            answer_in_turn(answer_json(first), answer_json(second))
        )
        result = await self.invoke([entry], "get", "worker", "--selector", "a=b")
        self.assertEqual(
            [line.split() for line in result.stdout.splitlines()][1:],
            [
                ["w1", "-", "no", "4"],
                ["w1", "-", "yes", "5"],
            ],
        )
        arguments = [request.arguments for request in entry.asked]
        self.assertEqual(arguments[0]["selector"], [b"a=b"])
        self.assertEqual(arguments[1]["after"], [b"w1"])

    async def test_describe_says_why_tasks_wait(self):
        task = {"task": 0, "state": "waiting", "worker": None, "attempt": 0}
        task["reasons"] = {"too little memory": 24, "bell\x07": 1}
        described = {"item": make_worker(4), "tasks": [task]}
        entry = self.start_entry(answer_json(described))
        result = await self.invoke([entry], "describe", "worker/w1")
        self.assertIn("too little memory (24 workers)", result.stdout)
        self.assertIn("bell? (1 workers)", result.stdout)

    async def test_status_fails_unless_all_are_ready(self):
        good = {"name": "umea-1", "failure_domain": "umea", "ready": True}
        cases = [
            ({"instances": [good], "unreachable": []}, 0),
            ({"instances": [{**good, "leaving": True}], "unreachable": []}, 0),
            ({"instances": [{**good, "ready": False}], "unreachable": []}, 1),
            ({"instances": [good], "unreachable": ["lulea-1"]}, 1),
        ]
        for cell, exit_code in cases:
            entry = self.start_entry(answer_json(cell))
            result = await self.invoke([entry], "status")
            self.assertEqual(result.exit_code, exit_code, result.output)

    async def test_top_adds_up(self):
        shard = {"shard": "s", "running": 2, "waiting": 1, "workers": 4}
        instance = {
            "name": "umea-1",
            "shards": [shard, shard],
            "committed": {"cpu_millis": 500},
            "capacity": {"cpu_millis": 2000},
            "control": {"cpu_seconds": 1.5, "resident_mib": 50.0},
        }
        cell = {"instances": [instance, instance], "unreachable": ["lulea-1"]}
        entry = self.start_entry(answer_json(cell))
        result = await self.invoke([entry], "top")
        total = result.stdout.splitlines()[-1].split()
        expected = ["total", "4", "8", "4", "16", "1000/4000", "0/0", "0/0"]
        self.assertEqual(total, [*expected, "3.0", "100.0"])
        self.assertIn("lulea-1 cannot be reached", result.stderr)

    async def test_explain_names_types_and_limits(self):
        result = await self.invoke([], "explain", "service.template.memory_mib")
        self.assertIn("1 to 16,777,216", result.stdout)
        result = await self.invoke([], "explain", "service")
        self.assertIn("none, rack or failure_domain", result.stdout)

    async def test_help_and_completion_of_every_command(self):
        listing = await self.invoke([], "--help")
        self.assertIn("Exit codes:", listing.stdout)
        names = []
        for line in listing.stdout.partition("Commands:")[2].splitlines()[1:]:
            names.append(line.split()[0])
        self.assertEqual(len(names), 17)
        for name in names:
            shown = await self.invoke([], name, "--help")
            self.assertEqual(shown.exit_code, 0)
        for shell in ("bash", "zsh", "fish"):
            script = await self.invoke([], "completion", shell)
            self.assertIn("_ALMONDSPREAD_COMPLETE", script.stdout)
