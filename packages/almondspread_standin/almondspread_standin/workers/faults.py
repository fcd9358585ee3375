"""Fault switches of a worker."""

from attrs import define


@define(frozen=True)
class WorkerFaults:
    """Which faults a worker shows now.

    ``crash_all`` fails whatever starts or restarts, soon after its start. While
    ``frozen`` the worker stands still: it answers nothing and its tasks make no
    progress, but its monotonic time goes on. ``memory_factor`` is how much of its
    declared memory each task really uses. Callers of a failure domain in
    ``cut_off`` get no answer, and nothing of theirs takes effect.
    ``clock_offset_seconds`` is how far its wall clock is ahead.
    """

    crash_all: bool = False
    frozen: bool = False
    leaving: bool = False
    memory_factor: float = 0.8
    usage_lag_seconds: float = 2.0
    clock_offset_seconds: float = 0.0
    cut_off: tuple[str, ...] = ()
