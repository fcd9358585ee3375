import io
import json
import logging
import unittest
from contextlib import redirect_stderr
from datetime import timedelta

from loguru import logger

from almondspread.clock import ManualClock
from almondspread_daemon.settings import LogSettings
from almondspread_daemon.telemetry.logs import (
    MAX_LINES_PER_CALL_SITE,
    RATE_WINDOW,
    configure_logs,
)


class LogsTest(unittest.TestCase):
    def setUp(self):
        self.addCleanup(logging.basicConfig, handlers=[], force=True)
        self.addCleanup(logger.remove)
        self.clock = ManualClock()
        self.stream = io.StringIO()

    def log_warnings(self, lines):
        for number in range(lines):
            logger.warning("worker {} does not answer", number)

    def read_lines(self):
        return [json.loads(line) for line in self.stream.getvalue().splitlines()]

    def test_each_event_is_one_line_of_json(self):
        with redirect_stderr(self.stream):
            configure_logs(LogSettings(), "umea-1", self.clock)
            logger.bind(shard="schedule/umea/0").info("took a shard\nat once")
        line = self.read_lines()[0]
        self.assertEqual(line["message"], "took a shard\nat once")
        self.assertEqual(line["instance"], "umea-1")
        self.assertEqual(line["shard"], "schedule/umea/0")

    def test_repeated_lines_are_limited_and_counted(self):
        with redirect_stderr(self.stream):
            configure_logs(LogSettings(), "umea-1", self.clock)
            self.log_warnings(500)
            self.assertEqual(len(self.read_lines()), MAX_LINES_PER_CALL_SITE)
            self.clock.advance(RATE_WINDOW)
            self.log_warnings(1)
        lines = self.read_lines()
        self.assertEqual(len(lines), MAX_LINES_PER_CALL_SITE + 1)
        self.assertEqual(lines[-1]["suppressed"], 500 - MAX_LINES_PER_CALL_SITE)

    def test_library_logs_are_structured_and_limited(self):
        with redirect_stderr(self.stream):
            configure_logs(LogSettings(), "umea-1", self.clock)
            for _ in range(500):
                logging.getLogger("exporter").warning("no answer")
        lines = self.read_lines()
        self.assertEqual(len(lines), MAX_LINES_PER_CALL_SITE)
        self.assertEqual(lines[0]["message"], "no answer")
        self.assertTrue(lines[0]["logger"].startswith("exporter:"))

    def test_other_call_sites_are_not_limited(self):
        with redirect_stderr(self.stream):
            configure_logs(LogSettings(), "umea-1", self.clock)
            self.log_warnings(500)
            self.clock.advance(timedelta(milliseconds=1))
            logger.error("another event")
        self.assertEqual(self.read_lines()[-1]["message"], "another event")
