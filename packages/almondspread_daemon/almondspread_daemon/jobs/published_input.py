"""What operators have published, as far as this instance knows."""

from collections.abc import Callable, Iterable
from datetime import timedelta

from loguru import logger

from almondspread.clock import Clock
from almondspread.jobs.operator_rows import (
    OperatorRow,
    OperatorRows,
    OperatorRowStates,
)
from almondspread.jobs.ports import OperatorInput
from almondspread_daemon.jobs.metrics import JobMetrics

STORE, MEMBER = "store", "member"


class PublishedInput:
    """The newest known rows of operators, and when they were last the newest.

    ``decode`` returns what rows say, and ``apply`` is called with it after each change.
    The rows come from the store and from members; no order of them brings an older
    state back.
    """

    def __init__(
        self,
        decode: Callable[[tuple[OperatorRow, ...]], OperatorInput],
        apply: Callable[[OperatorInput], None],
        clock: Clock,
        metrics: JobMetrics,
    ) -> None:
        self.rows = OperatorRows()
        self._decode = decode
        self._apply = apply
        self._clock = clock
        self._metrics = metrics
        self._confirmed_at: timedelta | None = None
        metrics.observe_configuration_age(self._measure_age_seconds)

    @property
    def age(self) -> timedelta | None:
        """How long ago the known rows were the newest, ``None`` if never."""
        if self._confirmed_at is None:
            return None
        return self._clock.monotonic() - self._confirmed_at

    def take_all(self, reading: OperatorRowStates) -> None:
        """Take a reading of all rows from the store."""
        self._finish_change(self.rows.replace(reading), STORE)
        self._confirmed_at = self._clock.monotonic()

    def take_changes(self, changes: OperatorRowStates) -> None:
        """Take the rows that have changed by the store's feed; there may be none."""
        self._finish_change(self.rows.merge(changes.rows), STORE)
        self._confirmed_at = self._clock.monotonic()

    def take_from_member(self, rows: Iterable[OperatorRow], member: str) -> None:
        """Take rows that another instance has sent."""
        self._finish_change(self.rows.merge(rows), member)

    def confirm(self, confirmed_at: timedelta) -> None:
        """Note that the known rows were the newest at a time, by a member's word."""
        if self._confirmed_at is None or confirmed_at > self._confirmed_at:
            self._confirmed_at = confirmed_at

    def _finish_change(self, changed: bool, source: str) -> None:
        """Apply the rows if they have changed."""
        if not changed:
            return
        self._metrics.count_row_change(STORE if source == STORE else MEMBER)
        logger.info(
            "operators' rows changed",
            source=source,
            revision=self.rows.revision,
            seconds_unconfirmed=self._measure_age_seconds(),
        )
        self._apply(self._decode(self.rows.list_rows()))

    def _measure_age_seconds(self) -> float | None:
        """Return the age in seconds, ``None`` if the rows were never the newest."""
        return self.age.total_seconds() if self.age is not None else None
