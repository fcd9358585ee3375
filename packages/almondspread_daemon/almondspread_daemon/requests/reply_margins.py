"""How long before the end of a peer's wait its call is answered."""

from datetime import timedelta

from almondspread.clock import Clock
from almondspread_daemon.peers import CallContext

MAX_REPLY_MARGIN = timedelta(milliseconds=50)
REPLY_MARGIN_FRACTION = 0.1


def compute_call_deadline(
    clock: Clock, context: CallContext, deadline: float
) -> timedelta:
    """Return the monotonic time by which a peer's call has to be answered.

    The calling peer stops waiting once its timeout or the deadline has passed. Both
    are considered, because the call may have been delayed on its way. The result lies
    before either by a margin, so that a refusal reaches the peer in time; otherwise
    the peer would have to assume that the request may have run.
    """
    left = deadline - clock.now().timestamp()
    seconds = min(left, context.timeout)
    return (
        clock.monotonic() + timedelta(seconds=seconds) - compute_reply_margin(seconds)
    )


def compute_reply_margin(seconds: float) -> timedelta:
    """Return how long before the end of a wait of some seconds to send the reply."""
    share = max(0.0, seconds * REPLY_MARGIN_FRACTION)
    return min(MAX_REPLY_MARGIN, timedelta(seconds=share))
