"""Messages that explain to operators why tasks of a workload wait."""

from datetime import UTC, datetime

from almondspread.placement import PlacementFailure
from almondspread.scheduling.tasks import WorkloadState


def explain_waiting_work(
    state: WorkloadState, waiting: PlacementFailure | None, impossible: str
) -> str:
    """Return why tasks of a workload wait, an empty text if none waits.

    ``waiting`` is the outcome of the latest placement. ``impossible`` says why the
    workload can never run, and is empty if it can.
    """
    parts = []
    if impossible and state.ready:
        parts.append(impossible)
    elif waiting is not None and state.ready:
        parts.append(f"{len(state.ready)} tasks wait: {waiting.to_text()}")
    if state.delayed:
        first = min(task.retry_at for task in state.delayed.values())
        retry_time = datetime.fromtimestamp(first, UTC).strftime("%H:%M:%S")
        parts.append(
            f"{len(state.delayed)} tasks failed and wait for their next try, the "
            f"first at {retry_time} UTC"
        )
    return "; ".join(parts)
