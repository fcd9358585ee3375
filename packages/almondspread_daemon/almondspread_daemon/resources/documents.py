"""Conversion of resources and their status to JSON documents."""

from collections.abc import Iterable
from typing import Any

from almondspread.changes import CachedResource
from almondspread.errors import NotFound, Problem
from almondspread.resources import (
    BatchJob,
    Configuration,
    GangJob,
    Service,
    describe_resource,
)
from almondspread_daemon.resources.instance_revisions import (
    InstanceRevision,
    explain_lag,
)

COUNTED_STATES = ("running", "waiting", "finished", "failed")


def has_labels(item: CachedResource, labels: dict[str, str]) -> bool:
    """Tell whether a resource has all labels of a selector."""
    own = item.resource.metadata.labels
    for key, value in labels.items():
        if own.get(key) != value:
            return False
    return True


def refuse_missing(kind: str, name: str) -> Problem:
    """Return the problem for a resource that does not exist."""
    return NotFound(f"{kind}/{name} does not exist", f"list the {kind} resources")


def describe_item(
    item: CachedResource, instances: Iterable[InstanceRevision]
) -> dict[str, Any]:
    """Return the document of a resource with its version and status."""
    return {
        "kind": item.kind,
        "name": item.name,
        "resource_version": item.resource_version,
        "document": describe_resource(item.resource),
        "status": summarize_status(item, instances),
    }


def summarize_status(
    item: CachedResource, instances: Iterable[InstanceRevision]
) -> dict[str, Any] | None:
    """Return the status of a resource, ``None`` if its kind has none.

    The status of a configuration names the instances at which it is in force.
    """
    if isinstance(item.resource, Configuration):
        return _summarize_configuration(item, instances)
    return summarize_logged_status(item)


def summarize_logged_status(item: CachedResource) -> dict[str, Any] | None:
    """Return the part of a resource's status that follows from the change log.

    The result is ``None`` if resources of this kind have no status. Tasks that no
    shard has reported count as waiting.
    """
    resource = item.resource
    if isinstance(resource, Configuration):
        return {"accepted_revision": item.resource_version}
    if not isinstance(resource, Service | BatchJob | GangJob):
        return None
    counts = dict.fromkeys(COUNTED_STATES, 0)
    for report in item.reports.values():
        for name in COUNTED_STATES:
            counts[name] += report.get(name, 0)
    if isinstance(resource, Service):
        return {
            "replicas": resource.replicas,
            "running": counts["running"],
            "waiting": max(0, resource.replicas - counts["running"]),
            "ready": counts["running"] == resource.replicas,
            "message": join_messages(item),
        }
    reported = sum(counts.values())
    counts["waiting"] += max(0, resource.tasks - reported)
    return {
        "tasks": resource.tasks,
        **counts,
        "phase": _compute_phase(item, resource.tasks, counts),
        "message": join_messages(item),
    }


def join_messages(item: CachedResource) -> str:
    """Return the shards' reasons for waiting tasks as one text.

    Shards with the same reason are named together.
    """
    by_text: dict[str, list[str]] = {}
    for shard in sorted(item.reports):
        text = item.reports[shard].get("message", "")
        if text:
            by_text.setdefault(text, []).append(shard.partition("/")[2])
    parts = []
    for text, shards in by_text.items():
        parts.append(f"{', '.join(shards)}: {text}")
    return "; ".join(parts)


def _compute_phase(item: CachedResource, tasks: int, counts: dict[str, int]) -> str:
    """Return the phase of a job, computed from the states of its tasks."""
    if counts["finished"] == tasks:
        return "finished"
    if counts["finished"] + counts["failed"] == tasks:
        return "failed"
    for report in item.reports.values():
        if report.get("impossible"):
            return "impossible"
    if counts["running"] or counts["finished"] or counts["failed"]:
        return "running"
    return "waiting"


def _summarize_configuration(
    item: CachedResource, instances: Iterable[InstanceRevision]
) -> dict[str, Any]:
    """Return the instances with a configuration in force, and why others lag."""
    in_force = []
    lagging = {}
    for instance in instances:
        if instance.revision >= item.resource_version:
            in_force.append(instance.name)
            continue
        lagging[instance.name] = explain_lag(instance)
    return {
        "accepted_revision": item.resource_version,
        "in_force": sorted(in_force),
        "not_in_force": lagging,
    }
