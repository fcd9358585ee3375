import json

from almondspread_cli.tests.entries import (
    EntryTestCase,
    answer_in_turn,
    answer_json,
    answer_problem,
    cut,
    stream_then_cut,
)

# What a watch ends by in these tests.
REFUSED = answer_problem(401, "unauthenticated", True)


def change(revision, name):
    return {"type": "changed", "revision": revision, "kind": "batch", "name": name}


class WatchTest(EntryTestCase):
    async def watch(self, entries, *words):
        result = await self.invoke(entries, "watch", "batch", "-o", "json", *words)
        self.assertEqual(result.exit_code, 3, result.output)
        events = [json.loads(line) for line in result.stdout.splitlines()]
        return result, [(event["revision"], event["name"]) for event in events]

    def list_from(self, *entries):
        found = []
        for entry in entries:
            for request in entry.asked:
                if request.path == "/v1/watch":
                    found.append(request.arguments["from"][0].decode())
        return found

    async def test_resumes_at_the_next_entry_inside_a_change(self):
        # Revision 6 is one change of three jobs; the cut falls inside it.
        events = [change(5, "a"), change(6, "b"), change(6, "c")]
        first = self.start_entry(stream_then_cut(*events))
        rest = [change(6, "b"), change(6, "c"), change(6, "d"), change(7, "e")]
        second = self.start_entry(answer_in_turn(stream_then_cut(*rest), REFUSED))
        last = self.start_entry(REFUSED)
        result, seen = await self.watch([first, second, last], "--from", "4")
        self.assertEqual(seen, [(5, "a"), (6, "b"), (6, "c"), (6, "d"), (7, "e")])
        self.assertEqual(self.list_from(first, second, last), ["4", "5", "6"])
        self.assertIn("cut; resuming at the next entry", result.stderr)

    async def test_repeats_of_a_status_are_shown_unless_they_follow_a_cut(self):
        busy = {"type": "status", "revision": 5, "kind": "batch", "name": "a"}
        idle = {**busy, "status": {"running": 0}}
        first = self.start_entry(stream_then_cut(busy, idle, busy))
        second = self.start_entry(stream_then_cut(busy, idle, busy))
        last = self.start_entry(REFUSED)
        _, seen = await self.watch([first, second, last], "--from", "4")
        self.assertEqual(seen, [(5, "a")] * 4)

    async def test_reads_events_across_chunks_and_blank_lines(self):
        text = json.dumps(change(5, "a")) + "\n"

        async def answer(handler):
            for part in (text[:9], text[9:], "\n" + text[:7], text[7:] + "\n"):
                handler.write(part)
                await handler.flush()
            await cut(handler)

        entry = self.start_entry(answer_in_turn(answer, REFUSED))
        _, seen = await self.watch([entry], "--from", "4")
        self.assertEqual(seen, [(5, "a"), (5, "a")])

    async def test_a_stream_without_events_is_no_failure(self):
        quiet = answer_in_turn(stream_then_cut(), stream_then_cut(), REFUSED)
        entry = self.start_entry(quiet)
        await self.watch([entry], "--from", "4")
        self.assertEqual(self.list_from(entry), ["4", "4", "4"])

    async def test_bookmarks_move_the_point_to_resume_from(self):
        bookmark = {"type": "bookmark", "revision": 8}
        first = self.start_entry(stream_then_cut(change(6, "a"), bookmark))
        last = self.start_entry(REFUSED)
        _, seen = await self.watch([first, last], "--from", "4")
        self.assertEqual(seen, [(6, "a")])
        self.assertEqual(self.list_from(last), ["8"])

    async def test_starts_at_the_current_revision(self):
        entry = self.start_entry(answer_in_turn(answer_json({"revision": 3}), REFUSED))
        await self.watch([entry])
        self.assertEqual(entry.paths, ["/v1/status", "/v1/watch"])
        self.assertEqual(self.list_from(entry), ["3"])

    async def test_lists_again_after_expiry_and_says_so(self):
        page = {
            "revision": 40,
            "next": "a",
            "items": [{"kind": "batch", "name": "a", "resource_version": 30}],
        }
        rest = {**page, "next": None, "items": [{"kind": "batch", "name": "b"}]}
        for expired in (
            stream_then_cut({"type": "expired", "revision": 20}),
            answer_problem(410, "expired", True),
        ):
            entry = self.start_entry(
                answer_in_turn(
                    expired,
                    answer_json(page),
                    answer_json(rest),
                    stream_then_cut(change(41, "c")),
                    REFUSED,
                )
            )
            result, seen = await self.watch([entry], "--from", "4")
            self.assertEqual(seen, [(40, "a"), (40, "b"), (41, "c")])
            self.assertIn("revision 4 has expired: listing again", result.stderr)
            self.assertEqual(self.list_from(entry), ["4", "40", "40"])

    async def test_ends_when_no_entry_ever_answers(self):
        entries = [self.reserve_address(), self.reserve_address()]
        result = await self.invoke(entries, "watch", "--from", "1")
        self.assertEqual(result.exit_code, 4)
