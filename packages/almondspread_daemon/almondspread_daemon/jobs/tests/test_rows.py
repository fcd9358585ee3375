import unittest
from datetime import UTC, datetime, timedelta

import msgpack
from attrs import evolve

from almondspread.clock.unix_time import from_unix_ms
from almondspread.codec import decode_message, encode_message
from almondspread.jobs.configuration import AdviceTiming, Queue
from almondspread.jobs.job_records import JobRecord, StepRecord
from almondspread.jobs.losses import Loss
from almondspread.jobs.ports import RowName, StoredRow
from almondspread.jobs.submissions import Repetition, Step, Submission
from almondspread.resources.capacity import Capacity
from almondspread_daemon.jobs.progress_rows import decode_progress
from almondspread_daemon.jobs.rows import (
    SUBMISSIONS_TABLE,
    WATCHED_ROW,
    SubmissionRow,
    WatchedRow,
    WatchedUpstream,
    decode_row,
    decode_submission,
    encode_submission,
    make_job_key,
    make_progress_name,
    make_watched_entry,
)

SIZE = Capacity(500, 256, 1)


class RowsTest(unittest.TestCase):
    def test_progress_with_failures_and_checkpoints_round_trips(self):
        record = JobRecord(
            "j", "q", "running", (StepRecord(0, 1, b"\x05", {3: [7, 9]}, {4: "c"}),)
        )
        row = StoredRow(make_progress_name("j"), encode_message(record), 3)
        self.assertEqual(decode_progress((row,)), {"j": record})

    def test_progress_with_lost_upstreams_round_trips(self):
        losses = {2: [Loss(5, "u", "10.0.0.1:80", confirmed=True, crashed=True)]}
        record = JobRecord("j", "q", "running", (StepRecord(0, 1, losses=losses),))
        row = StoredRow(make_progress_name("j"), encode_message(record), 3)
        self.assertEqual(decode_progress((row,)), {"j": record})

    def test_watched_upstream_keeps_its_identity_and_start(self):
        watched = WatchedUpstream("u@1500", "s", "10.0.0.1:80", "umea", 0.0, "u", 1_500)
        row = StoredRow(WATCHED_ROW, encode_message(WatchedRow((watched,))), 3)
        (read,) = decode_row(row, WatchedRow).upstreams
        entry = make_watched_entry(read)
        self.assertEqual((entry.name, entry.identity), ("u@1500", "u"))
        self.assertEqual(entry.started_at, from_unix_ms(1_500))

    def test_watched_upstream_of_an_earlier_release_is_its_own_identity(self):
        entry = make_watched_entry(WatchedUpstream("u", "s", "10.0.0.1:80", "umea"))
        self.assertEqual((entry.identity, entry.started_at), ("u", None))

    def test_submission_round_trips(self):
        step = Step(
            3,
            SIZE,
            estimate=timedelta(milliseconds=900),
            after=(0,),
            checkpointing=True,
            gang=True,
            same_rack=True,
            required_label="a",
            preferred_rack="r1-1",
            spread_limit=2,
            duplicates=True,
            lasting=True,
            image="i",
            latency_target=timedelta(milliseconds=40),
            opportunistic=True,
            unavailable_limit=1,
        )
        first = datetime(2026, 4, 2, 12, tzinfo=UTC)
        repetition = Repetition(first, timedelta(seconds=2), 4)
        submission = Submission("j", "q", "text", (Step(1, SIZE), step), repetition)
        value = encode_submission(submission, timedelta(seconds=5))
        row = decode_row(
            StoredRow(
                RowName(SUBMISSIONS_TABLE, "entry-1/0", make_job_key("j")), value, 1
            ),
            SubmissionRow,
        )
        self.assertEqual(decode_submission(row), submission)
        self.assertEqual(row.accepted, 5.0)

    def test_submission_keeps_its_queue_and_one_of_an_earlier_release_has_none(self):
        advice = AdviceTiming(
            timedelta(milliseconds=35.2),
            timedelta(milliseconds=0.32),
            timedelta(seconds=2.5),
        )
        queue = Queue("q", "", "", "s", 2, 4, 1.5, timedelta(seconds=3), advice=advice)
        for kept in (queue, evolve(queue, advice=None)):
            submission = Submission("j", "q", "text", (Step(1, SIZE),), None, kept)
            value = encode_submission(submission, timedelta(0))
            row = decode_message(value, SubmissionRow)
            self.assertEqual(decode_submission(row), submission)
            fields = msgpack.unpackb(value)
            del fields["terms"]
            row = decode_message(msgpack.packb(fields), SubmissionRow)
            self.assertIsNone(decode_submission(row).accepted_queue)

    def test_values_that_cannot_be_decoded_are_ignored(self):
        for value in (
            b"",
            b"\xc1",
            b"{}",
            encode_message(JobRecord("j", "q", "x"))[:-1],
        ):
            with self.subTest(value=value):
                row = StoredRow(make_progress_name("j"), value, 1)
                self.assertEqual(decode_progress((row,)), {})


if __name__ == "__main__":
    unittest.main()
