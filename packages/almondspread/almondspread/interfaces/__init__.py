"""What almondspread asks of the platform, as typed messages and protocols."""

from almondspread.interfaces.instances import Instance, InstanceList
from almondspread.interfaces.minions import MinionAnswer, MinionRequest
from almondspread.interfaces.store import ObjectStore
from almondspread.interfaces.table import (
    Condition,
    ConditionFailed,
    Row,
    TableService,
    TableUnavailable,
    Write,
)
from almondspread.interfaces.workers import (
    AttemptEnd,
    AttemptStart,
    AttemptUsage,
    WorkerExchange,
    WorkerGateway,
    WorkerReport,
    WorkerUnreachable,
)

__all__ = [
    "AttemptEnd",
    "AttemptStart",
    "AttemptUsage",
    "Condition",
    "ConditionFailed",
    "Instance",
    "InstanceList",
    "MinionAnswer",
    "MinionRequest",
    "ObjectStore",
    "Row",
    "TableService",
    "TableUnavailable",
    "WorkerExchange",
    "WorkerGateway",
    "WorkerReport",
    "WorkerUnreachable",
    "Write",
]
