"""The clock of an upstream, as its answers tell it."""

from datetime import timedelta

from attrs import define

from almondspread.clock import Clock


@define(eq=False)
class UpstreamClock:
    """Estimates the monotonic time of one incarnation of an upstream.

    ``_reading`` has the newest time that an answer told, and the local time then.
    """

    _clock: Clock
    _reading: tuple[timedelta, timedelta] | None = None

    def read(self) -> timedelta | None:
        """Return the upstream's current time, ``None`` before the first answer."""
        if self._reading is None:
            return None
        upstream_time, local_time = self._reading
        return upstream_time + (self._clock.monotonic() - local_time)

    def observe(self, upstream_time: timedelta) -> bool:
        """Record the time that an answer tells; return whether it is the newest."""
        if self._reading is not None and upstream_time < self._reading[0]:
            return False
        self._reading = (upstream_time, self._clock.monotonic())
        return True
