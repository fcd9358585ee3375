"""The store's steady clock, as this instance can tell it between two answers."""

from datetime import timedelta

from almondspread.clock import Clock


class StoreClock:
    """Follows the store's clock from the answers that carry it."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._offset = timedelta(0)
        self.is_set = False

    def observe(self, store_time: timedelta) -> None:
        """Take the store's time from an answer that has just come."""
        self._offset = store_time - self._clock.monotonic()
        self.is_set = True

    def now(self) -> timedelta:
        """Return the store's time now."""
        return self._clock.monotonic() + self._offset

    def to_local(self, store_time: timedelta) -> timedelta:
        """Return the monotonic time of this instance at a time of the store."""
        return store_time - self._offset

    def from_local(self, local_time: timedelta) -> timedelta:
        """Return the store's time at a monotonic time of this instance."""
        return local_time + self._offset
