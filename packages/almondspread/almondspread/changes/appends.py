"""Several callers' changes prepared as one entry."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from attrs import define, evolve, field
from expression import Error, Ok, Result

from almondspread.changes.cache import ResourceCache
from almondspread.changes.entries import Change, Entry
from almondspread.errors import OutcomeUnknown, Problem, Unavailable

PrepareChanges = Callable[[ResourceCache], Result[list[Change], Problem]]
AppendOutcome = Result[int, Problem]


@define(eq=False)
class PendingAppend:
    """One caller's changes, and the future that its outcome goes to."""

    author: str
    prepare: PrepareChanges
    deadline: timedelta
    future: asyncio.Future[AppendOutcome]

    def complete(self, outcome: AppendOutcome) -> None:
        """Hand the caller its outcome, unless the caller has gone."""
        if not self.future.done():
            self.future.set_result(outcome)


@define
class EntryPlan:
    """What one entry on top of revision ``base`` would hold.

    ``answers`` has the appends that need nothing written: their outcome depends on
    the resources as of ``base`` and on the changes of the plan before them. The plan
    is unsettled once a write of it got no answer.
    """

    base_revision: int
    author: str
    changes: list[Change] = field(factory=list)
    appends: list[PendingAppend] = field(factory=list)
    unwritten_outcomes: list[tuple[PendingAppend, AppendOutcome]] = field(factory=list)
    is_outcome_unknown: bool = False


@define
class GroupCommit:
    """One group of appends on their way into an entry.

    ``is_fresh`` is set once the head was read since the commit began; ``is_open``
    while a write failed and the log was not read since.
    """

    group: list[PendingAppend]
    batch: str
    plan: EntryPlan | None = None
    needs_read: bool = False
    has_read_head: bool = False

    @property
    def deadline(self) -> timedelta:
        """The monotonic time at which the first caller waits no longer."""
        return min(append.deadline for append in self.group)

    def get_plan(self, cache: ResourceCache) -> EntryPlan:
        """Return the plan on top of the present resources."""
        if self.plan is None or self.plan.base_revision != cache.revision:
            self.plan = prepare_plan(cache, self.group)
        return self.plan

    def complete(self, revision: int) -> list[PendingAppend]:
        """Hand out the outcomes of the plan; return the appends left over."""
        assert self.plan is not None
        served = set(self.plan.appends)
        for append in self.plan.appends:
            append.complete(Ok(revision))
        for append, answer in self.plan.unwritten_outcomes:
            append.complete(answer)
            served.add(append)
        return [append for append in self.group if append not in served]

    def fail(self, reason: str) -> list[PendingAppend]:
        """Refuse the whole group, which is given up; nobody is left over."""
        unsettled: list[PendingAppend] = []
        if self.plan is not None and self.plan.is_outcome_unknown:
            unsettled = self.plan.appends
        for append in self.group:
            append.complete(Error(_make_outage_problem(reason, append in unsettled)))
        return []


def prepare_plan(cache: ResourceCache, waiting: list[PendingAppend]) -> EntryPlan:
    """Return the plan that serves as many of the waiting appends as one entry can.

    Each is prepared on top of those before it. One that changes a part of a resource
    that the plan changes already is left out, for the next entry.
    """
    plan = EntryPlan(cache.revision, waiting[0].author)
    view = cache
    touched: set[tuple[str, str, str]] = set()
    for append in waiting:
        prepared = append.prepare(view)
        if prepared.is_error():
            plan.unwritten_outcomes.append((append, Error(prepared.error)))
            continue
        if not prepared.ok:
            plan.unwritten_outcomes.append((append, Ok(view.revision)))
            continue
        parts = {(change.kind, change.name, change.part) for change in prepared.ok}
        if parts & touched:
            continue
        touched |= parts
        changes = _set_author(prepared.ok, append.author, plan.author)
        plan.changes.extend(changes)
        plan.appends.append(append)
        if append is not waiting[-1]:
            view = _apply_to_view(view, cache, append.author, changes)
    return plan


def _set_author(changes: list[Change], author: str, entry_author: str) -> list[Change]:
    """Return the changes with their author, where the entry names another."""
    if author == entry_author:
        return changes
    return [evolve(change, author=author) for change in changes]


def _apply_to_view(
    view: ResourceCache, cache: ResourceCache, author: str, changes: list[Change]
) -> ResourceCache:
    """Return the resources as the next append of the same entry will find them."""
    if view is cache:
        view = cache.fork()
    # All changes of the plan take effect at one revision.
    view.revision = cache.revision
    view.apply(Entry(cache.revision + 1, "", author, 0.0, tuple(changes)))
    return view


def _make_outage_problem(reason: str, unsettled: bool) -> Problem:
    """Return the problem for an append that was given up."""
    if unsettled:
        return OutcomeUnknown(
            f"the change may or may not take effect: {reason}",
            "read the resource again when the table service answers",
        )
    return Unavailable(
        f"the change was not made: {reason}",
        "send the change again when this instance can read the change log",
        not_run=True,
        retry_after_seconds=5.0,
    )
