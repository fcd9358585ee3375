"""Resources that operators declare: workloads, teams, workers, configuration."""

from almondspread.resources.capacity import Capacity
from almondspread.resources.kinds import (
    KINDS,
    BatchJob,
    Configuration,
    GangJob,
    Metadata,
    RequestService,
    Resource,
    Service,
    TaskTemplate,
    Team,
    Worker,
    Workload,
)
from almondspread.resources.parsing import describe_resource, parse_resource

__all__ = [
    "KINDS",
    "BatchJob",
    "Capacity",
    "Configuration",
    "GangJob",
    "Metadata",
    "RequestService",
    "Resource",
    "Service",
    "TaskTemplate",
    "Team",
    "Worker",
    "Workload",
    "describe_resource",
    "parse_resource",
]
