"""Acting on what attempts really use, before their neighbours suffer."""

from datetime import datetime

from almondspread.interfaces import AttemptUsage, WorkerReport
from almondspread.resources import Capacity
from almondspread.scheduling.decisions import Decisions
from almondspread.scheduling.failures import FailureTracker
from almondspread.scheduling.tasks import CHECKPOINT, STOP, Attempt

# With so much of its memory really used, a worker has its worst offender stopped.
MEMORY_PRESSURE_THRESHOLD = 0.9
# An attempt that was started again in place so often goes elsewhere.
CRASH_LOOP_RESTARTS = 5


class UsageMonitor:
    """Throttles and evicts attempts by the usage that workers report.

    An attempt over its declared memory is throttled. Where the worker's memory is
    nearly full it ends, the one furthest over first, with a checkpoint where it can;
    that end counts as a failure. ``evicted`` says why each one had to end.
    """

    def __init__(self, decisions: Decisions, failures: FailureTracker) -> None:
        self.throttled_attempts: set[str] = set()
        self.eviction_reasons: dict[str, str] = {}
        self._decisions = decisions
        self._failures = failures

    def remove_attempt(self, attempt: str) -> str:
        """Forget an attempt that ended; return why it had to, if it had to."""
        self.throttled_attempts.discard(attempt)
        return self.eviction_reasons.pop(attempt, "")

    def handle_report(
        self,
        worker: str,
        report: WorkerReport,
        known: dict[str, Attempt],
        now: datetime,
    ) -> None:
        """Take in the usage of the attempts that run on a worker."""
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
            over = usage.memory_mib - attempt.size.memory_mib
            if over > 0:
                self.throttled_attempts.add(attempt.name)
                offenders.append((over, attempt.name, attempt))
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
        """End the attempts furthest over until the worker's memory is not full."""
        offenders.sort(reverse=True)
        for over, name, attempt in offenders:
            if used <= capacity.memory_mib * MEMORY_PRESSURE_THRESHOLD:
                return
            used -= over + attempt.size.memory_mib
            self.eviction_reasons[name] = f"{over} MiB over its declared memory"
            state = self._decisions.state.workloads[attempt.workload]
            can_save = state.resource.template.checkpointable
            self._decisions.evict_attempt(attempt, CHECKPOINT if can_save else STOP)

    def _evict_crash_looping(
        self, attempt: Attempt, usage: AttemptUsage, now: datetime
    ) -> None:
        """Have an attempt that crashes again and again be tried elsewhere, later."""
        self.eviction_reasons[attempt.name] = (
            f"it crashed {usage.restarts} times in place"
        )
        self._failures.record_crash(attempt, now)
        self._decisions.evict_attempt(attempt, STOP)
