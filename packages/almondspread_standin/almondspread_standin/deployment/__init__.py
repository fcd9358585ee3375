"""What an operator runs, as one JSON file describes it."""

from almondspread_standin.deployment.layout import (
    Deployment,
    Entry,
    FailureDomain,
    MinionGroup,
    Rack,
)
from almondspread_standin.deployment.loading import read_deployment, read_workloads

__all__ = [
    "Deployment",
    "Entry",
    "FailureDomain",
    "MinionGroup",
    "Rack",
    "read_deployment",
    "read_workloads",
]
