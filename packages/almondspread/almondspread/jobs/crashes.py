"""Crashes of upstreams: which tasks ran there, and whether the upstream did crash."""

from collections.abc import Iterable
from datetime import timedelta

import attrs
from attrs import define, field
from loguru import logger

from almondspread.jobs.bound_runs import Run
from almondspread.jobs.job_table import JobTable
from almondspread.jobs.losses import Loss, may_be_tried_on
from almondspread.jobs.messages import RunEnd, UpstreamEntry
from almondspread.jobs.step_progress import StepProgress
from almondspread.jobs.submissions import Submission, TaskId
from almondspread.jobs.trials import PROOF_TIME
from almondspread.jobs.upstreams import FRESH_TIME, Upstream

# An upstream that has not come back by then tells nothing about its tasks.
RESTART_PATIENCE = timedelta(seconds=60)
# A lasting task goes on so long after a loss, whether it is clear by then or not.
LASTING_PATIENCE = timedelta(seconds=1)
MAX_LOGGED_TASKS = 8


def is_fresh(run: Run, upstream: Upstream) -> bool:
    """Return whether a run had hardly begun when its upstream was last heard."""
    return upstream.heard_at - run.started_at < FRESH_TIME


def is_early(run: Run, upstream: Upstream) -> bool:
    """Return whether a run had not worked for long when its upstream was last heard."""
    return upstream.heard_at - run.started_at < PROOF_TIME


def format_task(task: TaskId) -> str:
    """Return a task as lists of tasks in logs name it.

    >>> format_task(TaskId("5c0e7a21", 0, 1, 17))
    '5c0e7a21.0.1.17'
    """
    return f"{task.job}.{task.occurrence}.{task.step}.{task.index}"


def log_loss(
    name: str, upstream: Upstream | None, runs: list[Run], reason: str
) -> None:
    """Log that an upstream is lost, with the runs that it may have died of.

    ``unconfirmed`` counts the starts that may never have reached the upstream, and
    ``unshown`` the runs that no report has shown there.
    """
    fresh = []
    unconfirmed = 0
    unshown = 0
    for run in runs:
        unshown += run.may_be_elsewhere
        if not run.is_confirmed:
            unconfirmed += 1
        elif upstream is not None and is_fresh(run, upstream):
            fresh.append(format_task(run.task))
    logger.warning(
        "upstream lost",
        upstream=name,
        address=upstream.entry.address if upstream else "",
        reason=reason,
        leaving=bool(upstream and upstream.is_leaving),
        runs=len(runs),
        unconfirmed=unconfirmed,
        unshown=unshown,
        fresh=fresh[:MAX_LOGGED_TASKS],
    )


@define(frozen=True)
class _OpenLoss:
    """A loss of which it is unknown whether the upstream crashed, with its task."""

    progress: StepProgress
    task: TaskId
    loss: Loss

    @property
    def key(self) -> tuple[TaskId, int]:
        """The task and the number of its run."""
        return (self.task, self.loss.run)

    @property
    def submission(self) -> Submission:
        """The job of the task."""
        return self.progress.job.submission

    @property
    def name(self) -> str:
        """The task as logs name it."""
        return format_task(self.task)


@define(eq=False)
class CrashTracker:
    """Records at each task the upstreams that were lost under it.

    A loss stays open until another incarnation shows that the upstream has crashed, or
    until the upstream answers, and for at most ``RESTART_PATIENCE``. Open losses are
    stored with the progress of their step, so that the next leader resolves them.
    Lasting tasks go on after ``LASTING_PATIENCE``, as long as they have few losses.
    """

    job_table: JobTable
    _opened: dict[tuple[TaskId, int], timedelta] = field(factory=dict)

    def record_silence(
        self, upstream: Upstream, runs: Iterable[Run], now: timedelta
    ) -> None:
        """Record that an upstream fell silent with some fresh runs.

        The others are recorded when they are lost: it may yet answer, and a record
        costs a write.
        """
        for run in runs:
            if run.is_confirmed and is_fresh(run, upstream):
                self._open(run, upstream, now)

    def record_loss(
        self, upstream: Upstream, runs: Iterable[Run], now: timedelta
    ) -> None:
        """Record that an upstream is lost with all its runs.

        An upstream that was about to leave was shut down, not crashed.
        """
        for run in runs:
            if upstream.is_leaving:
                self._dismiss(run.task, run.number)
            else:
                self._open(run, upstream, now)

    def record_end(self, end: RunEnd) -> None:
        """Dismiss the loss of a run whose end its upstream has reported."""
        self._dismiss(end.task, end.run)

    def record_sighting(self, progress: StepProgress, run: Run) -> None:
        """Dismiss the loss of a run that has turned out to be running."""
        if progress.losses:
            self._dismiss(run.task, run.number)

    def record_work(self, progress: StepProgress, run: Run, now: timedelta) -> None:
        """Dismiss all losses of a lasting task once it has worked for long enough."""
        if now - run.started_at < PROOF_TIME:
            return
        if progress.losses.forget(run.task.index):
            self.job_table.mark_losses(progress)

    def record_answer(self, upstream: str) -> None:
        """Dismiss the open losses of an upstream that answers again."""
        for each in self._list_open():
            if each.loss.upstream == upstream:
                self._dismiss(*each.key)

    def _open(self, run: Run, upstream: Upstream, now: timedelta) -> None:
        """Record the loss of one run."""
        self._opened.setdefault((run.task, run.number), now)
        progress = self.job_table.find_step(run)
        if run.task.index in progress.done:
            return
        progress.losses.record(
            run.task.index,
            Loss(
                run.number,
                upstream.name,
                upstream.entry.address,
                run.is_confirmed,
                is_fresh(run, upstream),
                identity=upstream.entry.identity,
                early=is_early(run, upstream),
            ),
        )
        self.job_table.mark_losses(progress)

    def _dismiss(self, task: TaskId, run: int) -> None:
        """Remove the loss of one run, if there is one."""
        self._opened.pop((task, run), None)
        progress = self.job_table.find_known_step(task.job, task.occurrence, task.step)
        if progress is not None and progress.losses.dismiss(task.index, run):
            self.job_table.mark_losses(progress)

    def find_patience_ends(self) -> dict[tuple[TaskId, int], timedelta]:
        """Return until when each open loss holds its task at the most, by the run."""
        found = {}
        for (task, run), since in self._opened.items():
            progress = self.job_table.find_known_step(
                task.job, task.occurrence, task.step
            )
            if progress is None:
                continue
            patience = RESTART_PATIENCE
            losses = progress.losses.by_task.get(task.index, ())
            if progress.step.lasting and may_be_tried_on(losses):
                patience = LASTING_PATIENCE
            found[task, run] = since + patience
        return found

    def _list_open(self) -> list[_OpenLoss]:
        """Return the open losses of all jobs that have not ended."""
        found = []
        for progress in self.job_table.list_steps_with_losses():
            for index, loss in progress.losses.list_open():
                found.append(_OpenLoss(progress, progress.make_task_id(index), loss))
        return found

    def resolve(self, entries: list[UpstreamEntry], now: timedelta) -> None:
        """Resolve open losses by the newest list of upstreams.

        Jobs with a task that crashes its upstreams end here. An entry of a service
        that is not configured may come from any writer, and settles nothing.
        """
        names = {entry.name for entry in entries}
        services = {entry.address: entry.service for entry in entries}
        # An upstream may start again under its identity, also at another address.
        restarted = {entry.identity: entry.service for entry in entries}
        configured = self.job_table.configuration.services
        opened: dict[tuple[TaskId, int], timedelta] = {}
        crashed: dict[str, list[str]] = {}
        for each in self._list_open():
            since = self._opened.get(each.key, now)
            expected = self.job_table.find_service(each.submission)
            service = restarted.get(each.loss.identity)
            if service is None:
                service = services.get(each.loss.address)
            if service != expected and service not in configured:
                service = None
            if service is None or each.loss.upstream in names:
                if now - since > RESTART_PATIENCE:
                    self._dismiss(*each.key)
                else:
                    opened[each.key] = since
            elif service != expected:
                # The address went to another service: the upstream was replaced.
                self._dismiss(*each.key)
            else:
                self._confirm(each, now)
                crashed.setdefault(each.loss.upstream, []).append(each.name)
        self._opened = opened
        self._try_lasting_tasks_on(now)
        _log_crashes(crashed)

    def _try_lasting_tasks_on(self, now: timedelta) -> None:
        """Have lasting tasks go on whose losses have stayed open for long enough."""
        newest: dict[TaskId, timedelta] = {}
        for (task, _), since in self._opened.items():
            newest[task] = max(since, newest.get(task, since))
        for task, since in newest.items():
            if now - since < LASTING_PATIENCE:
                continue
            progress = self.job_table.find_known_step(
                task.job, task.occurrence, task.step
            )
            if progress is not None and progress.step.lasting:
                progress.losses.try_on(task.index)

    def _confirm(self, each: _OpenLoss, now: timedelta) -> None:
        """Record that an upstream has crashed, and end the job if that was too much."""
        progress = each.progress
        progress.losses.record(each.task.index, attrs.evolve(each.loss, crashed=True))
        self.job_table.mark_losses(progress)
        self.job_table.end_if_finished(progress.job, now)


def _log_crashes(crashed: dict[str, list[str]]) -> None:
    """Log the upstreams that have crashed, with the tasks that they ran."""
    for upstream, tasks in crashed.items():
        logger.warning(
            "upstream has crashed",
            upstream=upstream,
            under=len(tasks),
            tasks=tasks[:MAX_LOGGED_TASKS],
        )
