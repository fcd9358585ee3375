"""Problems for conflicting changes by operators, with who changed what before."""

from typing import Any

from almondspread.changes import AppliedChange, CachedResource, ResourceCache
from almondspread.errors import Conflict, Problem
from almondspread.resources import Resource, describe_resource

MAX_NAMED_CHANGES = 5
MAX_NAMED_FIELDS = 8


def refuse_stale_version(
    cache: ResourceCache, kind: str, name: str, version: int
) -> Problem:
    """Return the conflict for a change that was made from an outdated version.

    The conflict names the current version and who has changed what since then, as
    far as the history of the log goes back.
    """
    item = cache.find(kind, name)
    history = "; ".join(_list_changes(cache, kind, name, version))
    if item is None:
        return Conflict(
            f"{kind}/{name} does not exist; the change was made from version "
            f"{version}" + (f"; since then {history}" if history else ""),
            "apply it with version 0 to create it",
            current_version=0,
        )
    if not history:
        history = f"it was last changed by {item.author}"
    return Conflict(
        f"{kind}/{name} is at version {item.resource_version}; the change was made "
        f"from version {version}; since then {history}",
        "get the resource, make the change on that version, and apply it again",
        current_version=item.resource_version,
    )


def _list_changes(
    cache: ResourceCache, kind: str, name: str, version: int
) -> list[str]:
    """Return the latest changes of a resource after a version, with authors."""
    descriptions = []
    for applied in cache.list_applied_after(max(version, cache.oldest_revision)) or []:
        entry = applied.entry
        for effect in applied.changes:
            change = effect.change
            if (change.kind, change.name, change.part) != (kind, name, "spec"):
                continue
            author = change.author or entry.author
            descriptions.append(
                f"{author} {_describe_effect(effect)} at {entry.revision}"
            )
    return descriptions[-MAX_NAMED_CHANGES:]


def _describe_effect(effect: AppliedChange) -> str:
    """Describe what a change did to a resource."""
    if effect.after is None:
        return "removed it"
    if effect.before is None:
        return "created it"
    fields = list_changed_fields(effect.before.resource, effect.after.resource)
    if len(fields) > MAX_NAMED_FIELDS:
        fields[MAX_NAMED_FIELDS:] = [f"{len(fields) - MAX_NAMED_FIELDS} more"]
    return "changed " + (", ".join(fields) or "nothing")


def list_changed_fields(before: Resource, after: Resource) -> list[str]:
    """Return the dotted paths of the fields that differ between two resources."""
    found: list[str] = []
    _collect_differences("", describe_resource(before), describe_resource(after), found)
    return found


def _collect_differences(path: str, before: Any, after: Any, found: list[str]) -> None:
    """Append to ``found`` the paths at and below ``path`` that differ."""
    if before == after:
        return
    if not isinstance(before, dict) or not isinstance(after, dict):
        found.append(path)
        return
    for key in sorted(before.keys() | after.keys()):
        below = f"{path}.{key}" if path else key
        _collect_differences(below, before.get(key), after.get(key), found)


def refuse_team_in_use(name: str, users: list[CachedResource]) -> Problem:
    """Return the conflict for removing a team that workloads still belong to."""
    first = f"{users[0].kind}/{users[0].name}"
    return Conflict(
        f"team/{name} is used by {len(users)} workloads, {first} among them",
        "cancel these workloads or move them to another team first",
    )
