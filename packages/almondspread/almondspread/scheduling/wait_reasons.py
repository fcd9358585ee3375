"""Messages that explain to operators why tasks of a workload wait."""

from datetime import UTC, datetime

from almondspread.placement import PlacementFailure
from almondspread.scheduling.tasks import WorkloadState


def explain_waiting_work(
    state: WorkloadState, failure: PlacementFailure | None, impossible: str
) -> str:
    """Return why tasks of a workload wait, an empty text if none waits.

    ``failure`` is why no worker was found for a ready task, ``None`` if no placement
    has failed. ``impossible`` says why the workload can never run, and is empty if
    the workload can run.
    """
    parts = []
    if impossible and state.ready:
        parts.append(impossible)
    elif failure is not None and state.ready:
        parts.append(f"{len(state.ready)} tasks wait: {failure.to_text()}")
    if state.delayed:
        first = min(task.retry_at for task in state.delayed.values())
        retry_time = datetime.fromtimestamp(first, UTC).strftime("%H:%M:%S")
        parts.append(
            f"{len(state.delayed)} tasks failed and wait for their next try, the "
            f"first at {retry_time} UTC"
        )
    return "; ".join(parts)
