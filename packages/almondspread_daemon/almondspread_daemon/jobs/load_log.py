"""Logs and exports how much waits and how much is in use, for one leader."""

from datetime import timedelta

from loguru import logger

from almondspread.clock import Clock
from almondspread.jobs.scheduler import Scheduler
from almondspread.jobs.speeds import REFERENCE_SPEED, KindSpeed
from almondspread.jobs.workspace_loads import WorkspaceLoad
from almondspread_daemon.jobs.assignments import Assignments
from almondspread_daemon.jobs.metrics import MAX_LABELLED_KINDS, JobMetrics

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
            speeds = self._scheduler.list_kind_speeds()
            near_waits = self._scheduler.count_near_waits()
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
                speeds=_describe_speeds(speeds),
                near_waits=near_waits,
                question_slots=self._assignments.members.count_advice_slots(),
            )
            self._metrics.set_load(epoch, load)
            self._metrics.set_kind_speeds(speeds)
            self._metrics.set_near_waits(near_waits)
            await self._clock.sleep(LOAD_INTERVAL)


def _describe_speeds(speeds: list[KindSpeed]) -> dict[str, float]:
    """Return the kinds for a log line whose speed differs from the usual one."""
    found = {}
    for each in speeds[:MAX_LABELLED_KINDS]:
        if each.speed != REFERENCE_SPEED:
            found[str(each.kind)] = round(each.speed, 2)
    return found


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
