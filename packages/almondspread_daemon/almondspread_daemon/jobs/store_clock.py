"""An estimate of the store's monotonic clock between its answers."""

from datetime import timedelta

from almondspread.clock import Clock


class StoreClock:
    """Estimates the store's time from the latest answer that carried it."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._offset = timedelta(0)
        self.is_set = False

    def observe(self, store_time: timedelta) -> None:
        """Synchronize with the store's time in an answer that has just arrived."""
        self._offset = store_time - self._clock.monotonic()
        self.is_set = True

    def now(self) -> timedelta:
        """Return the estimate of the store's current time."""
        return self._clock.monotonic() + self._offset

    def to_local(self, store_time: timedelta) -> timedelta:
        """Convert a time of the store to this instance's monotonic time."""
        return store_time - self._offset

    def from_local(self, local_time: timedelta) -> timedelta:
        """Convert a monotonic time of this instance to the store's time."""
        return local_time + self._offset
