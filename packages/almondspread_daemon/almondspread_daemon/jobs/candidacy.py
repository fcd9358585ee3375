"""When an instance may claim the leadership, by what it has seen of leaders."""

from datetime import timedelta

from almondspread.clock import Clock
from almondspread.jobs.leases import LeaderRow, is_expired
from almondspread_daemon.jobs.links import Released
from almondspread_daemon.jobs.store_clock import StoreClock

# How long others leave the claim to the successor that a leader has named.
SUCCESSOR_CLAIM_TIME = timedelta(milliseconds=1_500)


class Candidacy:
    """What one process knows of leaders.

    Fencing keeps a wrong claim harmless, but each change of leader costs decisions, so
    that a leader is deposed only when it has left, has ended, or neither renews its
    lease nor is heard.
    """

    def __init__(
        self, instance: str, incarnation: str, clock: Clock, store_clock: StoreClock
    ) -> None:
        self._instance = instance
        self._incarnation = incarnation
        self._clock = clock
        self._store_clock = store_clock
        self._gone: set[str] = set()
        self._unheard = ("", -1)
        self._last_epoch = 0
        self._resigned_epoch = 0
        self._release: Released | None = None
        self._claims_from = timedelta.min

    @property
    def has_release(self) -> bool:
        """Whether a leader has told this process of its release."""
        return self._release is not None

    def record_ended(self, incarnation: str) -> None:
        """Note that the process of a leader has surely ended."""
        self._gone.add(incarnation)

    def record_resignation(self, epoch: int) -> None:
        """Note that the leader of an epoch leads no longer; it may do so again."""
        self._resigned_epoch = max(self._resigned_epoch, epoch)

    def record_unreachable(self, incarnation: str, renewal: int) -> None:
        """Note that a leader, as it last renewed its lease, is not heard."""
        self._unheard = (incarnation, renewal)

    def record_leadership(self, epoch: int) -> None:
        """Note that this process has begun to lead."""
        self._last_epoch = epoch

    def record_release(self, release: Released) -> None:
        """Take what a leader says as it leaves."""
        self._release = release

    def consume_release(self) -> Released | None:
        """Return the release by which this instance should claim at once, if any.

        Where another one should, this one waits for a while: in a slow store the claims
        of rivals hold up the successor's.
        """
        release, self._release = self._release, None
        if release is None or not release.successor:
            return None
        if release.successor == self._instance:
            return release
        self._claims_from = self._clock.monotonic() + SUCCESSOR_CLAIM_TIME
        return None

    @property
    def must_wait(self) -> bool:
        """Whether the claim is left to a named successor for now."""
        return self._clock.monotonic() < self._claims_from

    def is_own_claim(self, row: LeaderRow) -> bool:
        """Tell whether a claim of this process has succeeded without its answer."""
        return row.incarnation == self._incarnation and row.epoch > self._last_epoch

    def is_unreachable(self, row: LeaderRow) -> bool:
        """Tell whether a leader could not be reached since it last renewed."""
        return (row.incarnation, row.renewal) == self._unheard

    def may_claim(self, row: LeaderRow) -> bool:
        """Tell whether a leader has left, has ended, or neither renews nor is heard.

        Where the store is slow, a leader renews late; it is asked before it is deposed.
        """
        if row.released or self._is_gone(row):
            return True
        return self.is_unreachable(row) and is_expired(row, self._store_clock.now())

    def _is_gone(self, row: LeaderRow) -> bool:
        """Tell whether the leader has surely ended, or resigned."""
        if row.incarnation in self._gone or row.epoch <= self._resigned_epoch:
            return True
        own = row.instance == self._instance
        return own and row.incarnation != self._incarnation
