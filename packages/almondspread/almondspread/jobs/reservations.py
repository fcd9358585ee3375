"""Reservations of upstreams for large tasks that wait until enough room is free.

A task that needs a large part of an upstream could wait forever, because smaller tasks
of less urgent steps fill each gap as it opens. So the upstream on which the task can
start first is reserved for it. Less urgent tasks may still start there, if they end
before the reserved task could start or leave it enough room (backfilling).
"""

from collections.abc import Callable, Iterable
from datetime import timedelta

from attrs import define, field

from almondspread.jobs.ordering import StepRank
from almondspread.jobs.step_progress import StepProgress
from almondspread.jobs.upstreams import Upstream
from almondspread.resources.capacity import Capacity

# A task that needs less than this share of an upstream soon finds a gap.
LARGE_SHARE = 0.25
# Room that is free later than this is not worth holding back what is free now.
MAX_RESERVED_TIME = timedelta(seconds=2)
# At most this share of the upstreams of a service is reserved, and at least one.
MAX_RESERVED_SHARE = 0.34

# Returns when the runs on an upstream are expected to end, and what each of them frees.
ListEnds = Callable[[Upstream], list[tuple[timedelta, Capacity]]]


@define(eq=False)
class Reservation:
    """Room on one upstream for a task of the step ``holder``.

    ``rank`` is the holder's place in the order of steps. The task can start at
    ``ready_at``, and then leaves the capacity ``spare`` to others. The upstream is
    reserved without a break ``since`` that time.
    """

    holder: StepProgress
    rank: StepRank
    ready_at: timedelta
    spare: Capacity
    since: timedelta

    @property
    def is_needed(self) -> bool:
        """Whether the holder still waits for room."""
        return bool(self.holder.waiting) and self.holder.job.ended is None


@define(eq=False)
class Reservations:
    """The reservations of all services, by the name of the upstream.

    ``count_startable`` tells for how many tasks of a step room is of any use.
    """

    count_startable: Callable[[StepProgress], int] = lambda step: len(step.waiting)
    _by_upstream: dict[str, Reservation] = field(factory=dict)
    _before: dict[str, Reservation] = field(factory=dict)

    def list_older(self, begin: timedelta) -> set[str]:
        """Return the upstreams that have been reserved since ``begin`` or longer."""
        older = set()
        for name, reservation in self._by_upstream.items():
            if reservation.since <= begin:
                older.add(name)
        return older

    def is_reserved(self, upstream: Upstream) -> bool:
        """Return whether room on an upstream is reserved."""
        return upstream.name in self._by_upstream

    def find_free(
        self, upstream: Upstream, rank: StepRank, ends_at: timedelta
    ) -> Capacity:
        """Return the capacity that is free for a task that would end at ``ends_at``.

        Steps whose ``rank`` is before the holder's may use all that is free.
        """
        reservation = self._by_upstream.get(upstream.name)
        if reservation is None or rank <= reservation.rank:
            return upstream.free
        if ends_at <= reservation.ready_at or not reservation.is_needed:
            return upstream.free
        return upstream.free.take_smaller(reservation.spare)

    def record_start(
        self, upstream: Upstream, rank: StepRank, ends_at: timedelta, claim: Capacity
    ) -> None:
        """Reduce what a reservation leaves to others by a task that starts there."""
        reservation = self._by_upstream.get(upstream.name)
        if reservation is None or rank <= reservation.rank:
            return
        if ends_at > reservation.ready_at:
            reservation.spare = reservation.spare.minus(claim)

    def find_ready_time(self, holder: StepProgress) -> timedelta | None:
        """Return when the first reserved task of a step can start, if it has any."""
        times = [
            reservation.ready_at
            for reservation in self._by_upstream.values()
            if reservation.holder is holder
        ]
        return min(times, default=None)

    def renew(
        self,
        waiting: Iterable[tuple[StepRank, StepProgress, list[Upstream]]],
        service_size: int,
        list_ends: ListEnds,
        now: timedelta,
    ) -> None:
        """Make new reservations on the upstreams of one service.

        ``waiting`` has the steps with waiting tasks in order of rank, each with the
        upstreams that may run it. ``service_size`` is the number of usable upstreams.
        """
        left = max(1, int(service_size * MAX_RESERVED_SHARE))
        for rank, progress, upstreams in waiting:
            if left <= 0:
                return
            left -= self._reserve(rank, progress, upstreams, list_ends, now, left)

    def clear(self) -> None:
        """Remove all reservations, before new ones are made."""
        self._before, self._by_upstream = self._by_upstream, {}

    def _reserve(
        self,
        rank: StepRank,
        progress: StepProgress,
        upstreams: list[Upstream],
        list_ends: ListEnds,
        now: timedelta,
        limit: int,
    ) -> int:
        """Reserve an upstream for each waiting task; return the number of upstreams.

        A gang is given all its upstreams or none.
        """
        claim = progress.step.claim
        options: list[tuple[timedelta, Upstream, Capacity]] = []
        for upstream in upstreams:
            if upstream.name in self._by_upstream:
                continue
            if claim.share_of(upstream.entry.capacity) < LARGE_SHARE:
                continue
            ready = find_ready_time(upstream, claim, list_ends(upstream), now)
            if ready is not None and ready[0] - now <= MAX_RESERVED_TIME:
                options.append((ready[0], upstream, ready[1].minus(claim)))
        wanted = self.count_startable(progress)
        if progress.step.gang and min(len(options), limit) < wanted:
            return 0
        options.sort(key=lambda option: option[0])
        chosen = options[: min(wanted, limit)]
        for ready_at, upstream, spare in chosen:
            before = self._before.get(upstream.name)
            since = before.since if before is not None else now
            self._by_upstream[upstream.name] = Reservation(
                progress, rank, ready_at, spare, since
            )
        return len(chosen)


def find_ready_time(
    upstream: Upstream,
    claim: Capacity,
    ends: list[tuple[timedelta, Capacity]],
    now: timedelta,
) -> tuple[timedelta, Capacity] | None:
    """Return when an upstream has room for a claim, and what is free then.

    ``ends`` has the expected end of each run and what it frees. The result is ``None``
    if the runs that end free too little.
    """
    free = upstream.free
    if claim.fits_in(free):
        return now, free
    for ends_at, freed in sorted(ends, key=lambda end: end[0]):
        free = free.plus(freed)
        if claim.fits_in(free):
            return max(ends_at, now), free
    return None
