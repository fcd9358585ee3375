"""Checks that a change must pass: references, admission and permission."""

from almondspread.changes import CachedResource, ResourceCache
from almondspread.errors import Forbidden, InvalidInput, Problem
from almondspread.resources import Capacity, Resource, Team, Workload
from almondspread.scheduling import CellCapacities, admit_workload
from almondspread_daemon.resources.conflicts import refuse_team_in_use
from almondspread_daemon.security.access import Identity

WORKLOAD_KINDS = ("service", "batch", "gang")


def find_declaration_problem(
    cache: ResourceCache, declared: list[tuple[str, Resource]]
) -> Problem | None:
    """Return why the resources cannot be applied together, ``None`` if they can.

    Each resource must be declared once. The team of a workload must exist or be
    declared together with the workload.
    """
    seen = set()
    teams = set()
    for kind, resource in declared:
        key = (kind, resource.metadata.name)
        if key in seen:
            return InvalidInput(
                f"{kind}/{key[1]} is declared twice", "declare each resource once"
            )
        seen.add(key)
        if kind == "team":
            teams.add(key[1])
    for kind, resource in declared:
        team = resource.metadata.team
        if not isinstance(resource, Workload) or not team or team in teams:
            continue
        if cache.find("team", team) is None:
            return InvalidInput(
                f"{kind}/{resource.metadata.name} names team {team!r}, which does not "
                "exist",
                "apply the team before the workload or together with it",
            )
    return None


def find_admission_problem(
    cache: ResourceCache,
    declared: list[tuple[str, Resource]],
    resource: Resource,
    capacities: CellCapacities,
) -> Problem | None:
    """Return why a workload can never run on the workers or within its team's quota.

    The result is ``None`` if the workload is admitted.
    """
    if not isinstance(resource, Workload):
        return None
    quota = find_quota(cache, resource.metadata.team, declared)
    admitted = admit_workload(resource, capacities, quota)
    return admitted.error if admitted.is_error() else None


def find_quota(
    cache: ResourceCache, team: str, declared: list[tuple[str, Resource]]
) -> Capacity | None:
    """Return a team's quota, ``None`` if it has none.

    A quota in the declared resources takes precedence over the stored one.
    """
    for _, resource in declared:
        if isinstance(resource, Team) and resource.metadata.name == team:
            return resource.quota
    item = cache.find("team", team)
    if item is None or not isinstance(item.resource, Team):
        return None
    return item.resource.quota


def find_removal_problem(cache: ResourceCache, kind: str, name: str) -> Problem | None:
    """Return why a resource cannot be removed, ``None`` if it can."""
    if kind != "team":
        return None
    users = []
    for workload_kind in WORKLOAD_KINDS:
        for item in cache.list_items(workload_kind):
            if item.resource.metadata.team == name:
                users.append(item)
    return refuse_team_in_use(name, users) if users else None


def find_permission_problem(
    identity: Identity, kind: str, name: str, item: CachedResource | None, team: str
) -> Problem | None:
    """Return why an identity may not change a resource, ``None`` if it may.

    A token of one team permits changes to workloads of that team only. A team that
    could change its own quota would not be limited by it.
    """
    if not identity.team:
        return None
    teams = {team}
    if item is not None:
        teams.add(item.resource.metadata.team)
    if kind in WORKLOAD_KINDS and all(identity.may_change(one) for one in teams):
        return None
    return Forbidden(
        f"a token of team {identity.team} may not change {kind}/{name}",
        f"name only workloads of team {identity.team}, or use a token for all teams",
    )
