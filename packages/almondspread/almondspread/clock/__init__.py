"""The clock that is passed to every rule that depends on time."""

from almondspread.clock.clocks import Clock, ManualClock, SystemClock

__all__ = ["Clock", "ManualClock", "SystemClock"]
