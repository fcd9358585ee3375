"""Choice of the upstreams that a step asks the advice service about.

The service takes time for each upstream that a request names, and this time is part of
the wait of the step's first task. A step therefore names only as many upstreams as it
is likely to need, beginning with those that have room.
"""

from collections.abc import Callable
from datetime import timedelta

from attrs import define, field
from loguru import logger

from almondspread.jobs.configuration import AdviceTiming
from almondspread.jobs.messages import AskPermits, PermitsAnswered
from almondspread.jobs.permits import AllowedShares
from almondspread.jobs.progress import StepProgress
from almondspread.jobs.upstreams import Upstream
from almondspread.resources.capacity import Capacity

MAX_UPSTREAMS_PER_REQUEST = 64
# Other steps may take the room while the service decides, so more is asked for than
# the waiting tasks need.
EXCESS_FACTOR = 2.0
# A rejected request costs more time than a few further names.
MIN_UPSTREAMS_PER_REQUEST = 16
# The way to the service and back, and the time between two passes of the scheduler.
REQUEST_OVERHEAD = timedelta(milliseconds=150)

FindFree = Callable[[Upstream], Capacity]


@define(frozen=True)
class AskableUpstream:
    """An upstream that a request may name, and how many tasks it has room for now."""

    upstream: Upstream
    room: int


@define(eq=False)
class PermitRequester:
    """Orders requests for permits, and records their answers.

    ``allowed_shares`` learns how many of the upstreams in a request are allowed.
    """

    allowed_shares: AllowedShares = field(factory=AllowedShares)

    def record_answer(
        self, progress: StepProgress, answer: PermitsAnswered, now: timedelta
    ) -> None:
        """Store the permits for a step, if the advice service has granted any."""
        asked = progress.permits.requested
        progress.permits.record_answer(answer.tickets, answer.validity, now)
        if answer.tickets is None:
            return
        queue = progress.job.submission.queue
        self.allowed_shares.record(queue, asked, answer.tickets)
        logger.info(
            "permits granted",
            job=answer.job,
            step=answer.step,
            upstreams=len(answer.tickets),
            asked=len(asked),
            validity=answer.validity.total_seconds(),
        )

    def request(
        self,
        progress: StepProgress,
        suitable: list[Upstream],
        find_free: FindFree,
        ready_at: timedelta | None,
        now: timedelta,
    ) -> AskPermits | None:
        """Return a request for permits for a step, ``None`` if none is due.

        None is due while an earlier one is pending, or if its answer would not let any
        task start. ``ready_at`` is when the step has room on a reserved upstream.
        """
        if not progress.permits.may_ask(now):
            return None
        askable = [
            candidate
            for candidate in list_askable(progress, suitable, find_free)
            if progress.permits.find_ticket(candidate.upstream.name, now) is None
        ]
        is_useful = ready_at is not None or progress.permits.is_unknown
        if not is_useful and not any(candidate.room for candidate in askable):
            progress.permits.postpone(now)
            return None
        share = self.allowed_shares.find(progress.job.submission.queue)
        names = choose_asked(progress, askable, share)
        if not names:
            progress.permits.postpone(now)
            return None
        progress.permits.record_request(names, now)
        logger.info(
            "permits requested",
            job=progress.job.submission.job,
            step=progress.number,
            waiting=len(progress.waiting),
            upstreams=len(names),
        )
        return AskPermits(*progress.key, names)


def estimate_request_time(timing: AdviceTiming, count: int) -> timedelta:
    """Return how long a request that names ``count`` upstreams is expected to take."""
    return timing.decision_time + timing.time_per_upstream * count + REQUEST_OVERHEAD


def list_askable(
    progress: StepProgress, suitable: list[Upstream], find_free: FindFree
) -> list[AskableUpstream]:
    """Return the upstreams that a request for permits of a step may name.

    These are the ones that could run a task of the step if they were idle, but those
    that the service has denied.
    """
    step = progress.step
    found = []
    for upstream in suitable:
        if upstream.name in progress.permits.denied:
            continue
        if not step.claim.fits_in(upstream.entry.capacity):
            continue
        if not upstream.has_label(step.required_label):
            continue
        room = count_room(progress, upstream, find_free(upstream))
        found.append(AskableUpstream(upstream, room))
    return found


def count_room(progress: StepProgress, upstream: Upstream, free: Capacity) -> int:
    """Return how many waiting tasks of a step fit in what is free of an upstream."""
    step = progress.step
    room = min(len(progress.waiting), step.claim.count_in(free))
    if step.spread_limit:
        room = min(room, step.spread_limit - upstream.count_step(progress.key))
    return max(room, 0)


def choose_asked(
    progress: StepProgress, askable: list[AskableUpstream], allowed_share: float
) -> tuple[str, ...]:
    """Return the names of the upstreams that a request should name.

    Upstreams that are known to be allowed come first, then those with the most room.
    ``allowed_share`` is the share of the others that the service is likely to allow.
    """
    allowed = progress.permits.allowed

    def rank(candidate: AskableUpstream) -> tuple[bool, bool, int]:
        upstream = candidate.upstream
        return (
            upstream.name not in allowed,
            not candidate.room,
            -upstream.free.cpu_millis,
        )

    names: list[str] = []
    expected = 0.0
    needed = EXCESS_FACTOR * len(progress.waiting)
    for candidate in sorted(askable, key=rank)[:MAX_UPSTREAMS_PER_REQUEST]:
        if expected >= needed and len(names) >= MIN_UPSTREAMS_PER_REQUEST:
            break
        name = candidate.upstream.name
        names.append(name)
        expected += candidate.room * (1.0 if name in allowed else allowed_share)
    return tuple(names)
