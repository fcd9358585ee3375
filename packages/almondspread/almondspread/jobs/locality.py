"""How long a wait for a near place pays, for tasks that are slower elsewhere.

A task whose data is on a rack takes ``remote_factor`` times as long on another one, and
so does a gang that asks for one rack and is spread over several. Such tasks wait while
they are expected to end earlier there than if they start elsewhere now (delay
scheduling). The wait in total is no longer than what the near place saves: a wrong
estimate costs no more than that.
"""

from collections.abc import Callable, Collection, Iterable, Mapping
from datetime import timedelta
from enum import StrEnum
from heapq import heapify, heapreplace

from attrs import define, field

from almondspread.jobs.ordering import FIRST_GROUP, StepRank
from almondspread.jobs.placement import Candidate, Placement
from almondspread.jobs.speeds import UpstreamSpeeds
from almondspread.jobs.step_progress import StepProgress
from almondspread.jobs.submissions import Step
from almondspread.jobs.upstreams import Upstream
from almondspread.resources.capacity import Capacity

# A step that waits is looked at again this often; near places are tried in each pass.
DECISION_INTERVAL = timedelta(milliseconds=100)
# With many steps that wait, each is looked at less often: listing the next places of a
# rack takes some tenths of a millisecond.
REVIEW_SPACING = timedelta(milliseconds=2.5)
# Ends of runs move little in this time, and it takes time to list them.
ENDS_INTERVAL = timedelta(milliseconds=200)
# A gang looks at the racks with the most room, since all racks are too many for a pass.
MAX_GANG_RACKS = 4
NO_ONE: frozenset[int] = frozenset()

# The time at which a place is free, and how long a task runs there.
Slot = tuple[timedelta, timedelta]


class WaitOutcome(StrEnum):
    """Where a task started that has waited for a near place."""

    NEAR = "near"
    FAR = "far"


@define(frozen=True)
class LocalStep:
    """A step with waiting tasks that are slower elsewhere, as the pass has it.

    A task runs for ``duration`` near its data on an upstream of the reference speed.
    ``upstreams`` are the usable ones of its service by name. If the step needs permits,
    ``permitted`` names the upstreams that it has them for. The tasks ``held`` may not
    start yet for other reasons.
    """

    progress: StepProgress
    rank: StepRank
    service: str
    duration: timedelta
    upstreams: Mapping[str, Upstream]
    permitted: Collection[str] | None = None
    held: frozenset[int] = NO_ONE


@define(eq=False)
class _Wait:
    """The tasks of a step that wait ``since`` a time, as was decided last."""

    progress: StepProgress
    since: timedelta
    decided_at: timedelta
    tasks: frozenset[int]


@define(eq=False)
class _NearUpstream:
    """An upstream of a rack, with the ends of its runs as they were at a time."""

    upstream: Upstream
    listed_at: timedelta
    ends: list[tuple[timedelta, Capacity]]


@define(eq=False)
class _Rack:
    """The usable upstreams of a rack, as they were at a time."""

    listed_at: timedelta
    rows: list[_NearUpstream]


def is_far(step: Step, upstream: Upstream) -> bool:
    """Return whether the data of a step's tasks is on another rack."""
    return bool(step.preferred_rack) and step.preferred_rack != upstream.rack


def _count_places(progress: StepProgress, candidate: Candidate) -> int:
    """Return how many tasks of a step a candidate takes now."""
    places = progress.step.claim.count_in(candidate.free)
    limit = progress.step.spread_limit
    if limit:
        places = min(places, limit - candidate.upstream.count_step(progress.key))
    return places


@define(eq=False)
class LocalityWaits:
    """Decides which tasks wait for a near place, and counts how the waits end.

    Nothing waits unless ``remote_factor`` is above 1. ``crowded`` names the services
    in which other tasks found no room in the last pass. ``_taken`` counts the
    ``_slots`` of a service, rack and claim that go to steps with a recent decision.
    """

    speeds: UpstreamSpeeds
    list_ends: Callable[[Upstream, timedelta], list[tuple[timedelta, Capacity]]]
    remote_factor: float = 1.0
    crowded: set[str] = field(factory=set)
    counts: dict[WaitOutcome, int] = field(
        factory=lambda: dict.fromkeys(WaitOutcome, 0)
    )
    _waits: dict[tuple[str, int, int], _Wait] = field(factory=dict)
    _racks: dict[tuple[str, str], _Rack] = field(factory=dict)
    _slots: dict[tuple[str, str, Capacity], list[Slot]] = field(factory=dict)
    _taken: dict[tuple[str, str, Capacity], int] = field(factory=dict)
    _with_room: dict[tuple[str, str, Capacity], list[Upstream]] = field(factory=dict)

    @property
    def waiting(self) -> int:
        """The number of tasks that wait for a near place."""
        return sum(len(wait.tasks) for wait in self._waits.values())

    def begin_pass(self, now: timedelta) -> None:
        """Forget what held for the last pass only, and waits that have ended."""
        self._slots.clear()
        self._taken.clear()
        self._with_room.clear()
        for key, wait in list(self._waits.items()):
            if wait.progress.job.ended is not None or not wait.progress.waiting:
                del self._waits[key]
        for place, rack in list(self._racks.items()):
            if now - rack.listed_at > ENDS_INTERVAL:
                del self._racks[place]

    def end_pass(self, waiting: Iterable[tuple[StepProgress, str]]) -> None:
        """Record in which services tasks still wait, though not for a near place."""
        if self.remote_factor <= 1:
            return
        self.crowded.clear()
        for progress, service in waiting:
            if progress.key not in self._waits:
                self.crowded.add(service)

    def is_waiting(self, progress: StepProgress) -> bool:
        """Return whether tasks of a step wait for a near place."""
        return progress.key in self._waits

    def concerns(self, progress: StepProgress) -> bool:
        """Return whether tasks of a step may wait for a near place.

        Lasting tasks never do, nor those that have been interrupted or have failed.
        """
        step = progress.step
        if self.remote_factor <= 1 or step.lasting or step.opportunistic:
            return False
        if progress.interrupted or progress.losses or progress.failed_runs:
            return False
        if progress.avoided_upstreams or step.claim == Capacity(0, 0, 0):
            return False
        # An earlier leader has seen the tasks with a checkpoint interrupted.
        if not progress.checkpoints.keys().isdisjoint(progress.waiting):
            return False
        return step.same_rack if step.gang else bool(step.preferred_rack)

    def narrow(
        self, step: LocalStep, upstreams: Iterable[Upstream], now: timedelta
    ) -> Iterable[Upstream]:
        """Return the upstreams to look at for a step.

        These are the near ones, or none for a gang, if all its tasks are to wait.
        """
        progress = step.progress
        if not self._is_decided(progress, now):
            return upstreams
        if progress.step.gang:
            return ()
        rack = self._find_rack(step, progress.step.preferred_rack, now)
        key = (step.service, progress.step.preferred_rack, progress.step.claim)
        self._taken[key] = self._taken.get(key, 0) + len(progress.waiting)
        near = self._list_with_room(step, rack)
        names = step.permitted
        return [each for each in near if names is None or each.name in names]

    def _list_with_room(self, step: LocalStep, rack: _Rack) -> list[Upstream]:
        """Return the upstreams of a rack that have room for a task of a step.

        None of them gains room in a pass, so that the next steps of the pass look only
        at those that had room before.
        """
        claim = step.progress.step.claim
        key = (step.service, step.progress.step.preferred_rack, claim)
        before = self._with_room.get(key, [row.upstream for row in rack.rows])
        found = []
        for upstream in before:
            usable = step.upstreams.get(upstream.name) is upstream
            if usable and claim.fits_in(upstream.free):
                found.append(upstream)
        self._with_room[key] = found
        return found

    def _is_decided(self, progress: StepProgress, now: timedelta) -> bool:
        """Return whether it was decided lately that all tasks of a step wait."""
        wait = self._waits.get(progress.key)
        if wait is None or not wait.tasks.issuperset(progress.waiting):
            return False
        interval = max(DECISION_INTERVAL, len(self._waits) * REVIEW_SPACING)
        return now - wait.decided_at < interval

    def choose_held(
        self, step: LocalStep, candidates: list[Candidate], now: timedelta
    ) -> frozenset[int]:
        """Return the waiting tasks that are to wait on for a near place."""
        progress = step.progress
        if self._is_decided(progress, now):
            return NO_ONE
        known = self._waits.get(progress.key)
        since = known.since if known is not None else now
        if progress.step.gang:
            held = self._hold_gang(step, candidates, since, now)
        else:
            held = self._hold_tasks(step, candidates, since, now)
        if held:
            self._waits[progress.key] = _Wait(progress, since, now, held)
        return held

    def record_placements(
        self, progress: StepProgress, placements: list[Placement]
    ) -> None:
        """Count where tasks start that have waited, and end their waits."""
        wait = self._waits.get(progress.key)
        if wait is None or not placements:
            return
        racks = {placement.upstream.rack for placement in placements}
        for placement in placements:
            if placement.index not in wait.tasks:
                continue
            far = is_far(progress.step, placement.upstream)
            if progress.step.gang:
                far = len(racks) > 1
            self.counts[WaitOutcome.FAR if far else WaitOutcome.NEAR] += 1
        wait.tasks -= {placement.index for placement in placements}
        if not wait.tasks:
            del self._waits[progress.key]

    def _hold_tasks(
        self,
        step: LocalStep,
        candidates: list[Candidate],
        since: timedelta,
        now: timedelta,
    ) -> frozenset[int]:
        """Return the tasks that wait for the rack of their data."""
        progress = step.progress
        far = []
        near_now = 0
        for candidate in candidates:
            if is_far(progress.step, candidate.upstream):
                far.append(candidate.upstream)
            else:
                near_now += _count_places(progress, candidate)
        indexes = [index for index in progress.waiting if index not in step.held]
        indexes = indexes[near_now:]
        rack = progress.step.preferred_rack
        slots = self._take_slots(step, rack, len(indexes), now)
        if not far:
            return NO_ONE
        held = 0
        for slot in slots:
            if not self._pays(step, slot, far, since, now):
                break
            held += 1
        return frozenset(indexes[len(indexes) - held :])

    def _hold_gang(
        self,
        step: LocalStep,
        candidates: list[Candidate],
        since: timedelta,
        now: timedelta,
    ) -> frozenset[int]:
        """Return all tasks of a gang if it is to wait for one rack."""
        count = step.progress.step.count
        places: dict[str, int] = {}
        for candidate in candidates:
            rack = candidate.upstream.rack
            places[rack] = places.get(rack, 0) + _count_places(step.progress, candidate)
        if sum(places.values()) < count or max(places.values()) >= count:
            return NO_ONE
        racks = sorted(places, key=lambda rack: -places[rack])[:MAX_GANG_RACKS]
        far = [candidate.upstream for candidate in candidates]
        for rack in racks:
            slots = self._list_slots(step, rack, now)
            slots.sort()
            missing = count - places[rack]
            if len(slots) < missing:
                continue
            if self._pays(step, slots[missing - 1], far, since, now):
                return frozenset(step.progress.waiting)
        return NO_ONE

    def _pays(
        self,
        step: LocalStep,
        slot: Slot,
        far: list[Upstream],
        since: timedelta,
        now: timedelta,
    ) -> bool:
        """Return whether a task is to wait for a slot, and start on no ``far`` place.

        Where others wait for room, they lose the time that a far run takes longer.
        """
        ready_at, near_time = slot
        fastest = max(map(self.speeds.find_speed, far))
        far_time = step.duration * (self.remote_factor / fastest)
        saved = far_time - near_time
        if step.service in self.crowded:
            saved *= 2
        if ready_at - since >= saved:
            return False
        group, _, _, due = step.rank
        path = step.progress.job.critical_paths[step.progress.number]
        return group == FIRST_GROUP and ready_at + path <= due

    def _take_slots(
        self, step: LocalStep, rack: str, count: int, now: timedelta
    ) -> list[Slot]:
        """Return the next places on a rack, which later steps of the pass do not get.

        A place that is taken is free again when its task has ended.
        """
        if not count:
            return []
        claim = step.progress.step.claim
        key = (step.service, rack, claim)
        heap = self._slots.get(key)
        if heap is None:
            heap = self._slots[key] = self._list_slots(step, rack, now)
            heapify(heap)
        before = self._taken.pop(key, 0)
        taken: list[Slot] = []
        while heap and len(taken) < before + count:
            ready_at, near_time = heap[0]
            taken.append(heapreplace(heap, (ready_at + near_time, near_time)))
        return taken[before:]

    def _list_slots(self, step: LocalStep, rack: str, now: timedelta) -> list[Slot]:
        """Return the places on a rack that are expected to become free."""
        claim = step.progress.step.claim
        slots = []
        for row in self._find_rack(step, rack, now).rows:
            upstream = row.upstream
            if not upstream.has_label(step.progress.step.required_label):
                continue
            if step.permitted is not None and upstream.name not in step.permitted:
                continue
            if upstream.last_start_at >= row.listed_at:
                row.listed_at = now
                row.ends = self._list_sorted_ends(upstream, now)
            near_time = step.duration / self.speeds.find_speed(upstream)
            present = max(claim.count_in(upstream.free), 0)
            free = upstream.free.minus(claim.times(present))
            for ends_at, freed in row.ends:
                free = free.plus(freed)
                while claim.fits_in(free):
                    free = free.minus(claim)
                    slots.append((max(ends_at, now), near_time))
        return slots

    def _find_rack(self, step: LocalStep, rack: str, now: timedelta) -> _Rack:
        """Return the upstreams of a rack, with the ends of their runs in order."""
        key = (step.service, rack)
        found = self._racks.get(key)
        if found is None:
            rows = []
            for upstream in step.upstreams.values():
                if upstream.rack == rack:
                    ends = self._list_sorted_ends(upstream, now)
                    rows.append(_NearUpstream(upstream, now, ends))
            found = self._racks[key] = _Rack(now, rows)
        return found

    def _list_sorted_ends(
        self, upstream: Upstream, now: timedelta
    ) -> list[tuple[timedelta, Capacity]]:
        """Return the expected ends of the runs on an upstream, in order."""
        ends = self.list_ends(upstream, now)
        ends.sort(key=lambda end: end[0])
        return ends
