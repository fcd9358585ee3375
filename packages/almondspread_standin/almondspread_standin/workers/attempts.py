"""One attempt that runs on a stand-in worker."""

from datetime import timedelta

from attrs import define

from almondspread.interfaces import AttemptStart
from almondspread_standin.workers.commands import Program

THROTTLED_RATE = 0.5
NEVER = timedelta.max


@define
class RunningAttempt:
    """An attempt, its lease and its progress, all in the worker's monotonic time.

    ``done`` is the progress made until ``since``, when the rate last changed; the
    rate is 0 while the worker stands still.
    """

    start: AttemptStart
    program: Program
    began: timedelta
    lease_until: timedelta
    since: timedelta
    done: timedelta = timedelta(0)
    rate: float = 1.0
    throttled: bool = False
    restarts: int = 0

    def find_progress(self, now: timedelta) -> timedelta:
        """Return how much of its run time the attempt has behind it."""
        if now <= self.since:
            return self.done
        return self.done + (now - self.since) * self.rate

    def set_rate(self, rate: float, now: timedelta) -> None:
        """Go on at another rate from now."""
        self.done = self.find_progress(now)
        self.since = max(self.since, now)
        self.rate = rate

    def find_completion(self) -> timedelta:
        """Return when the program ends by itself at the present rate."""
        if self.program.run_time is None or self.rate == 0:
            return NEVER
        remaining = max(self.program.run_time - self.done, timedelta(0))
        return self.since + remaining / self.rate
