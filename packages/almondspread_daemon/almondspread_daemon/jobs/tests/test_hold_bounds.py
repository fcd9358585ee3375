"""The longest time without a run for each hold of a task that lasts.

``docs/design/takeover.md`` tells of each hold what ends it.
"""

import unittest
from datetime import timedelta

from almondspread.jobs.configuration import AdviceTiming
from almondspread.jobs.crashes import LASTING_PATIENCE
from almondspread.jobs.holds import HoldCause
from almondspread.jobs.leases import LEADER_LEASE, compute_longest_lease_time
from almondspread.jobs.permit_requests import (
    MAX_UPSTREAMS_PER_REQUEST,
    estimate_request_time,
)
from almondspread.jobs.permits import NEXT_REQUEST_DELAY, REQUEST_TIMEOUT
from almondspread.jobs.polling import RUNNING_WAIT
from almondspread.jobs.runs import (
    REFUSED_START_DELAY,
    START_TIMEOUT,
    STOP_RETRY_INTERVAL,
    UNSETTLED_TIMEOUT,
)
from almondspread.jobs.scheduler import SWEEP_INTERVAL
from almondspread.jobs.starts import RESERVATION_INTERVAL
from almondspread.jobs.upstreams import LAST_RESORT_DELAY
from almondspread_daemon.jobs.agents import (
    ACKNOWLEDGE_TIMEOUT,
    CALL_TIMEOUT,
    RETRY_DELAY,
)
from almondspread_daemon.jobs.assignments import (
    MEMBER_SILENCE_THRESHOLD,
    MEMBER_TIMEOUT,
    UPSTREAM_REPORT_TIMEOUT,
)
from almondspread_daemon.jobs.intake import FEED_POLL_TIMEOUT
from almondspread_daemon.jobs.leader import (
    COMMIT_INTERVAL,
    HEARTBEAT_INTERVAL,
    RENEW_INTERVAL,
)
from almondspread_daemon.jobs.pass_loop import BATCH_DELAY, IDLE_PASS_INTERVAL
from almondspread_daemon.jobs.settings import MAX_LEASE, START_DELIVERY_TIME
from almondspread_daemon.jobs.store_access import MAX_WRITE_TIMEOUT
from almondspread_daemon.jobs.upstream_list import POLL_INTERVAL

# A task that lasts may be without a run for this long, where there is room.
LASTING_TASK_GAP = timedelta(seconds=9)
SLOWEST_ADVICE = AdviceTiming(
    timedelta(milliseconds=450), timedelta(milliseconds=6.5), timedelta(seconds=2)
)
# An upstream takes no longer to stop a run.
STOP_TIME = timedelta(milliseconds=900)

# The end of a run is known: its upstream is lost, or answers the second renew call.
LOSS_KNOWN = compute_longest_lease_time(MAX_LEASE)
END_KNOWN = ACKNOWLEDGE_TIMEOUT + CALL_TIMEOUT + RETRY_DELAY + CALL_TIMEOUT
# From the decision that a hold has ended to the start of the next run.
STARTED = IDLE_PASS_INTERVAL + BATCH_DELAY + START_DELIVERY_TIME
REQUEST_TIME = estimate_request_time(SLOWEST_ADVICE, MAX_UPSTREAMS_PER_REQUEST)
# A run that was ordered to stop has ended.
STOPPED = CALL_TIMEOUT + STOP_TIME + ACKNOWLEDGE_TIMEOUT

# By hold, from the end of the last run until the hold is over.
HOLDS = {
    "lease of a silent upstream": LOSS_KNOWN,
    HoldCause.LOST_UPSTREAMS: LOSS_KNOWN + LASTING_PATIENCE + POLL_INTERVAL,
    HoldCause.UNSEEN_UPSTREAM: LEADER_LEASE + LOSS_KNOWN,
    "executor lost with its upstream": (
        MEMBER_SILENCE_THRESHOLD + LEADER_LEASE + LOSS_KNOWN
    ),
    "suspension": LOSS_KNOWN + LAST_RESORT_DELAY,
    "trial": LOSS_KNOWN + LAST_RESORT_DELAY,
    "reservation": LOSS_KNOWN + LAST_RESORT_DELAY + RESERVATION_INTERVAL,
    "permits": LOSS_KNOWN + NEXT_REQUEST_DELAY + REQUEST_TIME,
    "permits that are not answered": END_KNOWN + REQUEST_TIMEOUT + REQUEST_TIME,
    HoldCause.GANG_MEMBERS: LOSS_KNOWN + STOPPED,
    HoldCause.REFUSED_START: LOSS_KNOWN + START_DELIVERY_TIME + REFUSED_START_DELAY,
    HoldCause.LEADER_LEASE: (
        END_KNOWN + RENEW_INTERVAL + COMMIT_INTERVAL + MAX_WRITE_TIMEOUT
    ),
    HoldCause.START_RECORD: RENEW_INTERVAL + COMMIT_INTERVAL + MAX_WRITE_TIMEOUT,
    "start without an outcome": (
        END_KNOWN + START_TIMEOUT + UNSETTLED_TIMEOUT + 2 * SWEEP_INTERVAL + STOPPED
    ),
    "stop without an answer": (
        START_DELIVERY_TIME + STOP_RETRY_INTERVAL + SWEEP_INTERVAL + STOPPED
    ),
    "executor that was lost": (
        MEMBER_TIMEOUT + HEARTBEAT_INTERVAL + POLL_INTERVAL + END_KNOWN
    ),
    "upstream without reports": UPSTREAM_REPORT_TIMEOUT + POLL_INTERVAL + END_KNOWN,
    "jobs that are not read yet": (
        END_KNOWN + 2 * FEED_POLL_TIMEOUT + RUNNING_WAIT + 2 * CALL_TIMEOUT
    ),
}


class HoldBoundsTest(unittest.TestCase):
    """Guards against times that are right each and too long together."""

    def test_no_hold_keeps_a_lasting_task_from_running_again_in_time(self):
        for hold, over in HOLDS.items():
            with self.subTest(hold=str(hold)):
                self.assertLess(over + STARTED, LASTING_TASK_GAP)

    def test_each_cause_of_a_hold_has_a_bound(self):
        self.assertEqual(set(HoldCause) - set(HOLDS), set())


if __name__ == "__main__":
    unittest.main()
