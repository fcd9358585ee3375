"""Crashes of upstreams: which runs an upstream may have died of."""

from datetime import timedelta

from almondspread.jobs.progress import Run
from almondspread.jobs.upstreams import Upstream

# A report that was sent before a crash may be handled this much later than the answer
# to the start that caused the crash.
FRESH_TIME = timedelta(milliseconds=150)


def is_fresh(run: Run, upstream: Upstream) -> bool:
    """Return whether a run had hardly begun when its upstream was last heard."""
    return upstream.heard_at - run.started_at < FRESH_TIME
