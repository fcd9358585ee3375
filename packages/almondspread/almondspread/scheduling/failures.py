"""Handles the ends of attempts: retries, quarantine of workers and estimates."""

import random
from collections.abc import Mapping
from datetime import datetime, timedelta

from almondspread.interfaces import AttemptEnd
from almondspread.scheduling.decisions import Decisions
from almondspread.scheduling.policies.quarantine import QuarantineTracker
from almondspread.scheduling.policies.retries import (
    Retry,
    RetryBudget,
    decide_retry,
)
from almondspread.scheduling.tasks import Attempt, WorkloadState

QUARANTINE_REVIEW_INTERVAL = timedelta(seconds=1)
# The mean delay until a start that a worker refused is retried.
REFUSED_RETRY_DELAY = timedelta(seconds=1)
# From this loss of its worker in a row on, a task is held to be the cause.
MIN_LOSSES_TO_FAIL = 3
# Losses further apart are not in a row: workers are also restarted for other reasons.
LOSS_WINDOW = timedelta(minutes=10)


class FailureTracker:
    """Decides when failed tasks are retried and which workers are quarantined."""

    def __init__(self, decisions: Decisions, source: random.Random) -> None:
        self._decisions = decisions
        self._random = source
        self._budgets: dict[str, RetryBudget] = {}
        self._quarantine = QuarantineTracker()
        self._last_review_at: datetime | None = None
        self._losses: dict[tuple[str, int], tuple[int, datetime]] = {}

    def record_start(self, state: WorkloadState, attempt: Attempt) -> None:
        """Count the first start of a task, which adds to its team's retry budget."""
        if attempt.number == 1:
            self._get_budget(state.team).record_start()

    def record_end(
        self, state: WorkloadState, attempt: Attempt, end: AttemptEnd, now: datetime
    ) -> float:
        """Record the end of an attempt and return when its task may be retried.

        The result is in UTC seconds, 0 if the task needs no delay or no retry.
        """
        if end.outcome in ("finished", "failed"):
            failed = end.outcome == "failed"
            self._quarantine.record_end(attempt.worker, attempt.workload, failed, now)
        if end.outcome == "finished":
            self._update_estimates(state, attempt, end)
        if end.outcome == "failed":
            return self._compute_retry_time(state, attempt, now)
        if end.outcome == "refused":
            delay = REFUSED_RETRY_DELAY * self._random.uniform(0.5, 1.5)
            return (now + delay).timestamp()
        return 0.0

    def record_crash(self, attempt: Attempt, now: datetime) -> None:
        """Count an attempt that its worker restarts repeatedly as a failure there."""
        self._quarantine.record_end(attempt.worker, attempt.workload, True, now)

    def is_lost_by_itself(self, attempt: Attempt, outcome: str, now: datetime) -> bool:
        """Record an end, and return whether the task seems to crash its workers.

        The count of losses in a row is not stored, so that a new owner starts at zero.
        """
        key = (attempt.workload, attempt.index)
        count, since = self._losses.pop(key, (0, now))
        if outcome != "lost":
            return False
        if now - since > LOSS_WINDOW:
            count = 0
        self._losses[key] = (count + 1, now)
        return count + 1 >= MIN_LOSSES_TO_FAIL

    def _update_estimates(
        self, state: WorkloadState, attempt: Attempt, end: AttemptEnd
    ) -> None:
        """Update the estimates of run time and memory from a finished attempt."""
        template = state.resource.template
        self._decisions.estimates.record_finished(
            state.path,
            state.team,
            timedelta(seconds=template.run_seconds),
            timedelta(seconds=end.run_seconds),
            attempt.size.memory_mib,
            end.peak_memory_mib,
        )

    def _compute_retry_time(
        self, state: WorkloadState, attempt: Attempt, now: datetime
    ) -> float:
        """Return the retry time of a failed task in UTC seconds, 0 for no retry."""
        failures = state.tasks[attempt.index].failures + 1
        decision = decide_retry(
            failures,
            state.max_attempts,
            self._get_budget(state.team),
            self._random,
        )
        if not isinstance(decision, Retry):
            return 0.0
        return (now + decision.delay).timestamp()

    def _get_budget(self, team: str) -> RetryBudget:
        """Return the retry budget of a team, a new one for a team without one."""
        return self._budgets.setdefault(team, RetryBudget())

    def update_quarantine(self, allowed: int, now: datetime) -> None:
        """Quarantine suspected workers and release others.

        At most ``allowed`` workers are in quarantine at once. Calls within
        ``QUARANTINE_REVIEW_INTERVAL`` of the last review have no effect.
        """
        if (
            self._last_review_at is not None
            and now - self._last_review_at < QUARANTINE_REVIEW_INTERVAL
        ):
            return
        self._last_review_at = now
        for change in self._quarantine.update_quarantine(allowed, 1.0, now):
            self._decisions.set_exclusion(
                change.worker, "quarantined", change.quarantined
            )

    def remove_worker(self, worker: str) -> None:
        """Remove the records of a worker that has left the cell."""
        self._quarantine.remove_worker(worker)


def compute_quarantine_limit(
    counts: Mapping[str, int], share: float, shard: str
) -> int:
    """Return how many workers a shard may quarantine.

    ``counts`` holds the number of workers of each shard, and ``share`` is the share
    of the workers of the cell that may be in quarantine. All owners compute the same
    division by the largest remainder method, so the limits of all shards add up to
    that share of the cell, rounded down.

    >>> counts = {"a": 8, "b": 8, "c": 8}
    >>> [compute_quarantine_limit(counts, 0.1, shard) for shard in counts]
    [1, 1, 0]
    """
    total = int(sum(counts.values()) * share)
    remainders = []
    limits = {}
    for name, count in counts.items():
        limits[name] = int(count * share)
        remainders.append((limits[name] - count * share, name))
    remainders.sort()
    left = total - sum(limits.values())
    for _, name in remainders[:left]:
        limits[name] += 1
    return limits.get(shard, 0)
