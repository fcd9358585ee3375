"""Chooses which waits of tasks are worth a line in the log, and bounds their number."""

from collections.abc import Iterable
from datetime import timedelta

from attrs import define, field

from almondspread.jobs.wait_reasons import DelayCause, WaitReason

# Shorter waits are common while upstreams are full.
WAIT_THRESHOLD = timedelta(seconds=2)
REPEAT_INTERVAL = timedelta(seconds=5)
MAX_TOLD_AT_ONCE = 8
COMMON_CAUSES = (
    DelayCause.NO_PERMITS,
    DelayCause.NO_ROOM,
    DelayCause.WORKSPACE_LIMIT,
    DelayCause.WORKSPACE_SHARE,
)

StepKey = tuple[str, int, int]


@define(frozen=True)
class LongWait:
    """A reason why tasks wait, and for how long tasks of the step have ``waited``."""

    reason: WaitReason
    waited: timedelta


@define(eq=False)
class LongWaits:
    """Remembers since when steps have tasks that do not run, and what was told of them.

    A wait is told once it has lasted for ``WAIT_THRESHOLD``, and then once in a
    ``REPEAT_INTERVAL``. Of more than ``MAX_TOLD_AT_ONCE``, those go first that do not
    only lack room or permits, and of these the ones told of the longest ago.

    >>> waits = LongWaits()
    >>> reason = WaitReason("7f", 0, 1, 3, DelayCause.NO_ROOM)
    >>> [len(waits.choose([reason], timedelta(seconds=n))) for n in (0, 1, 2, 3, 7)]
    [0, 0, 1, 0, 1]
    """

    _since: dict[StepKey, timedelta] = field(factory=dict)
    _told: dict[StepKey, timedelta] = field(factory=dict)

    def choose(self, reasons: Iterable[WaitReason], now: timedelta) -> list[LongWait]:
        """Return the waits to tell of now, given all present ones."""
        by_step: dict[StepKey, list[WaitReason]] = {}
        for reason in reasons:
            by_step.setdefault(reason.key, []).append(reason)
        self._since = {key: self._since.get(key, now) for key in by_step}
        self._told = {key: at for key, at in self._told.items() if key in by_step}
        due = [key for key in by_step if self._is_due(key, now)]
        due.sort(key=lambda key: self._rank(key, by_step[key]))
        chosen: list[LongWait] = []
        for key in due:
            if len(chosen) + len(by_step[key]) > MAX_TOLD_AT_ONCE:
                break
            self._told[key] = now
            waited = now - self._since[key]
            chosen.extend(LongWait(reason, waited) for reason in by_step[key])
        return chosen

    def _is_due(self, key: StepKey, now: timedelta) -> bool:
        """Return whether a step has waited long enough, also since its last line."""
        if now - self._since[key] < WAIT_THRESHOLD:
            return False
        told = self._told.get(key)
        return told is None or now - told >= REPEAT_INTERVAL

    def _rank(
        self, key: StepKey, reasons: list[WaitReason]
    ) -> tuple[bool, timedelta, timedelta]:
        """Return the sort key of a step; the lowest is told of first."""
        is_common = all(reason.cause in COMMON_CAUSES for reason in reasons)
        return is_common, self._told.get(key, timedelta.min), self._since[key]
