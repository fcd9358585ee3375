"""Placement of waiting tasks: which upstream each task is to run on."""

from collections.abc import Callable, Collection, Iterable, Mapping

from attrs import define

from almondspread.jobs.step_progress import StepProgress
from almondspread.jobs.submissions import Step
from almondspread.jobs.upstreams import Upstream
from almondspread.resources.capacity import MAX_COUNT, Capacity

# The sort key of an upstream for a task; the lowest is the best.
Score = tuple[int, int, int, int, int]
NO_DIFFERENCES: Mapping[str, int] = {}


@define(frozen=True)
class Placement:
    """The index of a task in its step, and the upstream chosen for it.

    A task placed ``alone`` is to be all that begins there for a while.
    """

    index: int
    upstream: Upstream
    alone: bool = False


@define(frozen=True)
class Candidate:
    """An upstream for the tasks of a step, and the capacity that these may use."""

    upstream: Upstream
    free: Capacity


def has_room(step: Step, upstream: Upstream) -> bool:
    """Return whether an upstream has the capacity and label that a task needs."""
    return step.claim.fits_in(upstream.free) and upstream.has_label(step.required_label)


def list_candidates(
    progress: StepProgress,
    usable: Iterable[Upstream],
    find_free: Callable[[Upstream], Capacity],
) -> list[Candidate]:
    """Return the usable upstreams on which a task of the step may run now.

    ``find_free`` tells what the step may use of an upstream.
    """
    step = progress.step
    found = []
    for upstream in usable:
        if not has_room(step, upstream):
            continue
        if step.spread_limit and upstream.count_step(progress.key) >= step.spread_limit:
            continue
        free = find_free(upstream)
        if step.claim.fits_in(free):
            found.append(Candidate(upstream, free))
    return found


def place_tasks(
    progress: StepProgress,
    candidates: list[Candidate],
    latency_sensitive: set[str],
    max_alone: int = 0,
    held: Collection[int] = (),
    max_tasks: int = MAX_COUNT,
    slowness: Mapping[str, int] = NO_DIFFERENCES,
) -> list[Placement]:
    """Choose upstreams for as many waiting tasks of a step as fit.

    The function only plans and binds no runs. ``latency_sensitive`` names the upstreams
    that run tasks with a latency target. At most ``max_alone`` tasks are placed alone,
    those of ``held`` not at all, and ``max_tasks`` in all. A gang is placed whole or
    not at all. ``slowness`` ranks the upstreams by speed for a step that prefers the
    fastest.
    """
    step = progress.step
    if step.gang:
        if max_tasks < len(progress.waiting):
            return []
        return _place_gang(progress, candidates, latency_sensitive, max_alone, slowness)
    plan = _PlacementPlan(
        progress, candidates, latency_sensitive, max_alone, slowness=slowness
    )
    placements: list[Placement] = []
    for index in order_suspects_first(progress):
        if len(placements) >= max_tasks:
            break
        if index in held or progress.losses.must_wait(index, step.lasting):
            continue
        placement = plan.place(index)
        if placement is not None:
            placements.append(placement)
    return placements


def order_suspects_first(progress: StepProgress) -> list[int]:
    """Return the waiting tasks, first those that may crash their upstream.

    These choose first, so that no other task of the step is put beside them.
    """
    if not progress.losses:
        return list(progress.waiting)
    losses = progress.losses
    return sorted(progress.waiting, key=lambda index: not losses.is_suspect(index))


def _place_gang(
    progress: StepProgress,
    candidates: list[Candidate],
    latency_sensitive: set[str],
    max_alone: int,
    slowness: Mapping[str, int],
) -> list[Placement]:
    """Choose upstreams for all tasks of a gang, or for none.

    A gang that asks for one rack is spread over racks where no single rack fits it.
    Its suspected members are put apart from the others where that is possible.
    """
    groups = [candidates]
    if progress.step.same_rack:
        racks: dict[str, list[Candidate]] = {}
        for candidate in candidates:
            racks.setdefault(candidate.upstream.rack, []).append(candidate)
        groups = [*racks.values(), candidates]
    for separates in (True, False) if progress.losses else (False,):
        for group in groups:
            plan = _PlacementPlan(
                progress, group, latency_sensitive, max_alone, separates, slowness
            )
            placements = plan.place_all()
            if placements:
                return placements
    return []


class _PlacementPlan:
    """The capacity left on the candidates while the tasks of one step are placed.

    If the plan ``separates`` tasks, one that may crash its upstream shares it with no
    other task of the step. At most ``max_alone`` of these are also placed alone.
    """

    def __init__(
        self,
        progress: StepProgress,
        candidates: list[Candidate],
        latency_sensitive: set[str],
        max_alone: int,
        separates: bool = True,
        slowness: Mapping[str, int] = NO_DIFFERENCES,
    ) -> None:
        self._progress = progress
        self._separates = separates
        self._step = progress.step
        self._max_alone = max_alone
        self._candidates = [candidate.upstream for candidate in candidates]
        self._latency_sensitive = latency_sensitive
        self._slowness = slowness
        self._free = {
            candidate.upstream.name: candidate.free for candidate in candidates
        }
        self._counts = {
            upstream.name: upstream.count_step(progress.key)
            for upstream in self._candidates
        }
        self._apart: set[str] = set()
        # The scores, ``None`` without room, of upstreams that have not changed since.
        self._scores: dict[str, Score | None] = {}

    def place_all(self) -> list[Placement]:
        """Reserve capacity for all tasks of the step, or return an empty list."""
        placements = []
        for index in order_suspects_first(self._progress):
            placement = self.place(index)
            if placement is None:
                return []
            placements.append(placement)
        return placements

    def place(self, index: int) -> Placement | None:
        """Reserve capacity for one task; return ``None`` if no upstream fits."""
        if self._separates and self._progress.losses.is_suspect(index):
            return self._place_apart(index)
        upstream = None
        if not self._step.gang:
            upstream = self.reserve(self._progress.avoided_upstreams.get(index, set()))
        # An upstream on which the task has failed or straggled is better than none.
        upstream = upstream or self.reserve(set())
        return Placement(index, upstream) if upstream else None

    def _place_apart(self, index: int) -> Placement | None:
        """Reserve capacity for a task that may crash its upstream.

        It goes where the fewest runs would be lost, if possible alone, and in any case
        not beside other tasks of the step.
        """
        candidates = sorted(
            self._candidates, key=lambda each: (not each.is_settled, len(each.bound))
        )
        for upstream in candidates:
            if upstream.name in self._apart or not self._fits(upstream):
                continue
            alone = upstream.is_settled and not upstream.trying and self._max_alone > 0
            self._max_alone -= alone
            self._apart.add(upstream.name)
            self._take(upstream)
            return Placement(index, upstream, alone)
        return None

    def _fits(self, upstream: Upstream) -> bool:
        """Return whether one more task of the step may go to an upstream."""
        limit = self._step.spread_limit
        if limit and self._counts[upstream.name] >= limit:
            return False
        return self._step.claim.fits_in(self._free[upstream.name])

    def _take(self, upstream: Upstream) -> None:
        """Reduce the room of an upstream by one task."""
        name = upstream.name
        self._free[name] = self._free[name].minus(self._step.claim)
        self._counts[name] += 1
        self._scores.pop(name, None)

    def reserve(self, avoided: set[str]) -> Upstream | None:
        """Reserve capacity for one task on the best upstream, ``None`` if none fits."""
        best = None
        best_score: Score | None = None
        for upstream in self._candidates:
            name = upstream.name
            if name in avoided or name in self._apart:
                continue
            if name not in self._scores:
                fits = self._fits(upstream)
                self._scores[name] = self._score(upstream) if fits else None
            score = self._scores[name]
            if score is None:
                continue
            if best_score is None or score < best_score:
                best, best_score = upstream, score
        if best is not None:
            self._take(best)
        return best

    def _score(self, upstream: Upstream) -> Score:
        """Return the score of an upstream for a task; the lowest is the best.

        Data locality counts first. Then opportunistic tasks are kept apart from
        latency-sensitive ones, and tasks that need no accelerators from free ones. Then
        tasks that prefer fast upstreams go where they are expected to end first. Of
        equally fast upstreams the tightest fit wins, because it leaves the large blocks
        of free capacity for large tasks.
        """
        step = self._step
        remote = int(bool(step.preferred_rack) and step.preferred_rack != upstream.rack)
        interferes = int(
            step.opportunistic and upstream.name in self._latency_sensitive
        )
        free = self._free[upstream.name]
        if step.opportunistic:
            # Opportunistic tasks use idle processors, so they go where most are free.
            return (remote, interferes, 0, 0, -free.cpu_millis)
        wasted = 0 if step.claim.accelerators else free.accelerators
        return (
            remote,
            interferes,
            wasted,
            self._slowness.get(upstream.name, 0),
            measure_scarcest(step.claim, upstream, free),
        )


def measure_scarcest(claim: Capacity, upstream: Upstream, free: Capacity) -> int:
    """Return what is free of the resource of which a task takes the largest share.

    A task that is placed by another resource than this one leaves gaps in which the
    next task of its kind finds too little.
    """
    whole = upstream.entry.capacity
    processor = claim.cpu_millis / max(whole.cpu_millis, 1)
    memory = claim.memory_mib / max(whole.memory_mib, 1)
    accelerators = claim.accelerators / max(whole.accelerators, 1)
    if accelerators >= max(processor, memory):
        return free.accelerators
    if memory > processor:
        return free.memory_mib
    return free.cpu_millis
