import asyncio
import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from almondspread_standin.tests.operators import (
    ClusterTest,
    OperatorClient,
    make_job,
    make_team,
)


class RaceTest(ClusterTest):
    domains = ("umea", "lulea")

    async def test_loser_learns_the_version_and_who_changed_what(self):
        created = (await self.client.apply(self.urls[0], make_team("routes"))).document
        version = created["items"][0]["resource_version"]
        calls = []
        for number, url in enumerate(self.urls):
            document = make_team("routes", 2_000 + number)
            calls.append(self.client.apply(url, (document, version)))
        answers = sorted(await asyncio.gather(*calls), key=lambda one: one.status)
        self.assertEqual([one.status for one in answers], [200, 409])
        won = answers[0].document["items"][0]["resource_version"]
        conflict = answers[1].document
        self.assertEqual(conflict["current_version"], won)
        self.assertIs(conflict["not_run"], True)
        self.assertRegex(
            conflict["message"], rf"local@\w+-1 changed cpu_millis at {won}"
        )
        self.assertIn("get the resource", conflict["remedy"])

    async def test_last_writer_without_version_wins_knowingly(self):
        calls = [
            self.client.apply(u, make_team("routes", n))
            for n, u in enumerate(self.urls)
        ]
        answers = await asyncio.gather(*calls)
        self.assertEqual([one.status for one in answers], [200, 200])
        revisions = [one.document["revision"] for one in answers]
        self.assertEqual(len(set(revisions)), 2)
        await self.wait_for_revision(max(revisions))
        winner = revisions.index(max(revisions))
        for url in self.urls:
            item = await self.client.send(f"{url}/v1/resources/team/routes")
            self.assertEqual(item.document["document"]["cpu_millis"], winner)
            self.assertEqual(item.document["resource_version"], max(revisions))

    async def test_conflict_of_a_removed_resource(self):
        url = self.urls[0]
        created = await self.client.apply(url, make_team("routes"))
        version = created.document["items"][0]["resource_version"]
        path = f"{url}/v1/resources/team/routes"
        self.assertEqual((await self.client.send(path, "DELETE")).status, 200)
        answer = await self.client.apply(url, (make_team("routes", 5), version))
        self.assertEqual(answer.status, 409)
        self.assertEqual(answer.document["current_version"], 0)
        self.assertIn("removed it", answer.document["message"])


class ApplyTest(ClusterTest):
    async def list_names(self, kind):
        answer = await self.client.send(f"{self.urls[0]}/v1/resources/{kind}")
        return [item["name"] for item in answer.document["items"]]

    async def test_whole_or_nothing(self):
        url = self.urls[0]
        wrong = (
            (make_team("a"), make_team("Bad Name")),
            (make_team("a"), make_job("job", "nobody")),
            (make_team("a"), make_team("a", 2)),
            (make_team("a"), (make_team("b"), 7)),
        )
        for items in wrong:
            answer = await self.client.apply(url, *items)
            self.assertIn(answer.status, (400, 409))
            self.assertTrue(answer.document["remedy"])
        self.assertEqual(await self.list_names("team"), [])

    async def test_teams_and_their_workloads(self):
        url = self.urls[0]
        refused = await self.client.apply(url, make_job("job", "routes"))
        self.assertIn("names team 'routes'", refused.document["message"])
        both = await self.client.apply(
            url, make_job("job", "routes"), make_team("routes")
        )
        self.assertEqual(both.status, 200)
        path = f"{url}/v1/resources/team/routes"
        removal = await self.client.send(path, "DELETE")
        self.assertEqual(removal.status, 409)
        self.assertIn("batch/job", removal.document["message"])
        await self.client.send(f"{url}/v1/resources/batch/job", "DELETE")
        self.assertEqual((await self.client.send(path, "DELETE")).status, 200)

    async def test_dry_run_changes_nothing(self):
        url = self.urls[0]
        await self.client.apply(url, make_team("a"))
        answer = await self.client.apply(
            url, make_team("a", 7), make_team("b"), dry_run=True
        )
        outcomes = [item["outcome"] for item in answer.document["items"]]
        self.assertEqual(outcomes, ["changed", "created"])
        self.assertEqual(await self.list_names("team"), ["a"])
        item = await self.client.send(f"{url}/v1/resources/team/a")
        self.assertEqual(item.document["document"]["cpu_millis"], 1_000)
        refused = await self.client.apply(url, (make_team("a", 7), 99), dry_run=True)
        self.assertEqual(refused.status, 409)

    async def test_pages(self):
        url = self.urls[0]
        names = [f"team-{number:02}" for number in range(25)]
        await self.client.apply(url, *(make_team(name, 1, a="b") for name in names))
        found = []
        after = ""
        while after is not None:
            query = f"limit=10&after={after}&selector=a=b"
            page = await self.client.send(f"{url}/v1/resources/team?{query}")
            self.assertLessEqual(len(page.document["items"]), 10)
            found.extend(item["name"] for item in page.document["items"])
            after = page.document["next"]
        self.assertEqual(found, names)


class HostileInputTest(ClusterTest):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.url = self.urls[0]
        self.revision = self.cluster.entries["umea-1"].changes.cache.revision

    async def assert_refused(self, answer, *statuses):
        self.assertIn(answer.status, statuses)
        self.assertIsInstance(answer.document, dict)
        for field in ("code", "message", "remedy"):
            self.assertTrue(answer.document[field], field)
        self.assertLess(len(answer.document["message"]), 5_000)
        entry = self.cluster.entries["umea-1"]
        self.assertEqual(entry.changes.cache.revision, self.revision)

    async def test_bodies(self):
        deep = "[" * 100_000 + "]" * 100_000
        item = {"document": make_team("a")}
        bodies = (
            "",
            "{",
            "\xff\xfe".encode("latin1"),
            deep,
            '{"items": ' + deep + "}",
            '{"items": {}}',
            '{"items": [3]}',
            '{"items": "abc"}',
            '{"items": [], "dry_run": "yes"}',
            '{"items": [], "colour": 1}',
            json.dumps({"items": [item] * 1_001}),
            json.dumps({"items": [{**item, "resource_version": "3"}]}),
            json.dumps({"items": [{"document": make_team("\ud800")}]}),
            json.dumps({"items": [{"document": make_team("a", float("nan"))}]}),
            json.dumps({"items": [{"document": make_team("a", 10**400)}]}),
            json.dumps({"items": [{"document": {**make_team("a"), "kind": "pod"}}]}),
            json.dumps({"items": [{"document": {**make_team("a"), "kind": ["x"]}}]}),
        )
        for body in bodies:
            for route in ("apply", "cancel"):
                with self.subTest(route=route, body=body[:60]):
                    answer = await self.client.send(
                        f"{self.url}/v1/{route}", "POST", body
                    )
                    await self.assert_refused(answer, 400)

    async def test_routes_and_queries(self):
        cases = (
            ("GET", "/v1/nothing", 404),
            ("GET", "/v1/resources/pod", 404),
            ("GET", "/v1/resources/team/absent", 404),
            ("GET", "/v1/resources/team/%ff%fe", 400),
            ("GET", "/v1/resources/team?limit=ten", 400),
            ("GET", "/v1/resources/team?limit=" + "9" * 400, 400),
            ("GET", "/v1/resources/team?selector=a", 400),
            ("GET", "/v1/resources/team?after=%ff", 400),
            ("DELETE", "/v1/resources/team/absent", 404),
            ("DELETE", "/v1/resources/pod/absent", 404),
            ("DELETE", "/v1/resources/team/a?resource_version=-1", 400),
            ("PUT", "/v1/resources/team/a", 405),
            ("PATCH", "/v1/apply", 405),
            ("GET", "/v1/watch?from=abc", 400),
            ("GET", "/v1/watch?kinds=pod", 400),
            ("GET", "/v1/watch?selector=a", 400),
            ("GET", "/v1/describe/pod/a", 404),
        )
        for method, path, status in cases:
            with self.subTest(method=method, path=path):
                answer = await self.client.send(self.url + path, method)
                await self.assert_refused(answer, status)

    async def test_body_over_its_limit(self):
        stream = await self.open_stream()
        head = "POST /v1/apply HTTP/1.1\r\nHost: a\r\nContent-Length: 5000000\r\n\r\n"
        stream.write(head.encode())
        answer = await stream.read_until(b"\r\n\r\n")
        self.assertIn(b" 413 ", answer)
        document = json.loads(await stream.read_until_close())
        self.assertEqual(document["code"], "too_large")
        stream.close()
        await self.assert_still_serves()

    async def open_stream(self):
        port = int(self.url.rsplit(":", 1)[1])
        return await TCPClient().connect("127.0.0.1", port)

    async def assert_still_serves(self):
        self.assertEqual((await self.client.send(f"{self.url}/healthz")).status, 200)

    async def test_bytes_that_are_no_request(self):
        for data in (b"\x00\xff\r\n\r\n", b"GET\r\n\r\n", b"A" * 100_000):
            stream = await self.open_stream()
            try:
                stream.write(data)
                answer = await stream.read_until_close()
            except StreamClosedError:
                answer = b""
            self.assertTrue(answer == b"" or b" 400 " in answer, answer[:80])
        await self.assert_still_serves()


JSON_VALUES = st.recursive(
    st.one_of(st.none(), st.booleans(), st.integers(), st.floats(), st.text()),
    lambda inner: st.one_of(
        st.lists(inner, max_size=4), st.dictionaries(st.text(), inner, max_size=4)
    ),
    max_leaves=12,
)
ITEMS = st.lists(
    st.dictionaries(
        st.sampled_from(("document", "resource_version")),
        st.one_of(
            JSON_VALUES,
            st.dictionaries(
                st.sampled_from(("kind", "metadata", "tasks", "template")), JSON_VALUES
            ),
        ),
    ),
    min_size=1,
    max_size=3,
)
BODIES = st.one_of(
    st.binary(max_size=200),
    st.builds(lambda value: json.dumps(value).encode(), JSON_VALUES),
    st.builds(lambda items: json.dumps({"items": items}).encode(), ITEMS),
)


class HostileBodyTest(unittest.TestCase):
    """One cluster for all examples, on a loop of its own."""

    def setUp(self):
        self.runner = asyncio.Runner()
        self.test = ClusterTest()
        self.runner.run(self.test.asyncSetUp())
        self.client = self.runner.run(self.make_client())

    async def make_client(self):
        return OperatorClient()

    def tearDown(self):
        self.runner.run(self.test.asyncTearDown())
        self.runner.close()

    @settings(derandomize=True, deadline=None, database=None, max_examples=150)
    @given(st.sampled_from(("apply", "cancel")), BODIES)
    def test_any_body_is_answered_and_nothing_is_kept(self, route, body):
        url = f"{self.test.urls[0]}/v1/{route}"
        answer = self.runner.run(self.client.send(url, "POST", body))
        if route == "cancel" and answer.status == 200:
            self.assertEqual(answer.document["cancelled"], [])
        else:
            self.assertEqual(answer.status, 400, answer.document)
            self.assertTrue(answer.document["remedy"])
        entry = self.test.cluster.entries["umea-1"]
        self.assertEqual(entry.changes.cache.revision, 0)


if __name__ == "__main__":
    unittest.main()
