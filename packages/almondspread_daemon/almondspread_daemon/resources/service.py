"""Apply, delete and cancel: what operators ask, as changes in the log."""

from collections.abc import Callable
from typing import Any

from expression import Error, Ok, Result

from almondspread.changes import Change, ChangeLog, ResourceCache
from almondspread.changes.entries import declare_resource, remove_resource
from almondspread.errors import Conflict, Problem
from almondspread.resources import Capacity, Resource, Team, Workload, parse_resource
from almondspread.scheduling import admit_workload
from almondspread_daemon.resources import documents

WORKLOAD_KINDS = ("service", "batch", "gang")

Declared = tuple[str, Resource, int | None]


class ResourceService:
    """Turns what operators ask for into appends to the change log."""

    def __init__(
        self,
        changes: ChangeLog,
        author: str,
        list_capacities: Callable[[], frozenset[Capacity]] = frozenset,
    ) -> None:
        self._changes = changes
        self._author = author
        self._list_capacities = list_capacities

    async def apply(
        self, items: list[tuple[dict[str, Any], int | None]], dry_run: bool
    ) -> Result[dict[str, Any], Problem]:
        """Apply all resources in one entry, or none of them."""
        declared: list[Declared] = []
        for document, version in items:
            parsed = parse_resource(document)
            if parsed.is_error():
                return Error(parsed.error)
            kind, resource = parsed.ok
            declared.append((kind, resource, version))
        before: dict[tuple[str, str], str] = {}

        def prepare(cache: ResourceCache) -> Result[list[Change], Problem]:
            """Return the changes that the present resources still need."""
            before.clear()
            changes = []
            for kind, resource, version in declared:
                outcome = judge_change(cache, kind, resource, version)
                if outcome.is_error():
                    return Error(outcome.error)
                before[(kind, resource.metadata.name)] = outcome.ok
                if outcome.ok == "unchanged":
                    continue
                admitted = self._admit(cache, resource, declared)
                if admitted.is_error():
                    return Error(admitted.error)
                changes.append(declare_resource(kind, resource))
            return Ok([] if dry_run else changes)

        appended = await self._changes.append(self._author, prepare)
        if appended.is_error():
            return Error(appended.error)
        results = []
        for (kind, name), outcome in before.items():
            item = self._changes.cache.find(kind, name)
            results.append(
                {
                    "kind": kind,
                    "name": name,
                    "resource_version": item.resource_version if item else 0,
                    "outcome": outcome,
                }
            )
        return Ok({"revision": appended.ok, "items": results})

    def _admit(
        self, cache: ResourceCache, resource: Resource, declared: list[Declared]
    ) -> Result[None, Problem]:
        """Refuse a workload that the workers and quotas of the cell cannot run."""
        if not isinstance(resource, Workload):
            return Ok(None)
        quota = find_quota(cache, resource.metadata.team, declared)
        admitted = admit_workload(resource, self._list_capacities(), quota)
        return Error(admitted.error) if admitted.is_error() else Ok(None)

    async def delete(
        self, kind: str, name: str, version: int | None
    ) -> Result[int, Problem]:
        """Remove one resource."""

        def prepare(cache: ResourceCache) -> Result[list[Change], Problem]:
            """Return the removal, if the resource is as the caller saw it."""
            item = cache.find(kind, name)
            if item is None:
                return Error(documents.refuse_missing(kind, name))
            if version is not None and item.resource_version != version:
                return Error(refuse_stale(cache, kind, name, version))
            return Ok([remove_resource(kind, name)])

        return await self._changes.append(self._author, prepare)

    async def cancel(
        self, names: tuple[str, ...], labels: dict[str, str]
    ) -> Result[dict[str, Any], Problem]:
        """Remove all named or selected workloads in one entry."""
        cancelled: list[str] = []

        def prepare(cache: ResourceCache) -> Result[list[Change], Problem]:
            """Return the removals of the workloads that exist now."""
            cancelled.clear()
            changes = []
            for kind in WORKLOAD_KINDS:
                for item in cache.list_items(kind):
                    path = f"{kind}/{item.name}"
                    selected = labels and documents.matches(item, labels)
                    if path not in names and not selected:
                        continue
                    cancelled.append(path)
                    changes.append(remove_resource(kind, item.name))
            return Ok(changes)

        appended = await self._changes.append(self._author, prepare)
        if appended.is_error():
            return Error(appended.error)
        return Ok({"revision": appended.ok, "cancelled": cancelled})


def find_quota(
    cache: ResourceCache, team: str, declared: list[Declared]
) -> Capacity | None:
    """Return a team's quota, as declared beside a workload or before it."""
    for _, resource, _ in declared:
        if isinstance(resource, Team) and resource.metadata.name == team:
            return resource.quota
    item = cache.find("team", team)
    if item is None or not isinstance(item.resource, Team):
        return None
    return item.resource.quota


def judge_change(
    cache: ResourceCache, kind: str, resource: Resource, version: int | None
) -> Result[str, Problem]:
    """Return ``created``, ``changed`` or ``unchanged``, or the conflict."""
    name = resource.metadata.name
    item = cache.find(kind, name)
    current = item.resource_version if item else 0
    if version is not None and version != current:
        return Error(refuse_stale(cache, kind, name, version))
    if item is None:
        return Ok("created")
    return Ok("unchanged" if item.resource == resource else "changed")


def refuse_stale(cache: ResourceCache, kind: str, name: str, version: int) -> Problem:
    """Return the conflict of a change that was made from an older version."""
    item = cache.find(kind, name)
    if item is None:
        return Conflict(
            f"{kind}/{name} does not exist any more; the change was made from version "
            f"{version}",
            "apply it with version 0 to create it",
            current_version=0,
        )
    return Conflict(
        f"{kind}/{name} was changed by {item.author} at version "
        f"{item.resource_version}; the change was made from version {version}",
        "get the resource, make the change on that version, and apply it again",
        current_version=item.resource_version,
    )
