"""The starting rule of run lists: what a worker may start, whoever asks.

A run list names the attempts bound to a worker that are not known to have ended, in
the order in which they were bound. It may be longer than the worker is large: what
does not fit yet is a backlog that starts as earlier entries end, with no new decision.
"""

from collections.abc import Iterable

from attrs import define

from almondspread.resources import Capacity


@define(frozen=True)
class RunListEntry:
    """One entry of a run list: an attempt's name and its declared size."""

    attempt: str
    size: Capacity


def list_startable(entries: Iterable[RunListEntry], capacity: Capacity) -> list[str]:
    """Return the attempts that may start now or already may run, in list order.

    An entry may start when it fits beside every earlier entry at declared size. Only
    resources of which the entry has a share count, so a task without accelerators is
    not held up by one that waits for them.

    >>> entries = [
    ...     RunListEntry("a#0/1", Capacity(3000, 64)),
    ...     RunListEntry("b#0/1", Capacity(2000, 64)),
    ... ]
    >>> list_startable(entries, Capacity(4000, 1024))
    ['a#0/1']
    """
    startable = []
    bound = Capacity(0, 0, 0)
    for entry in entries:
        bound = bound.plus(entry.size)
        if _fits_where_used(entry.size, bound, capacity):
            startable.append(entry.attempt)
    return startable


def _fits_where_used(size: Capacity, bound: Capacity, capacity: Capacity) -> bool:
    """Tell whether ``bound`` is within capacity in each resource that size uses."""
    if size.cpu_millis and bound.cpu_millis > capacity.cpu_millis:
        return False
    if size.memory_mib and bound.memory_mib > capacity.memory_mib:
        return False
    return not (size.accelerators and bound.accelerators > capacity.accelerators)


def count_backlog(entries: Iterable[RunListEntry], capacity: Capacity) -> int:
    """Return how many entries of a run list have to wait for earlier ones."""
    listed = list(entries)
    return len(listed) - len(list_startable(listed, capacity))


def may_append(
    entries: Iterable[RunListEntry], size: Capacity, capacity: Capacity, backlog: int
) -> bool:
    """Tell whether an attempt may be bound to a worker, at once or ahead of need.

    ``backlog`` is the most entries that may wait; 0 binds only what can start at
    once. An attempt larger than the worker is never bound to it.

    >>> may_append([], Capacity(500, 64), Capacity(4000, 1024), 0)
    True
    """
    if not size.fits_in(capacity):
        return False
    appended = [*entries, RunListEntry("", size)]
    return count_backlog(appended, capacity) <= backlog
