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
from almondspread.jobs.service_upstreams import ServiceUpstreams
from almondspread.jobs.step_progress import StepProgress
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
        service: ServiceUpstreams,
        find_free: FindFree,
        advice: AdviceTiming,
        tasks: int,
        ready_at: timedelta | None,
        now: timedelta,
    ) -> AskPermits | None:
        """Return a request for permits for ``tasks`` of a step, if one is due.

        None is due while an earlier one is pending, or if its answer would not let any
        task start. ``ready_at`` is when the step has room on a reserved upstream.
        """
        if not progress.permits.may_ask(now):
            return None
        askable = list_with_room(progress, service, find_free, tasks, now)
        if ready_at is not None or progress.permits.is_unknown:
            askable += list_without_room(progress, service, askable, now)
        share = self.allowed_shares.find(progress.job.submission.queue)
        names = choose_asked(progress, askable, share, tasks)
        if not names:
            progress.permits.postpone(now)
            return None
        progress.permits.record_request(names, now)
        logger.info(
            "permits requested",
            job=progress.job.submission.job,
            step=progress.number,
            waiting=tasks,
            upstreams=len(names),
        )
        duration = advice.decision_time + advice.time_per_upstream * len(names)
        return AskPermits(*progress.key, names, duration.total_seconds())


def estimate_request_time(timing: AdviceTiming, count: int) -> timedelta:
    """Return how long a request that names ``count`` upstreams is expected to take."""
    return timing.decision_time + timing.time_per_upstream * count + REQUEST_OVERHEAD


def list_with_room(
    progress: StepProgress,
    service: ServiceUpstreams,
    find_free: FindFree,
    tasks: int,
    now: timedelta,
) -> list[AskableUpstream]:
    """Return upstreams that a request may name and that have room now, at most a few.

    Denied upstreams and those with a valid ticket are not among them.
    """
    found = []
    for upstream in service.list_with_room(progress.step.claim):
        if not _may_name(progress, upstream, now):
            continue
        room = count_room(progress, upstream, find_free(upstream), tasks)
        if room:
            found.append(AskableUpstream(upstream, room))
        if len(found) >= MAX_UPSTREAMS_PER_REQUEST:
            break
    return found


def list_without_room(
    progress: StepProgress,
    service: ServiceUpstreams,
    listed: list[AskableUpstream],
    now: timedelta,
) -> list[AskableUpstream]:
    """Return further upstreams that could run a task of the step if they were idle."""
    found: list[AskableUpstream] = []
    names = {candidate.upstream.name for candidate in listed}
    for _, upstream in service.by_free:
        if len(names) + len(found) >= MAX_UPSTREAMS_PER_REQUEST:
            break
        if upstream.name in names or not _may_name(progress, upstream, now):
            continue
        if progress.step.claim.fits_in(upstream.entry.capacity):
            found.append(AskableUpstream(upstream, 0))
    return found


def _may_name(progress: StepProgress, upstream: Upstream, now: timedelta) -> bool:
    """Return whether a request may name an upstream, whatever room that has."""
    permits = progress.permits
    if upstream.name in permits.denied:
        return False
    if permits.find_ticket(upstream.name, now) is not None:
        return False
    return upstream.has_label(progress.step.required_label)


def count_room(
    progress: StepProgress, upstream: Upstream, free: Capacity, tasks: int
) -> int:
    """Return how many of some tasks of a step fit in what is free of an upstream."""
    step = progress.step
    room = min(tasks, step.claim.count_in(free))
    if step.spread_limit:
        room = min(room, step.spread_limit - upstream.count_step(progress.key))
    return max(room, 0)


def choose_asked(
    progress: StepProgress,
    askable: list[AskableUpstream],
    allowed_share: float,
    tasks: int,
) -> tuple[str, ...]:
    """Return the names of the upstreams that a request for ``tasks`` should name.

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
    needed = EXCESS_FACTOR * tasks
    for candidate in sorted(askable, key=rank)[:MAX_UPSTREAMS_PER_REQUEST]:
        if expected >= needed and len(names) >= MIN_UPSTREAMS_PER_REQUEST:
            break
        name = candidate.upstream.name
        names.append(name)
        expected += candidate.room * (1.0 if name in allowed else allowed_share)
    return tuple(names)
