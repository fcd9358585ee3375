"""Fault switches of a minion."""

from attrs import define, field

MODES = ("", "close", "half", "late", "never", "refuse", "twice")


@define(frozen=True)
class MinionFaults:
    """Which faults a minion shows now.

    ``mode`` is empty for none; ``close`` runs the request and closes the connection
    without an answer, ``half`` breaks off within the body, ``late`` answers
    ``late_seconds`` after its service time, ``never`` runs the request and does not
    answer, ``refuse`` answers with status 503 and does not run it, ``twice`` sends its
    answer two times. While ``held`` is set, nothing that runs is answered.
    ``leaving`` sets the header that says so; ``connection_close`` closes after each
    answer. Callers of a failure domain in ``cut_off`` get no answer, and nothing of
    theirs runs.
    """

    mode: str = field(default="")
    late_seconds: float = 1.0
    held: bool = False
    leaving: bool = False
    connection_close: bool = False
    cut_off: tuple[str, ...] = ()

    @mode.validator
    def _check_mode(self, _: object, value: str) -> None:
        """Accept the modes above."""
        if value not in MODES:
            raise ValueError(f"mode {value!r} must be one of {', '.join(MODES)}")
