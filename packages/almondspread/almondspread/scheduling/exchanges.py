"""What an owner tells a worker: its run list as starts, renewals and stops."""

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
    """Return what to tell a worker now; ``now`` is UTC seconds.

    What the journal has not committed is left out. An attempt that is to be
    throttled goes on and has its lease renewed.
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
    """Return the start of an attempt."""
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
