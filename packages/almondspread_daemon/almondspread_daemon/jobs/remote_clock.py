"""The monotonic clock of another process, between the answers that tell it."""

from datetime import timedelta

from almondspread.clock import Clock


class RemoteClock:
    """Estimates another process's time, and bounds it, from the latest answer.

    The estimate is behind by the time that the answer took. The bound is ahead by the
    time that the question took.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._offset = timedelta(0)
        self._highest_offset = timedelta(0)
        self.is_set = False

    def observe(
        self, remote_time: timedelta, asked_at: timedelta | None = None
    ) -> None:
        """Synchronize with the time in an answer that has just arrived.

        The question was sent no earlier than ``asked_at``, by default just now.
        """
        now = self._clock.monotonic()
        self._offset = remote_time - now
        self._highest_offset = remote_time - (now if asked_at is None else asked_at)
        self.is_set = True

    def now(self) -> timedelta:
        """Return the estimate of the remote current time."""
        return self._clock.monotonic() + self._offset

    def to_local(self, remote_time: timedelta) -> timedelta:
        """Convert a remote time to this instance's monotonic time, rather too late."""
        return remote_time - self._offset

    def to_earliest_local(self, remote_time: timedelta) -> timedelta:
        """Return the monotonic time before which a remote time is certainly not over.

        >>> from almondspread.clock import ManualClock
        >>> clock = ManualClock()
        >>> remote = RemoteClock(clock)
        >>> clock.advance(timedelta(seconds=2))
        >>> remote.observe(timedelta(seconds=50), timedelta(seconds=1))
        >>> remote.to_local(timedelta(seconds=60)).total_seconds()
        12.0
        >>> remote.to_earliest_local(timedelta(seconds=60)).total_seconds()
        11.0
        """
        return remote_time - self._highest_offset

    def from_local(self, local_time: timedelta) -> timedelta:
        """Convert a monotonic time of this instance to the remote time."""
        return local_time + self._offset
