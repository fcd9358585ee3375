"""Composition of the exchanges that a shard's owner sends to its workers."""

from datetime import timedelta

from almondspread.interfaces import AttemptStart, WorkerExchange
from almondspread.resources import Service
from almondspread.scheduling.leases import LeaseTerms
from almondspread.scheduling.shard_state import ShardState
from almondspread.scheduling.tasks import CHECKPOINT, Attempt

START_EXPIRY = timedelta(seconds=10)
MAX_STARTS_PER_EXCHANGE = 200


def compose_exchange(
    state: ShardState,
    terms: LeaseTerms,
    worker: str,
    now: float,
    acknowledged: tuple[str, ...],
    throttled: set[str],
) -> WorkerExchange:
    """Return the next exchange for a worker; ``now`` is in UTC seconds.

    The exchange has the starts, renewals and stops that follow from the worker's run
    list, without attempts that the journal has not committed yet. The lease of a
    throttled attempt is still renewed. ``acknowledged`` names the attempts whose end
    the worker need not report again, ``throttled`` the attempts to throttle.
    """
    starts: list[AttemptStart] = []
    renewals: list[str] = []
    stops: list[str] = []
    checkpoints: list[str] = []
    throttles: list[str] = []
    for attempt in state.list_attempts(worker):
        if not attempt.committed:
            continue
        if attempt.must_stop:
            stops.append(attempt.name)
            continue
        if attempt.eviction_mode:
            (checkpoints if attempt.eviction_mode == CHECKPOINT else stops).append(
                attempt.name
            )
            continue
        if attempt.acknowledged:
            renewals.append(attempt.name)
            if attempt.name in throttled:
                throttles.append(attempt.name)
            continue
        if len(starts) < MAX_STARTS_PER_EXCHANGE:
            starts.append(_compose_start(state, terms, attempt, now))
    return WorkerExchange(
        starts=tuple(starts),
        renewals=tuple(renewals),
        lease_seconds=terms.lease_duration.total_seconds(),
        stops=tuple(stops),
        checkpoints=tuple(checkpoints),
        throttles=tuple(throttles),
        acknowledged=acknowledged,
        expires=now + terms.delivery_timeout.total_seconds(),
    )


def _compose_start(
    shard: ShardState, terms: LeaseTerms, attempt: Attempt, now: float
) -> AttemptStart:
    """Return the instruction to start an attempt within ``START_EXPIRY``."""
    state = shard.workloads[attempt.workload]
    return AttemptStart(
        attempt=attempt.name,
        size=attempt.size,
        command=state.resource.template.command,
        lease_seconds=terms.lease_duration.total_seconds(),
        start_before=now + START_EXPIRY.total_seconds(),
        restart=isinstance(state.resource, Service),
        checkpoint=state.tasks[attempt.index].checkpoint,
    )
