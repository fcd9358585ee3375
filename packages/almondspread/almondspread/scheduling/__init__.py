"""Scheduling of one shard: its state and events, placement, and worker leases."""

from almondspread.scheduling.admission import (
    CellCapacities,
    admit_workload,
    gather_capacities,
)
from almondspread.scheduling.events import EVENT_CODEC
from almondspread.scheduling.recovery import rebuild_state
from almondspread.scheduling.scheduler import Scheduler
from almondspread.scheduling.shard_assignment import assign_tasks, find_rack_shard_index
from almondspread.scheduling.shard_state import ShardState

__all__ = [
    "CellCapacities",
    "EVENT_CODEC",
    "Scheduler",
    "ShardState",
    "admit_workload",
    "assign_tasks",
    "find_rack_shard_index",
    "gather_capacities",
    "rebuild_state",
]
