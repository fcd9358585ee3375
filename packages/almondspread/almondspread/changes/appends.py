"""Group commit: the changes of several callers are prepared as one entry."""

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
    """An append that has not been answered yet.

    ``prepare`` returns the changes of the caller for given resources. ``deadline`` is
    in monotonic time. ``future`` receives the revision of the entry or the error.
    """

    author: str
    prepare: PrepareChanges
    deadline: timedelta
    future: asyncio.Future[AppendOutcome]

    def complete(self, outcome: AppendOutcome) -> None:
        """Set the outcome of the append, unless its caller was cancelled."""
        if not self.future.done():
            self.future.set_result(outcome)


@define
class EntryPlan:
    """The content of a possible entry after revision ``base_revision``.

    ``unwritten_outcomes`` holds the appends that write nothing, because they were
    rejected or change nothing. Their outcome depends on the resources as of
    ``base_revision`` and on the changes of the appends before them in the plan.
    ``is_outcome_unknown`` is set once a write of the plan got no reply.
    """

    base_revision: int
    author: str
    changes: list[Change] = field(factory=list)
    appends: list[PendingAppend] = field(factory=list)
    unwritten_outcomes: list[tuple[PendingAppend, AppendOutcome]] = field(factory=list)
    is_outcome_unknown: bool = False


@define
class GroupCommit:
    """The commit of a group of appends as one entry.

    ``needs_read`` is set after a failed write until the log has been read.
    ``has_read_head`` is set once the head has been read since the commit began.
    """

    group: list[PendingAppend]
    batch: str
    plan: EntryPlan | None = None
    needs_read: bool = False
    has_read_head: bool = False

    @property
    def deadline(self) -> timedelta:
        """The earliest deadline of the group, in monotonic time."""
        return min(append.deadline for append in self.group)

    def get_plan(self, cache: ResourceCache) -> EntryPlan:
        """Return the plan for the current revision, prepared again if that changed."""
        if self.plan is None or self.plan.base_revision != cache.revision:
            self.plan = prepare_plan(cache, self.group)
        return self.plan

    def complete(self, revision: int) -> list[PendingAppend]:
        """Set the outcomes of the plan and return the appends not in the plan."""
        assert self.plan is not None
        completed = set(self.plan.appends)
        for append in self.plan.appends:
            append.complete(Ok(revision))
        for append, outcome in self.plan.unwritten_outcomes:
            append.complete(outcome)
            completed.add(append)
        return [append for append in self.group if append not in completed]

    def fail(self, reason: str) -> list[PendingAppend]:
        """Fail all appends of the group; return an empty list, as none remains."""
        unknown: list[PendingAppend] = []
        if self.plan is not None and self.plan.is_outcome_unknown:
            unknown = self.plan.appends
        for append in self.group:
            append.complete(Error(_make_outage_problem(reason, append in unknown)))
        return []


def prepare_plan(cache: ResourceCache, pending: list[PendingAppend]) -> EntryPlan:
    """Return a plan with as many of the pending appends as fit into one entry.

    Each append is prepared on top of those before it. An append that changes a part
    of a resource that the plan already changes is left for the next entry.
    """
    plan = EntryPlan(cache.revision, pending[0].author)
    view = cache
    changed_parts: set[tuple[str, str, str]] = set()
    for append in pending:
        prepared = append.prepare(view)
        if prepared.is_error():
            plan.unwritten_outcomes.append((append, Error(prepared.error)))
            continue
        if not prepared.ok:
            plan.unwritten_outcomes.append((append, Ok(view.revision)))
            continue
        parts = {(change.kind, change.name, change.part) for change in prepared.ok}
        if parts & changed_parts:
            continue
        changed_parts |= parts
        changes = _set_author(prepared.ok, append.author, plan.author)
        plan.changes.extend(changes)
        plan.appends.append(append)
        if append is not pending[-1]:
            view = _apply_to_view(view, cache, append.author, changes)
    return plan


def _set_author(changes: list[Change], author: str, entry_author: str) -> list[Change]:
    """Return the changes, with their author set if it is not that of the entry."""
    if author == entry_author:
        return changes
    return [evolve(change, author=author) for change in changes]


def _apply_to_view(
    view: ResourceCache, cache: ResourceCache, author: str, changes: list[Change]
) -> ResourceCache:
    """Return the resources on which the next append of the entry is prepared."""
    if view is cache:
        view = cache.fork()
    # All changes of a plan take effect at the same revision, so the view is set back
    # to the revision before it.
    view.revision = cache.revision
    view.apply(Entry(cache.revision + 1, "", author, 0.0, tuple(changes)))
    return view


def _make_outage_problem(reason: str, is_outcome_unknown: bool) -> Problem:
    """Return the error of an append that could not be committed."""
    if is_outcome_unknown:
        return OutcomeUnknown(
            f"the change may or may not take effect: {reason}",
            "read the resource again when the table service is reachable",
        )
    return Unavailable(
        f"the change was not made: {reason}",
        "send the change again when this instance can read the change log",
        not_run=True,
        retry_after_seconds=5.0,
    )
