"""Fault switches of the platform."""

from attrs import define, field


@define(frozen=True)
class PlatformFaults:
    """Which faults the platform shows now.

    ``down`` answers every call with status 503 and ``silent`` never answers; under
    both, and for callers of a failure domain in ``cut_off``, nothing takes effect.
    The next ``lose_answers`` transactions take effect, but their connection closes
    without an answer. ``store_down`` is ``down`` for the object store alone, and
    ``list_down`` for the instance list.
    """

    down: bool = False
    silent: bool = False
    store_down: bool = False
    list_down: bool = False
    lose_answers: int = 0
    delay_ms: float = 0.0
    list_lag_seconds: float = 0.0
    cut_off: tuple[str, ...] = field(default=())
