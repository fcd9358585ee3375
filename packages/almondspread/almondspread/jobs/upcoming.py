"""Steps that will soon be ready, for which permits are requested ahead.

The advice service takes up to a second for a decision. A step that asks for permits
only when the steps before it are done adds this time to its job. So it asks while their
last tasks run, early enough for the answer and late enough for the tickets to last.
"""

from collections.abc import Callable, Iterator
from datetime import timedelta

from attrs import define, field

from almondspread.jobs.bound_runs import Run
from almondspread.jobs.step_progress import StepProgress

# Estimates are rough, and tickets stay valid for about two seconds.
REQUEST_AHEAD_MARGIN = timedelta(milliseconds=400)

# Returns the expected remaining time of a run of a step.
EstimateLeft = Callable[[StepProgress, Run], timedelta]


@define(eq=False)
class UpcomingSteps:
    """The steps that are not ready, but whose earlier steps have no waiting tasks."""

    _steps: dict[tuple[str, int, int], StepProgress] = field(factory=dict)

    @property
    def is_empty(self) -> bool:
        """Whether no step is upcoming."""
        return not self._steps

    def add_dependents(self, progress: StepProgress) -> None:
        """Add the steps after one whose last waiting task has been started."""
        if progress.waiting or progress.step.lasting:
            return
        for dependent in progress.job.steps.values():
            if dependent.occurrence != progress.occurrence:
                continue
            if progress.number in dependent.step.after and _is_upcoming(dependent):
                self._steps[dependent.key] = dependent

    def list_due(
        self, time_ahead: Callable[[StepProgress], timedelta], estimate: EstimateLeft
    ) -> Iterator[StepProgress]:
        """Return the steps that become ready within their ``time_ahead``."""
        for key, progress in list(self._steps.items()):
            if not _is_upcoming(progress):
                del self._steps[key]
                continue
            left = _estimate_ready(progress, estimate)
            if left <= time_ahead(progress) + REQUEST_AHEAD_MARGIN:
                yield progress


def _list_earlier(progress: StepProgress) -> list[StepProgress]:
    """Return the steps that must be complete before a step."""
    steps = progress.job.steps
    return [steps[progress.occurrence, number] for number in progress.step.after]


def _is_upcoming(progress: StepProgress) -> bool:
    """Return whether a step only waits for tasks that are running."""
    job = progress.job
    if job.ended is not None or not progress.waiting or job.is_ready(progress):
        return False
    return not any(earlier.waiting for earlier in _list_earlier(progress))


def _estimate_ready(progress: StepProgress, estimate: EstimateLeft) -> timedelta:
    """Return in what time the last task before a step is expected to end."""
    left = timedelta(0)
    for earlier in _list_earlier(progress):
        for runs in earlier.runs.values():
            for run in runs:
                left = max(left, estimate(earlier, run))
    return left
