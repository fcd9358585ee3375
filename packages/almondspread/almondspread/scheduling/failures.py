"""What a shard makes of attempts that fail: retries, quarantine, estimates."""

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
# A start that was refused is tried again after about so long.
REFUSED_RETRY_DELAY = timedelta(seconds=1)


class FailureTracker:
    """Decides when failed tasks are tried again and which workers are quarantined."""

    def __init__(self, decisions: Decisions, source: random.Random) -> None:
        self._decisions = decisions
        self._random = source
        self._budgets: dict[str, RetryBudget] = {}
        self._ledger = QuarantineTracker()
        self._last_review_at: datetime | None = None

    def record_start(self, state: WorkloadState, attempt: Attempt) -> None:
        """Count a start, which earns its team a part of a quick retry."""
        if attempt.number == 1:
            self._get_budget(state.team).record_start()

    def record_end(
        self, state: WorkloadState, attempt: Attempt, end: AttemptEnd, now: datetime
    ) -> float:
        """Learn from an end; return when its task may be tried again, 0 for now."""
        if end.outcome in ("finished", "failed"):
            failed = end.outcome == "failed"
            self._ledger.record_end(attempt.worker, attempt.workload, failed, now)
        if end.outcome == "finished":
            self._update_estimates(state, attempt, end)
        if end.outcome == "failed":
            return self._compute_retry_time(state, attempt, now)
        if end.outcome == "refused":
            pause = REFUSED_RETRY_DELAY * self._random.uniform(0.5, 1.5)
            return (now + pause).timestamp()
        return 0.0

    def record_crash(self, attempt: Attempt, now: datetime) -> None:
        """Note that a worker starts an attempt again and again."""
        self._ledger.record_end(attempt.worker, attempt.workload, True, now)

    def _update_estimates(
        self, state: WorkloadState, attempt: Attempt, end: AttemptEnd
    ) -> None:
        """Learn run time and memory from an attempt that finished."""
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
        """Return when a failed task is tried again, 0 where it is given up."""
        failures = state.tasks[attempt.index].failures + 1
        decided = decide_retry(
            failures,
            state.max_attempts,
            self._get_budget(state.team),
            self._random,
        )
        if not isinstance(decided, Retry):
            return 0.0
        return (now + decided.delay).timestamp()

    def _get_budget(self, team: str) -> RetryBudget:
        """Return the retry budget of a team."""
        return self._budgets.setdefault(team, RetryBudget())

    def update_quarantine(self, allowed: int, now: datetime) -> None:
        """Quarantine workers, at most ``allowed`` at once, or let them out."""
        if (
            self._last_review_at is not None
            and now - self._last_review_at < QUARANTINE_REVIEW_INTERVAL
        ):
            return
        self._last_review_at = now
        for change in self._ledger.update_quarantine(allowed, 1.0, now):
            self._decisions.set_exclusion(
                change.worker, "quarantined", change.quarantined
            )

    def remove_worker(self, worker: str) -> None:
        """Forget a worker that is gone."""
        self._ledger.remove_worker(worker)


def compute_quarantine_limit(
    counts: Mapping[str, int], share: float, shard: str
) -> int:
    """Return how many workers a shard may quarantine, of a share of the cell's.

    Every owner divides alike: whole workers by the size of each shard, and what is
    left over to the largest remainders. The parts add up to the share of the whole.

    >>> counts = {"a": 8, "b": 8, "c": 8}
    >>> [compute_quarantine_limit(counts, 0.1, shard) for shard in counts]
    [1, 1, 0]
    """
    total = int(sum(counts.values()) * share)
    remainders = []
    parts = {}
    for name, count in counts.items():
        parts[name] = int(count * share)
        remainders.append((parts[name] - count * share, name))
    remainders.sort()
    left = total - sum(parts.values())
    for _, name in remainders[:left]:
        parts[name] += 1
    return parts.get(shard, 0)
