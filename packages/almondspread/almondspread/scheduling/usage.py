"""Protects the other attempts on a worker from excessive use of resources."""

from datetime import datetime

from almondspread.interfaces import AttemptUsage, WorkerReport
from almondspread.resources import Capacity
from almondspread.scheduling.decisions import Decisions
from almondspread.scheduling.failures import FailureTracker
from almondspread.scheduling.tasks import CHECKPOINT, STOP, Attempt

# Above this share of used memory on a worker, attempts that exceed their declared
# memory are evicted.
MEMORY_PRESSURE_THRESHOLD = 0.9
# An attempt that its worker has restarted this often is evicted, so that its task is
# retried after a delay and possibly on another worker.
CRASH_LOOP_RESTARTS = 5


class UsageMonitor:
    """Throttles and evicts attempts by the resource usage that workers report.

    An attempt that uses more memory than it declares is throttled until it ends. If
    the memory of its worker is nearly full, the monitor evicts such attempts, the one
    with the largest excess first, after a checkpoint where the task can write one.
    The monitor also evicts an attempt that its worker has restarted
    ``CRASH_LOOP_RESTARTS`` times. Both evictions count as a failure of the task.
    ``eviction_reasons`` holds the reason for each attempt that the monitor evicted,
    until the attempt has ended.
    """

    def __init__(self, decisions: Decisions, failures: FailureTracker) -> None:
        self.throttled_attempts: set[str] = set()
        self.eviction_reasons: dict[str, str] = {}
        self._decisions = decisions
        self._failures = failures

    def remove_attempt(self, attempt: str) -> str:
        """Remove an ended attempt; return why it was evicted, empty if it was not."""
        self.throttled_attempts.discard(attempt)
        return self.eviction_reasons.pop(attempt, "")

    def handle_report(
        self,
        worker: str,
        report: WorkerReport,
        known: dict[str, Attempt],
        now: datetime,
    ) -> None:
        """Throttle and evict attempts by a worker's report.

        ``known`` holds the reported attempts that the shard knows, by name.
        """
        used = 0
        offenders = []
        for usage in report.running:
            used += usage.memory_mib
            attempt = known.get(usage.attempt)
            if attempt is None or attempt.must_stop or attempt.eviction_mode:
                continue
            if usage.restarts >= CRASH_LOOP_RESTARTS:
                self._evict_crash_looping(attempt, usage, now)
                continue
            excess_mib = usage.memory_mib - attempt.size.memory_mib
            if excess_mib > 0:
                self.throttled_attempts.add(attempt.name)
                offenders.append((excess_mib, attempt.name, attempt))
        if not offenders or not self._decisions.cell.has_worker(worker):
            return
        capacity = self._decisions.cell.worker(worker).capacity
        self._relieve_memory_pressure(capacity, used, offenders)

    def _relieve_memory_pressure(
        self,
        capacity: Capacity,
        used: int,
        offenders: list[tuple[int, str, Attempt]],
    ) -> None:
        """Evict the attempts with the largest excess while memory is nearly full."""
        offenders.sort(reverse=True)
        for excess_mib, name, attempt in offenders:
            if used <= capacity.memory_mib * MEMORY_PRESSURE_THRESHOLD:
                return
            used -= excess_mib + attempt.size.memory_mib
            self.eviction_reasons[name] = f"{excess_mib} MiB over its declared memory"
            state = self._decisions.state.workloads[attempt.workload]
            checkpointable = state.resource.template.checkpointable
            self._decisions.evict_attempt(
                attempt, CHECKPOINT if checkpointable else STOP
            )

    def _evict_crash_looping(
        self, attempt: Attempt, usage: AttemptUsage, now: datetime
    ) -> None:
        """Evict an attempt that crashes repeatedly, so that it is retried later."""
        self.eviction_reasons[attempt.name] = (
            f"it crashed {usage.restarts} times in place"
        )
        self._failures.record_crash(attempt, now)
        self._decisions.evict_attempt(attempt, STOP)
