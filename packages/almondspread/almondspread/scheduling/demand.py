"""What the waiting work of a shard needs of its teams' quotas."""

from almondspread.placement import TaskRequest, find_worker
from almondspread.placement.values import POLICY_WAITING
from almondspread.resources import Capacity
from almondspread.resources.kinds import URGENT_PRIORITY
from almondspread.scheduling.backlog import Backlog
from almondspread.scheduling.decisions import Decisions
from almondspread.scheduling.grants import NO_CAPACITY, QuotaDemand
from almondspread.scheduling.policies.ordering import QueueEntry


def compute_quota_demands(
    decisions: Decisions, backlog: Backlog
) -> dict[str, QuotaDemand]:
    """Return for each team that has waiting work the grant that would help it.

    A shard wants no more than it has room for, and nothing for a size that no worker
    has room for, so that others can have the rest; urgent work is wanted beyond that,
    as it gets room from work of less priority.
    """
    fitting: dict[Capacity, bool] = {}
    waiting: dict[str, Capacity] = {}
    urgent: dict[str, Capacity] = {}
    least: dict[str, Capacity] = {}
    for entry in backlog.list_entries():
        team = entry.workload.team
        is_urgent = entry.workload.priority >= URGENT_PRIORITY
        if not is_urgent and not _has_room(decisions, entry, fitting):
            continue
        demand = entry.workload.size.times(len(entry.tasks))
        sums = urgent if is_urgent else waiting
        sums[team] = sums.get(team, NO_CAPACITY).plus(demand)
        step = _compute_min_increment(entry)
        least[team] = step.take_smaller(least.get(team, step))
    room = _sum_free_capacity(decisions)
    needs = {}
    for team, step in least.items():
        wanted = room.take_smaller(waiting.get(team, NO_CAPACITY))
        wanted = wanted.plus(urgent.get(team, NO_CAPACITY))
        needs[team] = QuotaDemand(decisions.teams.get_usage(team).plus(wanted), step)
    return needs


def _has_room(
    decisions: Decisions, entry: QueueEntry, known: dict[Capacity, bool]
) -> bool:
    """Tell whether a task of a workload would find room now."""
    size = entry.workload.size
    if size not in known:
        request = TaskRequest(entry.workload.name, size)
        found = find_worker(decisions.cell, request, POLICY_WAITING)
        known[size] = found is not None
    return known[size]


def _compute_min_increment(entry: QueueEntry) -> Capacity:
    """Return the least grant with which something of a workload could start."""
    if entry.workload.gang:
        return entry.workload.size.times(len(entry.tasks))
    return entry.workload.size


def _sum_free_capacity(decisions: Decisions) -> Capacity:
    """Return what is free on the workers that take tasks."""
    room = NO_CAPACITY
    for worker in decisions.cell.iterate_workers():
        if not worker.exclusion:
            room = room.plus(worker.free)
    return room
