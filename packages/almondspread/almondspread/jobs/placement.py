"""Which upstream a waiting task goes to."""

from collections.abc import Iterable
from datetime import timedelta

from attrs import define

from almondspread.jobs.progress import StepProgress
from almondspread.jobs.submissions import Step
from almondspread.jobs.upstreams import Upstream


@define(frozen=True)
class Placement:
    """A task and the upstream chosen for it."""

    index: int
    upstream: Upstream


def has_room(step: Step, upstream: Upstream) -> bool:
    """Tell whether a task of a step fits on an upstream and may run there."""
    return step.claim.fits_in(upstream.free) and upstream.has_label(step.required_label)


def list_candidates(
    progress: StepProgress, usable: Iterable[Upstream]
) -> list[Upstream]:
    """Return the usable upstreams on which a task of the step may run now."""
    step = progress.step
    found = []
    for upstream in usable:
        if not has_room(step, upstream):
            continue
        if step.spread_limit and upstream.count_step(progress.key) >= step.spread_limit:
            continue
        found.append(upstream)
    return found


def filter_permitted(
    progress: StepProgress, candidates: list[Upstream], now: timedelta
) -> list[Upstream]:
    """Return those candidates for which the step has a permit that still holds."""
    permits = progress.permits
    if permits is None or permits.expires <= now:
        return []
    return [upstream for upstream in candidates if upstream.name in permits.tickets]


def place_tasks(
    progress: StepProgress, candidates: list[Upstream], serving: set[str]
) -> list[Placement]:
    """Choose upstreams for as many waiting tasks of a step as have room.

    Binds nothing. ``serving`` names upstreams with tasks that serve users of their
    own. A gang is placed whole or not at all.
    """
    step = progress.step
    if step.gang:
        return _place_gang(progress, candidates, serving)
    planned = _PlacementPlan(progress, candidates, serving)
    placements = []
    for index in progress.waiting:
        avoided = progress.avoided_upstreams.get(index, set())
        # An upstream on which the task has failed is better than none.
        upstream = planned.reserve(avoided) or planned.reserve(set())
        if upstream is None:
            continue
        placements.append(Placement(index, upstream))
    return placements


def _place_gang(
    progress: StepProgress, candidates: list[Upstream], serving: set[str]
) -> list[Placement]:
    """Choose upstreams for all tasks of a gang, on one rack where it asks so."""
    groups = [candidates]
    if progress.step.same_rack:
        racks: dict[str, list[Upstream]] = {}
        for upstream in candidates:
            racks.setdefault(upstream.rack, []).append(upstream)
        groups = [*racks.values(), candidates]
    for group in groups:
        planned = _PlacementPlan(progress, group, serving)
        placements = []
        for index in range(progress.step.count):
            chosen = planned.reserve(set())
            if chosen is None:
                break
            placements.append(Placement(index, chosen))
        if len(placements) == progress.step.count:
            return placements
    return []


class _PlacementPlan:
    """The room that is left while the tasks of one step are placed."""

    def __init__(
        self, progress: StepProgress, candidates: list[Upstream], serving: set[str]
    ) -> None:
        self._step = progress.step
        self._candidates = candidates
        self._serving = serving
        self._free = {upstream.name: upstream.free for upstream in candidates}
        self._counts = {
            upstream.name: upstream.count_step(progress.key) for upstream in candidates
        }

    def reserve(self, avoided: set[str]) -> Upstream | None:
        """Take room for one task from the best upstream, ``None`` where none has it."""
        best = None
        best_score: tuple[int, int, int] | None = None
        claim = self._step.claim
        limit = self._step.spread_limit
        for upstream in self._candidates:
            name = upstream.name
            if name in avoided or not claim.fits_in(self._free[name]):
                continue
            if limit and self._counts[name] >= limit:
                continue
            score = self._score(upstream)
            if best_score is None or score < best_score:
                best, best_score = upstream, score
        if best is None:
            return None
        self._free[best.name] = self._free[best.name].minus(claim)
        self._counts[best.name] += 1
        return best

    def _score(self, upstream: Upstream) -> tuple[int, int, int]:
        """Return how well an upstream suits a task, the smallest best.

        Data nearby comes first, then keeping tasks that disturb apart from those
        that serve users, then the tightest fit, which leaves large gaps whole.
        """
        step = self._step
        far = int(bool(step.preferred_rack) and step.preferred_rack != upstream.rack)
        disturbs = int(step.opportunistic and upstream.name in self._serving)
        if step.opportunistic:
            # What fills lives off idle processors, so it goes where most are.
            return (far, disturbs, -self._free[upstream.name].cpu_millis)
        return (far, disturbs, self._free[upstream.name].cpu_millis)
