"""Runs of tasks that are bound to an upstream."""

from datetime import timedelta
from enum import StrEnum

from attrs import define

from almondspread.jobs.submissions import TaskId


class RunPhase(StrEnum):
    """What the leader knows about a run.

    The start of a ``starting`` run has had no answer yet. An ``unsettled`` run has had
    no clear answer and may still start. A ``stopping`` run has been ordered to stop and
    may still be running.
    """

    STARTING = "starting"
    UNSETTLED = "unsettled"
    RUNNING = "running"
    STOPPING = "stopping"


@define(eq=False)
class Run:
    """A run of a task, bound to an upstream until it is known to have ended.

    ``changed_at`` is when the phase, the progress or the pace last changed; a stop sets
    ``stop_requested_at`` instead. ``seen_at`` is when a report last showed the run with
    its ``percent`` and ``figure``. ``pace`` is the limit on its speed in percent,
    which an earlier leader or a lost order may have left otherwise unless
    ``knows_pace``.
    ``available`` is set while a lasting task does its work. A run ``is_whole`` if it
    does all the work of its task under this leader, and ``is_confirmed`` once its
    upstream has confirmed the start. Once a stop is answered,
    ``conclusive_report`` is the number of a report: if the run is absent from this
    report or a later one, it never started. Where it runs alone on trial, the trial
    lasts for ``trial_time``. ``service`` is that of the upstream.
    """

    task: TaskId
    number: int
    upstream: str
    phase: RunPhase
    started_at: timedelta
    changed_at: timedelta
    seen_at: timedelta = timedelta(0)
    percent: int = 0
    figure: int = 0
    pace: int = 100
    knows_pace: bool = True
    available: bool = False
    is_whole: bool = False
    is_confirmed: bool = False
    stop_requested_at: timedelta | None = None
    conclusive_report: int | None = None
    trial_time: timedelta = timedelta(0)
    service: str = ""

    @property
    def may_be_elsewhere(self) -> bool:
        """Whether the start may have reached another incarnation of the upstream.

        Only a report shows which incarnation has the run.
        """
        return not self.seen_at

    def forget_answers(self, now: timedelta) -> None:
        """Forget what the upstream has told, since another incarnation may have it."""
        if self.phase is not RunPhase.STOPPING:
            self.phase = RunPhase.UNSETTLED
        self.changed_at = now
        self.seen_at = timedelta(0)
        self.percent = 0
        self.available = False
        self.is_confirmed = False
        self.stop_requested_at = None
        self.conclusive_report = None
