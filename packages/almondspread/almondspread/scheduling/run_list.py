"""The rule that decides which entries of its run list a worker may start.

A run list contains the attempts bound to a worker that are not known to have ended,
in the order in which they were bound. Their total size may exceed the worker's
capacity: entries that do not fit yet form a backlog, and start as earlier entries end,
without another scheduling decision.
"""

from collections.abc import Iterable

from attrs import define

from almondspread.resources import Capacity


@define(frozen=True)
class RunListEntry:
    """An entry of a run list: the name of an attempt and its declared size."""

    attempt: str
    size: Capacity


def list_startable(entries: Iterable[RunListEntry], capacity: Capacity) -> list[str]:
    """Return the attempts that may start or continue to run, in list order.

    An entry may start if it fits together with all earlier entries at their declared
    sizes. Only the resources that the entry itself uses are compared, so a task
    without accelerators does not wait behind one that needs them.

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
    """Tell whether ``bound`` is within capacity in every resource that size uses."""
    if size.cpu_millis and bound.cpu_millis > capacity.cpu_millis:
        return False
    if size.memory_mib and bound.memory_mib > capacity.memory_mib:
        return False
    return not (size.accelerators and bound.accelerators > capacity.accelerators)


def count_backlog(entries: Iterable[RunListEntry], capacity: Capacity) -> int:
    """Return how many entries of a run list have to wait for earlier entries."""
    listed = list(entries)
    return len(listed) - len(list_startable(listed, capacity))


def may_append(
    entries: Iterable[RunListEntry], size: Capacity, capacity: Capacity, backlog: int
) -> bool:
    """Tell whether an attempt of a size may be appended to a run list.

    ``backlog`` is the maximum number of entries that may wait; with 0, only an attempt
    that can start at once may be appended. An attempt larger than the whole worker
    may never be appended.

    >>> may_append([], Capacity(500, 64), Capacity(4000, 1024), 0)
    True
    """
    if not size.fits_in(capacity):
        return False
    appended = [*entries, RunListEntry("", size)]
    return count_backlog(appended, capacity) <= backlog
