"""Trials of tasks that may crash their upstream: each runs alone on one for a while."""

from collections.abc import Iterable, Mapping
from datetime import timedelta

from almondspread.jobs.bound_runs import Run
from almondspread.jobs.submissions import TaskId
from almondspread.jobs.upstreams import Upstream

# A task that crashes its upstreams has done so by then.
TRIAL_TIME = timedelta(milliseconds=500)
# A lasting task may crash its upstream later; one that has worked this long does not.
PROOF_TIME = timedelta(seconds=4)
# At most this share of the upstreams of a service is taken up by trials, and at least
# one of them.
MAX_TRIAL_SHARE = 0.2


def count_trials_left(upstreams: Iterable[Upstream], service: str) -> int:
    """Return how many more trials the upstreams of a service may take.

    An upstream that has fallen silent in a trial is lost in any case.
    """
    listed = trying = 0
    for upstream in upstreams:
        if not upstream.listed or upstream.entry.service != service:
            continue
        listed += 1
        if upstream.trying and upstream.lapse_at is None:
            trying += 1
    return max(1, int(listed * MAX_TRIAL_SHARE)) - trying


def end_trials(
    upstream: Upstream, runs: Mapping[tuple[TaskId, int], Run], now: timedelta
) -> None:
    """End the trials of runs that have not crashed the upstream."""
    for key in list(upstream.trying):
        run = runs.get(key)
        if run is None or (run.seen_at and now - run.started_at >= run.trial_time):
            upstream.trying.discard(key)
