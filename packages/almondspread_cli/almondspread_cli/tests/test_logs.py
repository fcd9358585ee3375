import json
import unittest

from click.testing import CliRunner

from almondspread_cli.command import main


def make_line(time, message, job="5c0e7a21d94b36f8", **fields):
    return json.dumps(
        {"time": time, "message": message, "instance": "entry-1", "job": job, **fields}
    )


class LogsTest(unittest.TestCase):
    def run_logs(self, *lines, job="5c0e7a21d94b36f8"):
        text = "\n".join(lines)
        return CliRunner().invoke(main, ["logs", job], input=text)

    def test_events_of_one_job_come_in_order_of_time(self):
        result = self.run_logs(
            make_line("T3", "run ended", outcome="done"),
            make_line("T2", "run placed", upstream="i-1"),
            make_line("T1", "request", outcome="accepted"),
            make_line("T2", "run placed", job="another"),
        )
        self.assertEqual(result.exit_code, 0)
        self.assertEqual(
            result.stdout.splitlines(),
            [
                "T1 entry-1 request outcome=accepted",
                "T2 entry-1 run placed upstream=i-1",
                "T3 entry-1 run ended outcome=done",
            ],
        )

    def test_wrong_lines_are_counted_and_passed_over(self):
        wrong = ["{", "[1]", "7", "\x00", "[" * 50_000]
        result = self.run_logs(*wrong, make_line("T1", "request"))
        self.assertEqual(result.exit_code, 0)
        self.assertIn("5 lines could not be read", result.stderr)

    def test_unknown_job_is_told(self):
        result = self.run_logs(make_line("T1", "request"), job="none")
        self.assertEqual(result.exit_code, 1)
        self.assertIn("no line is about none", result.stderr)


class ExplainJobTest(unittest.TestCase):
    def explain(self, *lines, job="5c0e7a21d94b36f8"):
        text = "\n".join(lines)
        return CliRunner().invoke(main, ["explain-job", job], input=text)

    def make_wait(self, time, cause, left, **fields):
        return make_line(
            time,
            "task waits",
            occurrence=0,
            step=2,
            tasks=5,
            cause=cause,
            seconds_left=left,
            **fields,
        )

    def test_each_leader_has_a_line_with_its_newest_time_left(self):
        result = self.explain(
            self.make_wait("T2", "unseen_upstream", 9.5, upstream="i-1", epoch=2),
            self.make_wait("T3", "unseen_upstream", 4.5, upstream="i-1", epoch=2),
            self.make_wait("T5", "no_room", None, upstream="", epoch=3),
            make_line("T6", "runs placed", step=2),
        )
        self.assertEqual(result.exit_code, 0)
        _, first, second, newest = result.stdout.splitlines()
        words = "T2 T3 entry-1 2 0.2 5 unseen_upstream i-1 4.5 -"
        self.assertEqual(first.split(), words.split())
        words = "T5 T5 entry-1 3 0.2 5 no_room - - -"
        self.assertEqual(second.split(), words.split())
        self.assertIn("T6 runs placed", newest)

    def test_job_without_a_wait_is_told(self):
        result = self.explain(make_line("T1", "request"), "{")
        self.assertEqual(result.exit_code, 1)
        self.assertIn("no line tells of a wait", result.stderr)
        self.assertIn("1 lines could not be read", result.stderr)
        self.assertIn("T1 request", result.stdout)


if __name__ == "__main__":
    unittest.main()
