"""What the upstreams that were lost under a task tell about the task.

A task may crash every upstream that starts it. No upstream lives to report the end of
such a run, so attempts cannot count it. What counts it are the upstreams themselves.
"""

from collections.abc import Iterable, Sequence

from attrs import define

# A task is given up when this many upstreams have crashed right after they started it.
MAX_FRESH_CRASHES = 2
# The same for crashes at any age of its runs, which other tasks may have caused.
MAX_CRASHES = 3
# The same where starts were not even confirmed, so that some may never have arrived.
MAX_POSSIBLE_CRASHES = 5


@define(frozen=True)
class Loss:
    """A run of a task whose upstream was lost.

    ``upstream`` is the incarnation that was lost, at ``address``. The start was
    ``confirmed`` by the upstream. A ``fresh`` run had hardly begun when the upstream
    was last heard. The upstream has ``crashed`` once another incarnation has taken its
    place; until then it may only be cut off.
    """

    run: int
    upstream: str
    address: str
    confirmed: bool = False
    fresh: bool = False
    crashed: bool = False


def is_deadly(losses: Iterable[Loss], lasting: bool = False) -> bool:
    """Return whether a task is to be given up, because upstreams crash under it.

    A lasting task may see many crashes in its time, so that only those right after a
    start count for it.

    >>> crash = Loss(1, "u-1", "10.0.0.1:80", confirmed=True, fresh=True, crashed=True)
    >>> is_deadly([crash]), is_deadly([crash, crash])
    (False, True)
    """
    return _is_too_much([loss for loss in losses if loss.crashed], lasting)


def may_be_deadly(losses: Sequence[Loss], lasting: bool = False) -> bool:
    """Return whether a task is to be given up if every lost upstream has crashed."""
    return _is_too_much(losses, lasting)


def is_suspect(losses: Sequence[Loss]) -> bool:
    """Return whether a task may well crash the next upstream that starts it."""
    confirmed = [loss for loss in losses if loss.confirmed]
    return len(confirmed) > 1 or any(loss.fresh for loss in confirmed)


def _is_too_much(losses: Sequence[Loss], lasting: bool) -> bool:
    """Return whether that many crashes are hardly by chance."""
    confirmed = [loss for loss in losses if loss.confirmed]
    fresh = [loss for loss in confirmed if loss.fresh]
    if len(fresh) >= MAX_FRESH_CRASHES:
        return True
    if lasting:
        return False
    return len(confirmed) >= MAX_CRASHES or len(losses) >= MAX_POSSIBLE_CRASHES
