"""Workers that fail what others run.

A worker is suspected when most of the workloads that ended there within a window
failed there, at least ``MIN_WORKLOADS`` of them and several times the cell's rate. A
workload that fails on most workers it tries says nothing about any worker and is
left out, and a workload counts once for a worker however often it failed there. A
suspect is quarantined; after a while it is on probation, where one more success
clears it and one more suspicion sends it back for longer. Never more than a stated
share of the workers is quarantined at once.
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
    """How one attempt ended."""

    time: datetime
    worker: str
    workload: str
    failed: bool


@define
class _QuarantineRecord:
    """A worker that is or was quarantined."""

    until: datetime
    duration: timedelta
    on_probation: bool = False
    failed_workloads: set[str] = field(factory=set)
    succeeded_workloads: set[str] = field(factory=set)


@define(frozen=True)
class QuarantineChange:
    """A worker that enters quarantine, or leaves it on probation."""

    worker: str
    quarantined: bool


class QuarantineTracker:
    """Recent ends of attempts, and the workers in quarantine or on probation."""

    def __init__(self) -> None:
        self._attempt_ends: deque[_AttemptEnd] = deque()
        self._records: dict[str, _QuarantineRecord] = {}

    @property
    def quarantined(self) -> list[str]:
        """The workers in quarantine, sorted."""
        names = []
        for name, suspect in self._records.items():
            if not suspect.on_probation:
                names.append(name)
        return sorted(names)

    def record_end(
        self, worker: str, workload: str, failed: bool, now: datetime
    ) -> None:
        """Note that an attempt finished or failed by itself.

        Ends that the system or the platform caused are not noted.
        """
        self._attempt_ends.append(_AttemptEnd(now, worker, workload, failed))
        suspect = self._records.get(worker)
        if suspect is None or not suspect.on_probation:
            return
        (suspect.failed_workloads if failed else suspect.succeeded_workloads).add(
            workload
        )

    def remove_worker(self, worker: str) -> None:
        """Forget a worker that left."""
        self._records.pop(worker, None)
        self._remove_attempt_ends(worker)

    def update_quarantine(
        self, workers: int, largest_share: float, now: datetime
    ) -> list[QuarantineChange]:
        """Decide which workers enter and leave quarantine.

        ``workers`` is how many the cell has, ``largest_share`` the largest part of
        them that may be quarantined at once.
        """
        while self._attempt_ends and self._attempt_ends[0].time <= now - FAILURE_WINDOW:
            self._attempt_ends.popleft()
        changes = []
        for worker in self.quarantined:
            suspect = self._records[worker]
            if suspect.until <= now:
                suspect.on_probation = True
                self._remove_attempt_ends(worker)
                changes.append(QuarantineChange(worker, False))
        bad = _find_bad_workloads(self._attempt_ends)
        room = int(workers * largest_share) - len(self.quarantined)
        for worker in self._update_probation(bad) + self._find_suspects(bad):
            if room <= 0:
                break
            room -= 1
            self._quarantine(worker, now)
            changes.append(QuarantineChange(worker, True))
        return changes

    def _update_probation(self, bad: set[str]) -> list[str]:
        """Clear workers that run work again; return those that still fail it."""
        relapsed = []
        for worker, suspect in sorted(self._records.items()):
            if not suspect.on_probation:
                continue
            if len(suspect.failed_workloads - bad) >= PROBATION_FAILURES:
                relapsed.append(worker)
            elif len(suspect.succeeded_workloads) >= PROBATION_SUCCESSES:
                del self._records[worker]
        return relapsed

    def _find_suspects(self, bad: set[str]) -> list[str]:
        """Return the workers that fail far more than the cell, the worst first."""
        ended = _group_by_worker(self._attempt_ends, bad)
        failed = _group_by_worker(
            [ending for ending in self._attempt_ends if ending.failed], bad
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
            others = others_failed / others_ended if others_ended else 0.0
            if rate >= MIN_FAILURE_RATE and rate >= MIN_RATE_RATIO * others:
                found.append((-rate, -len(workloads), worker))
        return [worker for _, _, worker in sorted(found)]

    def _quarantine(self, worker: str, now: datetime) -> None:
        """Quarantine a worker, for longer than the last time."""
        earlier = self._records.get(worker)
        length = INITIAL_QUARANTINE
        if earlier is not None:
            length = min(2 * earlier.duration, MAX_QUARANTINE)
        self._records[worker] = _QuarantineRecord(now + length, length)

    def _remove_attempt_ends(self, worker: str) -> None:
        """Forget how attempts ended on a worker."""
        kept = [ending for ending in self._attempt_ends if ending.worker != worker]
        self._attempt_ends = deque(kept)


def _group_by_worker(
    endings: "list[_AttemptEnd] | deque[_AttemptEnd]", without: set[str]
) -> dict[str, set[str]]:
    """Return the distinct workloads that ended on each worker."""
    groups: dict[str, set[str]] = {}
    for ending in endings:
        if ending.workload not in without:
            groups.setdefault(ending.worker, set()).add(ending.workload)
    return groups


def _find_bad_workloads(endings: deque[_AttemptEnd]) -> set[str]:
    """Return the workloads that fail on most of the workers they tried."""
    tried: dict[str, set[str]] = {}
    failed: dict[str, set[str]] = {}
    for ending in endings:
        tried.setdefault(ending.workload, set()).add(ending.worker)
        if ending.failed:
            failed.setdefault(ending.workload, set()).add(ending.worker)
    bad = set()
    for workload, workers in failed.items():
        if len(workers) < MIN_FAILED_WORKERS:
            continue
        if len(workers) > BAD_WORKLOAD_SHARE * len(tried[workload]):
            bad.add(workload)
    return bad
