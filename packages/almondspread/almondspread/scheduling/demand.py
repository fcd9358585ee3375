"""Computes how much of each team's quota a shard could use for its waiting tasks."""

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
    """Return the quota demand of each team that has waiting tasks.

    Beyond what the team uses already, a demand does not exceed the free capacity of
    the shard and leaves out tasks that fit no worker now, so that other shards can use
    the rest of the quota. Urgent tasks are counted in addition, because they can
    preempt tasks of lower priority.
    """
    fits_by_size: dict[Capacity, bool] = {}
    waiting: dict[str, Capacity] = {}
    urgent: dict[str, Capacity] = {}
    min_increments: dict[str, Capacity] = {}
    for entry in backlog.list_entries():
        team = entry.workload.team
        is_urgent = entry.workload.priority >= URGENT_PRIORITY
        if not is_urgent and not _has_room(decisions, entry, fits_by_size):
            continue
        demand = entry.workload.size.times(len(entry.tasks))
        sums = urgent if is_urgent else waiting
        sums[team] = sums.get(team, NO_CAPACITY).plus(demand)
        increment = _compute_min_increment(entry)
        min_increments[team] = increment.take_smaller(
            min_increments.get(team, increment)
        )
    free = _sum_free_capacity(decisions)
    demands = {}
    for team, increment in min_increments.items():
        wanted = free.take_smaller(waiting.get(team, NO_CAPACITY))
        wanted = wanted.plus(urgent.get(team, NO_CAPACITY))
        demands[team] = QuotaDemand(
            decisions.teams.get_usage(team).plus(wanted), increment
        )
    return demands


def _has_room(
    decisions: Decisions, entry: QueueEntry, known: dict[Capacity, bool]
) -> bool:
    """Tell whether a task of a workload would fit a worker now.

    ``known`` caches the answers by task size.
    """
    size = entry.workload.size
    if size not in known:
        request = TaskRequest(entry.workload.name, size)
        found = find_worker(decisions.cell, request, POLICY_WAITING)
        known[size] = found is not None
    return known[size]


def _compute_min_increment(entry: QueueEntry) -> Capacity:
    """Return the smallest addition with which a workload could start a task or gang."""
    if entry.workload.gang:
        return entry.workload.size.times(len(entry.tasks))
    return entry.workload.size


def _sum_free_capacity(decisions: Decisions) -> Capacity:
    """Return the free capacity of the workers that accept tasks."""
    free = NO_CAPACITY
    for worker in decisions.cell.iterate_workers():
        if not worker.exclusion:
            free = free.plus(worker.free)
    return free
