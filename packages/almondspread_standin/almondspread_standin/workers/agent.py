"""The agent on one worker, without its transport."""

import uuid
from datetime import timedelta
from typing import Any

from attrs import define, evolve

from almondspread.clock import Clock
from almondspread.interfaces import (
    AttemptEnd,
    AttemptStart,
    AttemptUsage,
    WorkerExchange,
    WorkerReport,
)
from almondspread.resources import Capacity
from almondspread_standin.workers.attempts import (
    NEVER,
    THROTTLED_RATE,
    RunningAttempt,
)
from almondspread_standin.workers.commands import CRASH_DELAY, Program, parse_command
from almondspread_standin.workers.faults import WorkerFaults
from almondspread_standin.workers.ledger import Ledger

RESTART_DELAY = timedelta(seconds=1)
END_MEMORY = timedelta(hours=1)


@define(frozen=True)
class _KnownEnd:
    """An end that the worker remembers, acknowledged or not."""

    end: AttemptEnd
    moment: timedelta


class WorkerAgent:
    """Runs attempts under leases by its own monotonic time.

    It runs whatever it is told to, also beyond its capacity, and leaves it to the
    ledger to record that. What is due takes effect at the moment when it was due,
    whenever :meth:`settle` is called next. ``renewed_at`` is when the latest renewals
    came, ``longest_gap`` the longest time between two of them.
    """

    def __init__(
        self, name: str, capacity: Capacity, clock: Clock, ledger: Ledger
    ) -> None:
        self.name = name
        self.capacity = capacity
        self.faults = WorkerFaults()
        self.alive = True
        self.renewed_at = clock.monotonic()
        self.longest_gap = timedelta(0)
        self._clock = clock
        self._ledger = ledger
        self._running: dict[str, RunningAttempt] = {}
        self._unacknowledged: dict[str, AttemptEnd] = {}
        self._known_ends: dict[str, _KnownEnd] = {}
        self._incarnation = uuid.uuid4().hex

    @property
    def running(self) -> tuple[str, ...]:
        """The attempts that run now."""
        self.settle()
        return tuple(self._running)

    def exchange(self, message: WorkerExchange) -> WorkerReport:
        """Do what an owner asks and report what runs and what has ended."""
        self.settle()
        now = self._clock.monotonic()
        refused = self._find_refusal(message)
        if refused:
            return self._report(now, refused)
        for attempt in message.acknowledged:
            self._unacknowledged.pop(attempt, None)
        for attempt in message.stops:
            self._stop(attempt, "", now)
        for attempt in message.checkpoints:
            self._checkpoint(attempt, now)
        for start in message.starts:
            self._start(start, now)
        for attempt in message.renewals:
            self._renew(attempt, message.lease_seconds, now)
        if message.renewals:
            self.longest_gap = max(self.longest_gap, now - self.renewed_at)
            self.renewed_at = now
        for attempt in message.throttles:
            self._throttle(attempt, now)
        self.settle()
        return self._report(now)

    def _find_refusal(self, message: WorkerExchange) -> str:
        """Return why nothing of an exchange is done, empty where it is."""
        wall_time = self._clock.now().timestamp() + self.faults.clock_offset_seconds
        if wall_time > message.expires:
            return "the exchange came after its expiry"
        if message.incarnation != self._incarnation:
            return "the exchange is not for this start of the agent"
        return ""

    def settle(self) -> None:
        """Let every lapse, end and restart take effect that is due by now."""
        now = self._clock.monotonic()
        while True:
            due, attempt = self._find_next_event()
            if attempt is None or due > now:
                break
            self._handle_event(self._running[attempt], due)

    def set_faults(self, **changes: Any) -> None:
        """Set the named fault switches and leave the others as they are."""
        self.settle()
        was_frozen = self.faults.frozen
        self.faults = evolve(self.faults, **changes)
        if self.faults.frozen == was_frozen:
            return
        now = self._clock.monotonic()
        for running in self._running.values():
            running.set_rate(self._find_rate(running), now)

    def restart(self) -> None:
        """Start the agent again: what ran is gone, and so is all memory of it."""
        self.settle()
        for running in list(self._running.values()):
            self._remove(running)
        self._unacknowledged.clear()
        self._known_ends.clear()
        self._incarnation = uuid.uuid4().hex

    def die(self) -> None:
        """Lose power: everything stops, and nothing is reported ever again."""
        self.settle()
        self.alive = False
        for running in list(self._running.values()):
            self._remove(running)

    def _find_next_event(self) -> tuple[timedelta, str | None]:
        """Return the attempt whose lease or program ends first, and when."""
        first: tuple[timedelta, str | None] = (NEVER, None)
        for attempt, running in self._running.items():
            due = min(running.lease_until, running.find_completion())
            if due < first[0]:
                first = (due, attempt)
        return first

    def _handle_event(self, running: RunningAttempt, due: timedelta) -> None:
        """End or restart an attempt whose lease or program ended at ``due``."""
        if running.lease_until <= due:
            self._end(running, "lapsed", "the lease lapsed", due)
            return
        if not running.program.fails:
            self._end(running, "finished", "", due)
            return
        if running.start.restart:
            running.restarts += 1
            running.done = timedelta(0)
            running.since = due + RESTART_DELAY
            running.program = self._choose_program(running.start, running.program)
            return
        self._end(running, "failed", "exit status 1", due)

    def _start(self, start: AttemptStart, now: timedelta) -> None:
        """Start an attempt unless it runs, has ended or comes too late."""
        attempt = start.attempt
        if attempt in self._running or self._report_known_end(attempt):
            return
        wall_time = self._clock.now().timestamp() + self.faults.clock_offset_seconds
        if wall_time > start.start_before:
            reason = "the start came after its expiry"
            self._record_end(AttemptEnd(attempt, "refused", reason), now)
            return
        parsed = parse_command(start.command)
        if parsed.is_error():
            self._record_end(AttemptEnd(attempt, "failed", parsed.error), now)
            return
        self._run(start, self._choose_program(start, parsed.ok), now)

    def _run(self, start: AttemptStart, program: Program, now: timedelta) -> None:
        """Begin to run an attempt, after its checkpoint if it has one."""
        lease_until = now + timedelta(seconds=start.lease_seconds)
        running = RunningAttempt(start, program, now, lease_until, now)
        running.done = read_checkpoint(start.checkpoint)
        self._running[start.attempt] = running
        self._ledger.begin(start.attempt, start.size, self, now)

    def _choose_program(self, start: AttemptStart, program: Program) -> Program:
        """Return what an attempt really does on this worker."""
        if self.faults.crash_all:
            return Program(CRASH_DELAY, fails=True)
        parsed = parse_command(start.command)
        if parsed.is_error():
            return program
        return parsed.ok

    def _renew(self, attempt: str, lease_seconds: float, now: timedelta) -> None:
        """Give a running attempt a lease from now; report one that is not known."""
        running = self._running.get(attempt)
        if running is not None:
            running.lease_until = now + timedelta(seconds=lease_seconds)
            return
        if self._report_known_end(attempt):
            return
        reason = "the worker restarted and does not know the attempt"
        self._record_end(AttemptEnd(attempt, "lost", reason), now)

    def _stop(self, attempt: str, checkpoint: str, now: timedelta) -> None:
        """Stop an attempt; one that never started is refused from now on."""
        running = self._running.get(attempt)
        if running is not None:
            self._end(running, "stopped", "it was told to stop", now, checkpoint)
            return
        if self._report_known_end(attempt):
            return
        reason = "it was stopped before it started"
        self._record_end(AttemptEnd(attempt, "refused", reason), now)

    def _checkpoint(self, attempt: str, now: timedelta) -> None:
        """Stop an attempt and keep how far it came."""
        running = self._running.get(attempt)
        if running is None:
            self._stop(attempt, "", now)
            return
        self._stop(attempt, write_checkpoint(running.find_progress(now)), now)

    def _throttle(self, attempt: str, now: timedelta) -> None:
        """Slow an attempt down for the rest of its run."""
        running = self._running.get(attempt)
        if running is None or running.throttled:
            return
        running.throttled = True
        running.set_rate(self._find_rate(running), now)

    def _find_rate(self, running: RunningAttempt) -> float:
        """Return how fast an attempt makes progress now."""
        if self.faults.frozen:
            return 0.0
        return THROTTLED_RATE if running.throttled else 1.0

    def _report_known_end(self, attempt: str) -> bool:
        """Report the end of an attempt once more, if it has ended."""
        known = self._known_ends.get(attempt)
        if known is None:
            return False
        self._unacknowledged[attempt] = known.end
        return True

    def _record_end(self, end: AttemptEnd, moment: timedelta) -> None:
        """Report an end until it is acknowledged, and remember it for longer."""
        self._known_ends[end.attempt] = _KnownEnd(end, moment)
        self._unacknowledged[end.attempt] = end

    def _end(
        self,
        running: RunningAttempt,
        outcome: str,
        reason: str,
        moment: timedelta,
        checkpoint: str = "",
    ) -> None:
        """Take an attempt from what runs and report its end until acknowledged."""
        self._remove(running)
        end = AttemptEnd(
            running.start.attempt,
            outcome,
            reason,
            (moment - running.began).total_seconds(),
            self._measure_memory(running),
            checkpoint,
        )
        self._record_end(end, moment)

    def _remove(self, running: RunningAttempt) -> None:
        """Take an attempt from what runs."""
        del self._running[running.start.attempt]
        self._ledger.end(running.start.attempt, running.start.size, self)

    def _measure_memory(self, running: RunningAttempt) -> int:
        """Return the memory that an attempt really uses, in MiB."""
        declared = running.start.size.memory_mib
        used = round(declared * self.faults.memory_factor)
        return min(used, declared) if running.throttled else used

    def _report(self, now: timedelta, refused: str = "") -> WorkerReport:
        """Return what runs and what has ended, and forget old ends."""
        self._forget_old_ends(now)
        usages: list[AttemptUsage] = []
        for attempt, running in self._running.items():
            usages.append(self._measure_usage(attempt, running, now))
        ended = tuple(self._unacknowledged.values())
        return WorkerReport(
            tuple(usages), ended, self.faults.leaving, self._incarnation, refused
        )

    def _forget_old_ends(self, now: timedelta) -> None:
        """Forget ends so old that no start of their attempts can be on its way."""
        while self._known_ends:
            oldest = next(iter(self._known_ends))
            if now - self._known_ends[oldest].moment <= END_MEMORY:
                return
            del self._known_ends[oldest]

    def _measure_usage(
        self, attempt: str, running: RunningAttempt, now: timedelta
    ) -> AttemptUsage:
        """Return the usage of an attempt as it was some time ago."""
        age = (now - running.began).total_seconds()
        if age < self.faults.usage_lag_seconds:
            return AttemptUsage(attempt, 0, 0)
        cpu = round(running.start.size.cpu_millis * running.rate)
        memory = self._measure_memory(running)
        return AttemptUsage(attempt, memory, cpu, running.restarts)


def write_checkpoint(progress: timedelta) -> str:
    """Return a checkpoint as text.

    >>> write_checkpoint(timedelta(seconds=2.5))
    '2.500000'
    """
    return f"{progress.total_seconds():.6f}"


def read_checkpoint(text: str) -> timedelta:
    """Return the progress that a checkpoint holds, none for text that is not one."""
    try:
        return timedelta(seconds=float(text))
    except (ValueError, OverflowError):
        return timedelta(0)
