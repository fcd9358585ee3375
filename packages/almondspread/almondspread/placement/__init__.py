"""Placement of tasks on workers, within the capacity of each worker."""

from almondspread.placement.cells import Cell, WorkerState
from almondspread.placement.choices import (
    choose_gang,
    choose_worker,
    explain_infeasible,
    explain_placement_failure,
    find_worker,
)
from almondspread.placement.errors import (
    DuplicateWorker,
    OverCapacity,
    PlacementError,
    UnknownCommitment,
    UnknownWorker,
)
from almondspread.placement.values import PlacementFailure, ReasonCount, TaskRequest

__all__ = [
    "Cell",
    "DuplicateWorker",
    "OverCapacity",
    "PlacementError",
    "ReasonCount",
    "TaskRequest",
    "UnknownCommitment",
    "UnknownWorker",
    "PlacementFailure",
    "WorkerState",
    "choose_gang",
    "choose_worker",
    "explain_placement_failure",
    "explain_infeasible",
    "find_worker",
]
