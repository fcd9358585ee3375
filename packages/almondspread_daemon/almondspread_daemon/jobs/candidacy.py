"""Decides when an instance may claim the leadership of the cell."""

from datetime import timedelta

from almondspread.clock import Clock
from almondspread.jobs.leases import LeaderRow, is_expired
from almondspread_daemon.jobs.link_messages import Released
from almondspread_daemon.jobs.remote_clock import RemoteClock

# Other instances wait this long for the claim of the successor that a leader named.
SUCCESSOR_CLAIM_TIME = timedelta(milliseconds=1_500)


class Candidacy:
    """Records what one process knows of leaders, and judges claims by it.

    Fencing keeps a wrong claim harmless, but each change of leader delays decisions.
    Therefore a leader is replaced only if it has released or resigned the leadership,
    if its process has ended, or if its lease has expired and it cannot be reached.
    """

    def __init__(
        self, instance: str, incarnation: str, clock: Clock, store_clock: RemoteClock
    ) -> None:
        self._instance = instance
        self._incarnation = incarnation
        self._clock = clock
        self._store_clock = store_clock
        self._ended_incarnations: set[str] = set()
        self._unreachable = ("", -1)
        self._last_led_epoch = 0
        self._resigned_epoch = 0
        self._release: Released | None = None
        self._claim_not_before = timedelta.min

    @property
    def has_release(self) -> bool:
        """Whether a leader has announced a release that is not consumed yet."""
        return self._release is not None

    def record_ended(self, incarnation: str) -> None:
        """Record that the process of a leader counts as ended."""
        self._ended_incarnations.add(incarnation)

    def record_resignation(self, epoch: int) -> None:
        """Record that the leader resigned an epoch; it may lead a later epoch."""
        self._resigned_epoch = max(self._resigned_epoch, epoch)

    def record_unreachable(self, incarnation: str, renewal: int) -> None:
        """Record that a leader could not be reached, with its latest known renewal.

        The record applies until the leader renews its lease again.
        """
        self._unreachable = (incarnation, renewal)

    def record_leadership(self, epoch: int) -> None:
        """Record that this process has begun to lead under an epoch."""
        self._last_led_epoch = epoch

    def record_release(self, release: Released) -> None:
        """Record the release that a leader announces as it stops."""
        self._release = release

    def consume_release(self) -> Released | None:
        """Consume the recorded release; return it if this instance is the successor.

        The successor should claim at once. If the release names another instance, this
        one delays its own claims, because in a slow store rival claims delay the
        successor's.
        """
        release, self._release = self._release, None
        if release is None or not release.successor:
            return None
        if release.successor == self._instance:
            return release
        self._claim_not_before = self._clock.monotonic() + SUCCESSOR_CLAIM_TIME
        return None

    @property
    def must_wait(self) -> bool:
        """Whether this instance must leave the claim to a named successor for now."""
        return self._clock.monotonic() < self._claim_not_before

    def is_own_claim(self, row: LeaderRow) -> bool:
        """Tell whether a claim of this process was stored, but its answer was lost."""
        return row.incarnation == self._incarnation and row.epoch > self._last_led_epoch

    def is_unreachable(self, row: LeaderRow) -> bool:
        """Tell whether the leader could not be reached since its last lease renewal."""
        return (row.incarnation, row.renewal) == self._unreachable

    def may_claim(self, row: LeaderRow) -> bool:
        """Tell whether this instance may replace the leader that the row names.

        An expired lease alone is not enough, because a leader renews late when the
        store is slow. This instance must have failed to reach the leader as well.
        """
        if row.released or self._has_stopped_leading(row):
            return True
        return self.is_unreachable(row) and is_expired(row, self._store_clock.now())

    def _has_stopped_leading(self, row: LeaderRow) -> bool:
        """Tell whether the leader counts as ended, or has resigned its epoch.

        A row of this instance by another incarnation is of an earlier, ended process.
        """
        if (
            row.incarnation in self._ended_incarnations
            or row.epoch <= self._resigned_epoch
        ):
            return True
        is_own_row = row.instance == self._instance
        return is_own_row and row.incarnation != self._incarnation
