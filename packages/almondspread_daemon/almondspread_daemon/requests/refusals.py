"""Problems that requests are answered with.

A problem with ``not_run`` proves that no minion ran the request, so that sending it
again is safe. An unknown outcome proves nothing: the request may have run.
"""

from datetime import timedelta

from expression import Error, Ok, Result

from almondspread.errors import (
    Conflict,
    OutcomeUnknown,
    Overloaded,
    Problem,
    Unavailable,
)
from almondspread_daemon.peers.request_messages import CallAnswered

DEFAULT_RETRY_AFTER_SECONDS = 1.0
RETRY_WITH_SAME_KEY = "send the request again with the same key"


def refuse_overload(
    service: str, reason: str, retry_after: timedelta | None = None
) -> Problem:
    """Return the refusal of a request for which no slot is free in time.

    ``reason`` completes a sentence that starts with the service. The caller is told
    to retry after ``retry_after``, but not sooner than after 0.1 s.
    """
    seconds = DEFAULT_RETRY_AFTER_SECONDS
    if retry_after is not None:
        seconds = max(0.1, retry_after.total_seconds())
    return Overloaded(
        f"service {service} {reason}",
        "send the request again later",
        not_run=True,
        retry_after_seconds=seconds,
    )


def refuse_no_minion(service: str) -> Problem:
    """Return the refusal while no minion of a service has an owner allowed to send."""
    return Unavailable(
        f"service {service} has no reachable minion",
        "send the request again later, or start minions of the service",
        not_run=True,
        retry_after_seconds=DEFAULT_RETRY_AFTER_SECONDS,
    )


def refuse_past_deadline(service: str) -> Problem:
    """Return the refusal of a request whose deadline passed before it was sent."""
    return Overloaded(
        f"the deadline of the request to {service} passed before it was sent",
        "allow a later deadline, or send the request again later",
        not_run=True,
        retry_after_seconds=DEFAULT_RETRY_AFTER_SECONDS,
    )


def refuse_unreached_minion(minion: str, reason: str) -> Problem:
    """Return the refusal of a request of which its minion received no byte."""
    return Unavailable(
        f"minion {minion} was not reached: {reason}",
        "send the request again",
        not_run=True,
        retry_after_seconds=DEFAULT_RETRY_AFTER_SECONDS,
    )


def report_unknown_outcome(reason: str) -> Problem:
    """Return the problem of a request that was sent but not answered completely."""
    return OutcomeUnknown(
        reason,
        "ask for the recorded answer under the key before sending anything again",
    )


def refuse_unowned_shard(shard: str) -> Problem:
    """Return the refusal while a shard has no known owner."""
    return Unavailable(
        f"shard {shard} has no owner now; this submission was not run",
        RETRY_WITH_SAME_KEY,
        not_run=True,
        retry_after_seconds=DEFAULT_RETRY_AFTER_SECONDS,
    )


def refuse_unreachable_owner(reason: str) -> Problem:
    """Return the refusal of a request if nothing was sent to the owner of its key."""
    return Unavailable(
        f"the owner cannot be reached: {reason}; this submission was not run",
        RETRY_WITH_SAME_KEY,
        not_run=True,
        retry_after_seconds=DEFAULT_RETRY_AFTER_SECONDS,
    )


def refuse_during_handover() -> Problem:
    """Return the refusal while a key's shard is handed over to another instance."""
    return Unavailable(
        "the records of this key are moving to another instance; this submission "
        "was not run",
        RETRY_WITH_SAME_KEY,
        not_run=True,
        retry_after_seconds=DEFAULT_RETRY_AFTER_SECONDS,
    )


def refuse_unjournalled() -> Problem:
    """Return the refusal of a request whose dispatch was not written to the journal."""
    return Unavailable(
        "the dispatch could not be recorded, so nothing was sent",
        RETRY_WITH_SAME_KEY,
        not_run=True,
        retry_after_seconds=2.0,
    )


def refuse_full_shard(shard: str) -> Problem:
    """Return the refusal of a new key while its shard has no room for a record."""
    return Overloaded(
        f"shard {shard} has reached its limit of running or recorded keys",
        "send the request again later, or raise the number of request shards",
        not_run=True,
        retry_after_seconds=60.0,
    )


def refuse_key_conflict(key: str, earlier_not_run: bool | None) -> Problem:
    """Return the refusal of a key that was already used for another payload."""
    return Conflict(
        f"key {key!r} was already used for another payload",
        "use a new key for another request",
        not_run=True,
        earlier_not_run=earlier_not_run,
    )


def report_shutdown() -> Problem:
    """Return the answer to a call that is still open when the instance shuts down."""
    return report_unknown_outcome(
        "the instance shut down before the request was answered; it may have run"
    )


def to_result(
    outcome: CallAnswered | Problem,
) -> Result[CallAnswered, Problem]:
    """Wrap a problem in ``Error`` and an answer in ``Ok``."""
    if isinstance(outcome, Problem):
        return Error(outcome)
    return Ok(outcome)
