"""Apply, delete and cancel: what operators ask, as changes in the log."""

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
    """A resource to apply and the version that it was made from.

    ``version`` is ``None`` where the caller does not care.
    """

    kind: str
    resource: Resource
    version: int | None

    @property
    def name(self) -> str:
        """The name of the resource."""
        return self.resource.metadata.name


class ResourceService:
    """Turns what operators ask for into appends to the change log."""

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
        """Return the author that the log keeps for an operator."""
        if identity == UNGUARDED:
            return f"{identity.name}@{self._instance}"
        return identity.name

    async def apply(
        self,
        items: list[tuple[dict[str, Any], int | None]],
        dry_run: bool,
        identity: Identity,
    ) -> Result[dict[str, Any], Problem]:
        """Apply all resources in one entry, or none of them."""
        parsed = _parse_items(items)
        if parsed.is_error():
            return Error(parsed.error)
        declared = parsed.ok
        outcomes: list[tuple[str, int]] = []

        def prepare(cache: ResourceCache) -> Result[list[Change], Problem]:
            """Return the changes that the present resources still need."""
            outcomes.clear()
            resources = [(one.kind, one.resource) for one in declared]
            fault = find_declaration_problem(cache, resources)
            if fault is not None:
                return Error(fault)
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
                fault = find_admission_problem(
                    cache, resources, one.resource, capacities
                )
                if fault is not None:
                    return Error(fault)
                changes.append(make_spec_change(one.kind, one.resource))
            return Ok([] if dry_run else changes)

        appended = await self._changes.append(self.get_author_name(identity), prepare)
        if appended.is_error():
            return Error(appended.error)
        results = []
        for one, (outcome, before) in zip(declared, outcomes, strict=True):
            is_kept = dry_run or outcome == "unchanged"
            results.append(
                {
                    "kind": one.kind,
                    "name": one.name,
                    "resource_version": before if is_kept else appended.ok,
                    "outcome": outcome,
                }
            )
        return Ok({"revision": appended.ok, "items": results})

    async def delete(
        self, kind: str, name: str, version: int | None, identity: Identity
    ) -> Result[int, Problem]:
        """Remove one resource."""

        def prepare(cache: ResourceCache) -> Result[list[Change], Problem]:
            """Return the removal, if the resource is as the caller saw it."""
            item = cache.find(kind, name)
            if item is None:
                return Error(documents.refuse_missing(kind, name))
            if version is not None and item.resource_version != version:
                return Error(refuse_stale_version(cache, kind, name, version))
            team = item.resource.metadata.team
            fault = find_permission_problem(identity, kind, name, item, team)
            fault = fault or find_removal_problem(cache, kind, name)
            if fault is not None:
                return Error(fault)
            return Ok([make_removal_change(kind, name)])

        return await self._changes.append(self.get_author_name(identity), prepare)

    async def cancel(
        self, names: tuple[str, ...], labels: dict[str, str], identity: Identity
    ) -> Result[dict[str, Any], Problem]:
        """Remove all named or selected workloads in one entry.

        A token of one team that names a workload of another is refused whole; its
        selectors select among its own workloads only.
        """
        cancelled: list[str] = []
        wanted = set(names)

        def prepare(cache: ResourceCache) -> Result[list[Change], Problem]:
            """Return the removals of the workloads that exist now."""
            cancelled.clear()
            changes = []
            for kind in WORKLOAD_KINDS:
                for item in cache.list_items(kind):
                    path = f"{kind}/{item.name}"
                    selected = labels and documents.has_labels(item, labels)
                    if path not in wanted and not selected:
                        continue
                    team = item.resource.metadata.team
                    fault = find_permission_problem(
                        identity, kind, item.name, item, team
                    )
                    if fault is not None and path in wanted:
                        return Error(fault)
                    if fault is not None:
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
    """Return the resources that documents declare."""
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
    """Return ``created``, ``changed`` or ``unchanged``, or why it is refused."""
    kind, name = declared.kind, declared.name
    item = cache.find(kind, name)
    current = item.resource_version if item else 0
    team = declared.resource.metadata.team
    fault = find_permission_problem(identity, kind, name, item, team)
    if fault is not None:
        return Error(fault)
    if declared.version is not None and declared.version != current:
        return Error(refuse_stale_version(cache, kind, name, declared.version))
    if item is None:
        return Ok("created")
    return Ok("unchanged" if item.resource == declared.resource else "changed")
