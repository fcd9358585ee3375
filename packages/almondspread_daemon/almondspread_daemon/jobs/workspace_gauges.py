"""Gauges of the load of workspaces, with a bounded number of labels."""

from opentelemetry.metrics import Meter

from almondspread.jobs.workspace_loads import WorkspaceLoad, merge_loads
from almondspread_daemon.jobs.workspace_labels import (
    MAX_LABELLED_WORKSPACES,
    OTHER_WORKSPACES,
)


class WorkspaceGauges:
    """The gauges of one instance; the first workspaces seen have their own labels."""

    def __init__(self, meter: Meter) -> None:
        self._limit_share = meter.create_gauge(
            "workspace_limit_share",
            description="the part of its limit that a workspace uses, at the leader",
        )
        self._waiting_tasks = meter.create_gauge(
            "workspace_waiting_tasks", description="waiting tasks of a workspace"
        )
        self._surplus_jobs = meter.create_gauge(
            "workspace_surplus_jobs",
            description="jobs not ended that are beyond the rate of a workspace",
        )
        self._labelled: set[str] = set()

    def set(self, loads: tuple[WorkspaceLoad, ...]) -> None:
        """Set the gauges; workspaces that are not among the loads have none."""
        shown = {name: WorkspaceLoad(name, 0.0, 0, 0) for name in self._labelled}
        others = []
        for load in loads:
            named = load.name != OTHER_WORKSPACES and (
                load.name in shown
                or len(self._labelled - {OTHER_WORKSPACES}) < MAX_LABELLED_WORKSPACES
            )
            if not named:
                others.append(load)
                continue
            self._labelled.add(load.name)
            shown[load.name] = load
        if others or OTHER_WORKSPACES in self._labelled:
            self._labelled.add(OTHER_WORKSPACES)
            shown[OTHER_WORKSPACES] = merge_loads(OTHER_WORKSPACES, others)
        for name, load in shown.items():
            label = {"workspace": name}
            self._limit_share.set(load.limit_share, label)
            self._waiting_tasks.set(load.waiting_tasks, label)
            self._surplus_jobs.set(load.surplus_jobs, label)
