"""Holds work to a rate by making it wait its turn."""

from datetime import timedelta

from almondspread.clock import Clock


class RateLimit:
    """Lets ``per_second`` units pass each second, first come, first served.

    A rate of 0 lets everything pass at once.
    """

    def __init__(self, per_second: float, clock: Clock) -> None:
        self.per_second = per_second
        self._clock = clock
        self._free_at = timedelta(0)

    async def take_turn(self, units: int) -> None:
        """Wait until all work taken earlier has passed, then occupy the rate."""
        if self.per_second <= 0:
            return
        now = self._clock.monotonic()
        begin = max(now, self._free_at)
        self._free_at = begin + timedelta(seconds=units / self.per_second)
        if begin > now:
            await self._clock.sleep(begin - now)
