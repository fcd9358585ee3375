"""The service that applies, deletes and cancels resources through the change log."""

from collections.abc import Callable
from typing import Any

from attrs import define
from expression import Error, Ok, Result

from almondspread.changes import Change, ChangeLog, ResourceCache
from almondspread.changes.entries import make_removal_change, make_spec_change
from almondspread.errors import Problem
from almondspread.resources import Resource, parse_resource
from almondspread.scheduling import CellCapacities
from almondspread_daemon.resources import documents
from almondspread_daemon.resources.conflicts import refuse_stale_version
from almondspread_daemon.resources.validation import (
    WORKLOAD_KINDS,
    find_admission_problem,
    find_declaration_problem,
    find_permission_problem,
    find_removal_problem,
)
from almondspread_daemon.security.access import UNGUARDED, Identity


@define(frozen=True)
class DeclaredResource:
    """A resource to apply and the version that it was edited from.

    ``version`` is ``None`` if any current version is acceptable.
    """

    kind: str
    resource: Resource
    version: int | None

    @property
    def name(self) -> str:
        """The name of the resource."""
        return self.resource.metadata.name


class ResourceService:
    """Appends the changes that operators request to the change log."""

    def __init__(
        self,
        changes: ChangeLog,
        instance: str,
        list_capacities: Callable[[], CellCapacities] = CellCapacities,
    ) -> None:
        self._changes = changes
        self._instance = instance
        self._list_capacities = list_capacities

    def get_author_name(self, identity: Identity) -> str:
        """Return the author that log entries of an operator name.

        If the API is open without tokens, the author is ``local`` at this instance.
        """
        if identity == UNGUARDED:
            return f"{identity.name}@{self._instance}"
        return identity.name

    async def apply(
        self,
        items: list[tuple[dict[str, Any], int | None]],
        dry_run: bool,
        identity: Identity,
    ) -> Result[dict[str, Any], Problem]:
        """Apply all resources in one log entry, or none of them.

        A dry run validates the resources and returns the outcomes, and appends
        nothing.
        """
        parsed = _parse_items(items)
        if parsed.is_error():
            return Error(parsed.error)
        declared = parsed.ok
        outcomes: list[tuple[str, int]] = []

        def prepare(cache: ResourceCache) -> Result[list[Change], Problem]:
            """Return the changes between the current and the declared resources."""
            outcomes.clear()
            resources = [(one.kind, one.resource) for one in declared]
            problem = find_declaration_problem(cache, resources)
            if problem is not None:
                return Error(problem)
            capacities = self._list_capacities()
            changes = []
            for one in declared:
                outcome = classify_change(cache, one, identity)
                if outcome.is_error():
                    return Error(outcome.error)
                item = cache.find(one.kind, one.name)
                outcomes.append((outcome.ok, item.resource_version if item else 0))
                if outcome.ok == "unchanged":
                    continue
                problem = find_admission_problem(
                    cache, resources, one.resource, capacities
                )
                if problem is not None:
                    return Error(problem)
                changes.append(make_spec_change(one.kind, one.resource))
            return Ok([] if dry_run else changes)

        appended = await self._changes.append(self.get_author_name(identity), prepare)
        if appended.is_error():
            return Error(appended.error)
        results = []
        for one, (outcome, current) in zip(declared, outcomes, strict=True):
            is_kept = dry_run or outcome == "unchanged"
            results.append(
                {
                    "kind": one.kind,
                    "name": one.name,
                    "resource_version": current if is_kept else appended.ok,
                    "outcome": outcome,
                }
            )
        return Ok({"revision": appended.ok, "items": results})

    async def delete(
        self, kind: str, name: str, version: int | None, identity: Identity
    ) -> Result[int, Problem]:
        """Delete one resource and return the new revision.

        ``version`` is the version to delete, ``None`` for any.
        """

        def prepare(cache: ResourceCache) -> Result[list[Change], Problem]:
            """Return the removal, if the resource still has the expected version."""
            item = cache.find(kind, name)
            if item is None:
                return Error(documents.refuse_missing(kind, name))
            if version is not None and item.resource_version != version:
                return Error(refuse_stale_version(cache, kind, name, version))
            team = item.resource.metadata.team
            problem = find_permission_problem(identity, kind, name, item, team)
            problem = problem or find_removal_problem(cache, kind, name)
            if problem is not None:
                return Error(problem)
            return Ok([make_removal_change(kind, name)])

        return await self._changes.append(self.get_author_name(identity), prepare)

    async def cancel(
        self, names: tuple[str, ...], labels: dict[str, str], identity: Identity
    ) -> Result[dict[str, Any], Problem]:
        """Remove all named or selected workloads in one log entry.

        A request with a token of one team is rejected as a whole if it names a
        workload of another team; its selector applies to workloads of its own team
        only.
        """
        cancelled: list[str] = []
        wanted = set(names)

        def prepare(cache: ResourceCache) -> Result[list[Change], Problem]:
            """Return the removals of those workloads that currently exist."""
            cancelled.clear()
            changes = []
            for kind in WORKLOAD_KINDS:
                for item in cache.list_items(kind):
                    path = f"{kind}/{item.name}"
                    selected = labels and documents.has_labels(item, labels)
                    if path not in wanted and not selected:
                        continue
                    team = item.resource.metadata.team
                    problem = find_permission_problem(
                        identity, kind, item.name, item, team
                    )
                    if problem is not None and path in wanted:
                        return Error(problem)
                    if problem is not None:
                        continue
                    cancelled.append(path)
                    changes.append(make_removal_change(kind, item.name))
            return Ok(changes)

        appended = await self._changes.append(self.get_author_name(identity), prepare)
        if appended.is_error():
            return Error(appended.error)
        return Ok({"revision": appended.ok, "cancelled": cancelled})


def _parse_items(
    items: list[tuple[dict[str, Any], int | None]],
) -> Result[list[DeclaredResource], Problem]:
    """Parse documents; return all resources, or the first problem."""
    declared = []
    for document, version in items:
        parsed = parse_resource(document)
        if parsed.is_error():
            return Error(parsed.error)
        declared.append(DeclaredResource(*parsed.ok, version))
    return Ok(declared)


def classify_change(
    cache: ResourceCache, declared: DeclaredResource, identity: Identity
) -> Result[str, Problem]:
    """Return ``created``, ``changed`` or ``unchanged``, or why it is rejected."""
    kind, name = declared.kind, declared.name
    item = cache.find(kind, name)
    current = item.resource_version if item else 0
    team = declared.resource.metadata.team
    problem = find_permission_problem(identity, kind, name, item, team)
    if problem is not None:
        return Error(problem)
    if declared.version is not None and declared.version != current:
        return Error(refuse_stale_version(cache, kind, name, declared.version))
    if item is None:
        return Ok("created")
    return Ok("unchanged" if item.resource == declared.resource else "changed")
