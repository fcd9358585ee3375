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


if __name__ == "__main__":
    unittest.main()
