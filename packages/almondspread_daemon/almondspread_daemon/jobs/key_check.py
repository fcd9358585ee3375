"""Checks callers' keys by the configuration in force, and records each refusal.

Neither a key nor its digest is logged, counted or returned.
"""

from collections.abc import Callable
from datetime import timedelta

from expression import Error, Ok, Result
from loguru import logger

from almondspread.clock import Clock
from almondspread.errors import Forbidden, Problem, Unauthenticated, Unavailable
from almondspread.jobs.access import (
    Allowed,
    ConfigurationAge,
    ConfigurationTooOld,
    UnknownKey,
    decide_key,
    decide_owner,
)
from almondspread.jobs.configuration import Configuration, Queue
from almondspread_daemon.jobs.metrics import JobMetrics
from almondspread_daemon.jobs.settings import KeyCheckSettings

UNAUTHENTICATED, FORBIDDEN, OUTDATED = "unauthenticated", "forbidden", "outdated"
# Callers decide how often they are refused, so that the log must not follow them.
LOG_INTERVAL = timedelta(seconds=1)
RETRY_AFTER = timedelta(seconds=1)


class KeyCheck:
    """Decides on requests by their keys.

    ``is_current`` tells whether the configuration was the newest within its time to
    apply, and ``measure_age`` how long ago it was known to be, ``None`` if never.
    """

    def __init__(
        self,
        settings: KeyCheckSettings,
        clock: Clock,
        metrics: JobMetrics,
        is_current: Callable[[], bool],
        measure_age: Callable[[], timedelta | None],
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._is_current = is_current
        self._measure_age = measure_age
        self._logged_at: dict[str, timedelta] = {}
        self._unlogged: dict[str, int] = {}

    def check_key(
        self, configuration: Configuration, queue: Queue, key: str
    ) -> Result[Allowed, Problem]:
        """Return as whom a caller may use a queue, or why it may not."""
        longest = self._settings.revoke_time if self._settings.fail_closed else None
        age = ConfigurationAge(self._is_current(), self._measure_age(), longest)
        decision = decide_key(configuration, queue, key, age)
        match decision:
            case UnknownKey():
                reason = "no key" if decision.is_missing else "unknown key"
                self._record(UNAUTHENTICATED, configuration, queue.name, reason=reason)
                return Error(_make_unauthenticated(decision.is_missing))
            case ConfigurationTooOld():
                self._record(OUTDATED, configuration, queue.name)
                return Error(_make_outdated())
        if decision.workspace:
            self._metrics.count_workspace_request(decision.workspace)
        return Ok(decision)

    def check_owner(
        self, configuration: Configuration | None, caller: Allowed, job: str, owner: str
    ) -> Problem | None:
        """Return why a caller may not ask about a job, ``None`` if it may.

        ``owner`` is the workspace of the job, empty where it is not known.
        """
        decision = decide_owner(caller, owner)
        if isinstance(decision, Allowed):
            return None
        self._record(
            FORBIDDEN, configuration, "", job=job, workspace=decision.workspace
        )
        # The job itself may well have run, for the workspace that it belongs to.
        return Forbidden(
            "the job belongs to another workspace",
            "use the key of the workspace that submitted the job",
            not_run=None,
        )

    def _record(
        self,
        outcome: str,
        configuration: Configuration | None,
        queue: str,
        **inputs: object,
    ) -> None:
        """Count a refusal, and log at most one of each outcome in ``LOG_INTERVAL``.

        The line tells how many were not logged since the one before it.
        """
        self._metrics.count_request(outcome)
        now = self._clock.monotonic()
        logged_at = self._logged_at.get(outcome)
        if logged_at is not None and now < logged_at + LOG_INTERVAL:
            self._unlogged[outcome] = self._unlogged.get(outcome, 0) + 1
            return
        self._logged_at[outcome] = now
        age = self._measure_age()
        logger.info(
            "request refused by its key",
            outcome=outcome,
            queue=queue,
            configuration=configuration.version if configuration else None,
            seconds_unconfirmed=None if age is None else age.total_seconds(),
            unlogged=self._unlogged.pop(outcome, 0),
            **inputs,
        )


def _make_unauthenticated(is_missing: bool) -> Problem:
    """Return the problem of a request without a valid key."""
    message = "the request has no key" if is_missing else "the key is not known"
    return Unauthenticated(message, "send a key of a workspace in the header Api-Key")


def _make_outdated() -> Problem:
    """Return the problem of a key that an old configuration cannot decide on."""
    return Unavailable(
        "the key cannot be checked, as the configuration may be out of date",
        "send the request again, also to another instance",
        not_run=True,
        retry_after_seconds=RETRY_AFTER.total_seconds(),
    )
