"""Quarantine of workers on which workloads fail that run on other workers.

A worker is suspected when at least ``MIN_WORKLOADS`` workloads failed on it within
``FAILURE_WINDOW``, when its failure rate (failed workloads over all workloads that
ended on it) is at least ``MIN_FAILURE_RATE``, and when that rate is at least
``MIN_RATE_RATIO`` times the rate of the other workers. A workload that fails on most
of the workers that it ran on says nothing about any one worker, so it is left out. A
workload counts once for a worker, however often it failed there.

A suspected worker is quarantined for a limited time and then put on probation. On
probation, ``PROBATION_SUCCESSES`` workloads that finish clear the worker, and
``PROBATION_FAILURES`` workloads that fail send it back into quarantine for twice as
long, up to ``MAX_QUARANTINE``. At most a given share of the workers is quarantined at
once.
"""

from collections import deque
from datetime import datetime, timedelta

from attrs import define, field

FAILURE_WINDOW = timedelta(minutes=30)
MIN_WORKLOADS = 3
MIN_FAILURE_RATE = 0.6
MIN_RATE_RATIO = 3.0
MIN_FAILED_WORKERS = 3
BAD_WORKLOAD_SHARE = 0.5
INITIAL_QUARANTINE = timedelta(minutes=10)
MAX_QUARANTINE = timedelta(hours=4)
PROBATION_FAILURES = 2
PROBATION_SUCCESSES = 2


@define(frozen=True)
class _AttemptEnd:
    """How and where one attempt ended."""

    time: datetime
    worker: str
    workload: str
    failed: bool


@define
class _QuarantineRecord:
    """The state of a worker that is in quarantine or on probation.

    ``failed_workloads`` and ``succeeded_workloads`` ended on the worker during its
    probation.
    """

    until: datetime
    duration: timedelta
    on_probation: bool = False
    failed_workloads: set[str] = field(factory=set)
    succeeded_workloads: set[str] = field(factory=set)


@define(frozen=True)
class QuarantineChange:
    """A worker that enters quarantine, or leaves quarantine for probation."""

    worker: str
    quarantined: bool


class QuarantineTracker:
    """Tracks recent ends of attempts and the workers in quarantine or on probation."""

    def __init__(self) -> None:
        self._attempt_ends: deque[_AttemptEnd] = deque()
        self._records: dict[str, _QuarantineRecord] = {}

    @property
    def quarantined(self) -> list[str]:
        """The workers in quarantine, sorted."""
        names = []
        for name, record in self._records.items():
            if not record.on_probation:
                names.append(name)
        return sorted(names)

    def record_end(
        self, worker: str, workload: str, failed: bool, now: datetime
    ) -> None:
        """Record that an attempt finished or failed by itself.

        Ends that the system or the platform caused must not be recorded, because
        they say nothing about the worker.
        """
        self._attempt_ends.append(_AttemptEnd(now, worker, workload, failed))
        record = self._records.get(worker)
        if record is None or not record.on_probation:
            return
        (record.failed_workloads if failed else record.succeeded_workloads).add(
            workload
        )

    def remove_worker(self, worker: str) -> None:
        """Remove all that is recorded on a worker that left the cell."""
        self._records.pop(worker, None)
        self._remove_attempt_ends(worker)

    def update_quarantine(
        self, workers: int, largest_share: float, now: datetime
    ) -> list[QuarantineChange]:
        """Update the quarantine and return the workers that enter or leave it.

        ``workers`` is the number of workers, ``largest_share`` the largest fraction
        of them that may be quarantined at once.
        """
        while self._attempt_ends and self._attempt_ends[0].time <= now - FAILURE_WINDOW:
            self._attempt_ends.popleft()
        changes = []
        for worker in self.quarantined:
            record = self._records[worker]
            if record.until <= now:
                record.on_probation = True
                self._remove_attempt_ends(worker)
                changes.append(QuarantineChange(worker, False))
        bad = _find_bad_workloads(self._attempt_ends)
        remaining = int(workers * largest_share) - len(self.quarantined)
        for worker in self._update_probation(bad) + self._find_suspects(bad):
            if remaining <= 0:
                break
            remaining -= 1
            self._quarantine(worker, now)
            changes.append(QuarantineChange(worker, True))
        return changes

    def _update_probation(self, bad_workloads: set[str]) -> list[str]:
        """Clear workers that succeeded on probation; return those that failed."""
        failed = []
        for worker, record in sorted(self._records.items()):
            if not record.on_probation:
                continue
            if len(record.failed_workloads - bad_workloads) >= PROBATION_FAILURES:
                failed.append(worker)
            elif len(record.succeeded_workloads) >= PROBATION_SUCCESSES:
                del self._records[worker]
        return failed

    def _find_suspects(self, bad_workloads: set[str]) -> list[str]:
        """Return the workers that fail far more than the others, worst first."""
        ended = _group_by_worker(self._attempt_ends, bad_workloads)
        failed = _group_by_worker(
            [end for end in self._attempt_ends if end.failed], bad_workloads
        )
        all_ended = sum(len(workloads) for workloads in ended.values())
        all_failed = sum(len(workloads) for workloads in failed.values())
        found = []
        for worker, workloads in failed.items():
            if worker in self._records or len(workloads) < MIN_WORKLOADS:
                continue
            rate = len(workloads) / len(ended[worker])
            others_ended = all_ended - len(ended[worker])
            others_failed = all_failed - len(workloads)
            others_rate = others_failed / others_ended if others_ended else 0.0
            if rate >= MIN_FAILURE_RATE and rate >= MIN_RATE_RATIO * others_rate:
                found.append((-rate, -len(workloads), worker))
        return [worker for _, _, worker in sorted(found)]

    def _quarantine(self, worker: str, now: datetime) -> None:
        """Quarantine a worker, for twice as long as before if it was on probation."""
        previous = self._records.get(worker)
        duration = INITIAL_QUARANTINE
        if previous is not None:
            duration = min(2 * previous.duration, MAX_QUARANTINE)
        self._records[worker] = _QuarantineRecord(now + duration, duration)

    def _remove_attempt_ends(self, worker: str) -> None:
        """Remove the recorded ends of attempts on a worker."""
        kept = [end for end in self._attempt_ends if end.worker != worker]
        self._attempt_ends = deque(kept)


def _group_by_worker(
    ends: "list[_AttemptEnd] | deque[_AttemptEnd]", without: set[str]
) -> dict[str, set[str]]:
    """Return the workloads that ended on each worker, except ``without``."""
    groups: dict[str, set[str]] = {}
    for end in ends:
        if end.workload not in without:
            groups.setdefault(end.worker, set()).add(end.workload)
    return groups


def _find_bad_workloads(ends: deque[_AttemptEnd]) -> set[str]:
    """Return the workloads that failed on most of the workers they ran on.

    A workload that failed on fewer than ``MIN_FAILED_WORKERS`` workers is not counted.
    """
    tried: dict[str, set[str]] = {}
    failed: dict[str, set[str]] = {}
    for end in ends:
        tried.setdefault(end.workload, set()).add(end.worker)
        if end.failed:
            failed.setdefault(end.workload, set()).add(end.worker)
    bad_workloads = set()
    for workload, workers in failed.items():
        if len(workers) < MIN_FAILED_WORKERS:
            continue
        if len(workers) > BAD_WORKLOAD_SHARE * len(tried[workload]):
            bad_workloads.add(workload)
    return bad_workloads
