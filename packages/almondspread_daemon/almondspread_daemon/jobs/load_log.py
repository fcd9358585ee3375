"""Logs and exports how much waits and how much is in use, for one leader."""

from datetime import timedelta

from loguru import logger

from almondspread.clock import Clock
from almondspread.jobs.scheduler import Scheduler
from almondspread.jobs.workspace_loads import WorkspaceLoad
from almondspread_daemon.jobs.assignments import Assignments
from almondspread_daemon.jobs.metrics import JobMetrics

LOAD_INTERVAL = timedelta(seconds=1)
MAX_LOGGED_UPSTREAMS = 8
MAX_LOGGED_WORKSPACES = 8


class LoadLog:
    """Writes one line and sets the gauges once per ``LOAD_INTERVAL``."""

    def __init__(
        self,
        scheduler: Scheduler,
        assignments: Assignments,
        metrics: JobMetrics,
        clock: Clock,
    ) -> None:
        self._scheduler = scheduler
        self._assignments = assignments
        self._metrics = metrics
        self._clock = clock

    async def run(self) -> None:
        """Log and export the load until cancelled."""
        epoch = self._scheduler.epoch
        while True:
            now = self._clock.monotonic()
            load = self._scheduler.measure_load(now)
            logger.info(
                "load",
                epoch=epoch,
                waiting_steps=load.waiting_steps,
                unseen_upstreams=load.unseen_upstreams,
                waiting_tasks=load.waiting_tasks,
                without_permits=load.without_permits,
                used_millis=load.used_millis,
                usable_millis=load.usable_millis,
                suspected_tasks=load.suspected_tasks,
                held_tasks=load.held_tasks,
                workspaces=_describe_workspaces(load.workspaces),
                unseen=_describe_unseen(self._scheduler.list_unseen(now)),
                question_slots=self._assignments.members.count_advice_slots(),
            )
            self._metrics.set_load(epoch, load)
            await self._clock.sleep(LOAD_INTERVAL)


def _describe_workspaces(
    loads: tuple[WorkspaceLoad, ...],
) -> dict[str, dict[str, float]]:
    """Return the workspaces with the most waiting tasks for a log line."""
    found = {}
    for load in loads[:MAX_LOGGED_WORKSPACES]:
        found[load.name] = {
            "limit_share": round(load.limit_share, 2),
            "waiting_tasks": load.waiting_tasks,
            "surplus_jobs": load.surplus_jobs,
        }
    return found


def _describe_unseen(unseen: dict[str, float]) -> dict[str, float]:
    """Return the upstreams for a log line: those that hold back tasks the longest."""
    names = sorted(unseen, key=lambda name: -unseen[name])
    return {name: round(unseen[name], 1) for name in names[:MAX_LOGGED_UPSTREAMS]}
