"""The truth of what runs where, kept apart from what anyone reports."""

from datetime import timedelta
from typing import Protocol

from attrs import define

from almondspread.resources import Capacity


def find_task(attempt: str) -> str:
    """Return the task of an attempt, which is all before its last slash.

    >>> find_task("batch/night/7/2")
    'batch/night/7'
    """
    return attempt.rpartition("/")[0] or attempt


class Host(Protocol):
    """What the ledger needs of the worker on which an attempt runs."""

    name: str
    capacity: Capacity

    def settle(self) -> None:
        """Let everything take effect that is due by now."""


@define(frozen=True)
class DoubleRun:
    """A task that began to run while another run of it had not ended."""

    task: str
    first_attempt: str
    first_worker: str
    second_attempt: str
    second_worker: str
    moment: timedelta


@define(frozen=True)
class RepeatedAttempt:
    """An attempt that was started afresh after it had ended."""

    attempt: str
    worker: str
    moment: timedelta


@define(frozen=True)
class OverCommitment:
    """A worker whose running attempts were declared larger than it is."""

    worker: str
    committed: Capacity
    capacity: Capacity
    moment: timedelta


@define(frozen=True)
class LedgerCounters:
    """A summary of the ledger."""

    running: int
    started: int
    over_commitments: int
    double_runs: int
    repeated_attempts: int


@define(frozen=True)
class _Run:
    """One attempt that runs on one worker."""

    attempt: str
    host: Host


class Ledger:
    """Records every begin and end on all workers and what must never happen."""

    def __init__(self) -> None:
        self.over_commitments: list[OverCommitment] = []
        self.double_runs: list[DoubleRun] = []
        self.repeated_attempts: list[RepeatedAttempt] = []
        self._runs: dict[str, list[_Run]] = {}
        self._committed: dict[str, Capacity] = {}
        self._started: set[str] = set()
        self._running = 0

    def begin(
        self, attempt: str, size: Capacity, host: Host, moment: timedelta
    ) -> None:
        """Record that an attempt begins to run on a worker.

        The workers of other runs of its task settle first, so that a run which is
        due to have ended by now does not count as one that goes on.
        """
        task = find_task(attempt)
        for run in list(self._runs.get(task, ())):
            if run.host is not host:
                run.host.settle()
        for run in self._runs.get(task, ()):
            self.double_runs.append(
                DoubleRun(task, run.attempt, run.host.name, attempt, host.name, moment)
            )
        if attempt in self._started:
            self.repeated_attempts.append(RepeatedAttempt(attempt, host.name, moment))
        self._started.add(attempt)
        self._running += 1
        self._runs.setdefault(task, []).append(_Run(attempt, host))
        self._commit(size, host, moment)

    def end(self, attempt: str, size: Capacity, host: Host) -> None:
        """Record that an attempt no longer runs on a worker."""
        task = find_task(attempt)
        remaining: list[_Run] = []
        for run in self._runs.get(task, ()):
            if run.host is host and run.attempt == attempt:
                self._running -= 1
                continue
            remaining.append(run)
        if remaining:
            self._runs[task] = remaining
        else:
            self._runs.pop(task, None)
        self._committed[host.name] = self._committed[host.name].minus(size)

    def find_committed(self, worker: str) -> Capacity:
        """Return the sum of the declared sizes that run on a worker."""
        return self._committed.get(worker, Capacity(0, 0, 0))

    def count_running(self, prefix: str) -> int:
        """Return how many attempts run now whose task starts with ``prefix``."""
        running = 0
        for task, runs in self._runs.items():
            if task.startswith(prefix):
                running += len(runs)
        return running

    def count(self) -> LedgerCounters:
        """Return a summary."""
        return LedgerCounters(
            self._running,
            len(self._started),
            len(self.over_commitments),
            len(self.double_runs),
            len(self.repeated_attempts),
        )

    def _commit(self, size: Capacity, host: Host, moment: timedelta) -> None:
        """Add a size to what runs on a worker and record where it is too much."""
        committed = self.find_committed(host.name).plus(size)
        self._committed[host.name] = committed
        if not committed.fits_in(host.capacity):
            self.over_commitments.append(
                OverCommitment(host.name, committed, host.capacity, moment)
            )
