"""Bounded queues of requests that wait for a slot, with load shedding.

Each kind of request has its own bound. The whole queue also has a common bound: the
bound of lookups plus the largest bound of the other kinds. Within a kind, the request
with the earliest deadline is served first. Free slots go to lookups first, but if
other kinds wait too, every fourth slot goes to one of them.

If the common bound is reached, a new request replaces a queued request of a kind that
is shed before its own kind: the one with the latest deadline of the kind that is shed
first. Monitors are shed first, then recalculations, then reservations, lookups last.
"""

from collections.abc import Callable
from datetime import timedelta
from typing import Any

from attrs import define
from sortedcontainers import SortedList

from almondspread.requests.kinds import LOOKUP, SERVING_ORDER, SHEDDING_ORDER

OTHER_KINDS_INTERVAL = 4


@define(eq=False)
class QueuedRequest:
    """A request that waits for a slot.

    ``deadline`` is in monotonic time, and ``number`` is the order of arrival. The queue
    sets ``shed`` and calls ``wake`` when it sheds the request. ``ticket`` is for the
    caller, who stores the slot of a served request there.
    """

    kind: str
    deadline: timedelta
    number: int = 0
    ticket: Any = None
    wake: Callable[[], None] = lambda: None
    shed: bool = False


def _make_sort_key(request: QueuedRequest) -> tuple[timedelta, int]:
    """Return the sort key of a request within its kind."""
    return request.deadline, request.number


class RequestQueue:
    """The queue of one service at one owner of minion shards.

    >>> queue = RequestQueue({"lookup": 2})
    >>> queue.push(QueuedRequest("lookup", timedelta(seconds=2)))
    True
    >>> queue.push(QueuedRequest("lookup", timedelta(seconds=1)))
    True
    >>> queue.push(QueuedRequest("lookup", timedelta(seconds=3)))
    False
    >>> queue.pop(["lookup"]).deadline
    datetime.timedelta(seconds=1)
    """

    def __init__(self, bounds: dict[str, int]) -> None:
        self.set_bounds(bounds)
        self._last_number = 0
        self._contended_pops = 0
        self._requests_by_kind: dict[str, SortedList] = {
            kind: SortedList(key=_make_sort_key) for kind in SERVING_ORDER
        }

    def set_bounds(self, bounds: dict[str, int]) -> None:
        """Set the bounds by kind; requests that are already queued are kept."""
        self._bounds = bounds
        call_bounds = [bound for kind, bound in bounds.items() if kind != LOOKUP]
        self._common_bound = bounds.get(LOOKUP, 0) + max(call_bounds, default=0)

    def __len__(self) -> int:
        return sum(len(requests) for requests in self._requests_by_kind.values())

    def count(self, kind: str) -> int:
        """Return the number of queued requests of a kind."""
        return len(self._requests_by_kind[kind])

    def push(self, request: QueuedRequest) -> bool:
        """Queue a request, shedding another if needed; return false if rejected."""
        queue = self._requests_by_kind[request.kind]
        if len(queue) >= self._bounds.get(request.kind, 0):
            return False
        if len(self) >= self._common_bound and not self._shed_lower_priority(
            request.kind
        ):
            return False
        self._last_number += 1
        request.number = self._last_number
        queue.add(request)
        return True

    def _shed_lower_priority(self, kind: str) -> bool:
        """Shed a request of a kind shed before ``kind``; return false if none."""
        for lower in SHEDDING_ORDER:
            if lower == kind:
                return False
            if self._requests_by_kind[lower]:
                dropped = self._requests_by_kind[lower].pop()
                dropped.shed = True
                dropped.wake()
                return True
        return False

    def remove(self, request: QueuedRequest) -> None:
        """Remove a request from the queue if it is still queued."""
        self._requests_by_kind[request.kind].discard(request)

    def pop(self, kinds: list[str]) -> QueuedRequest | None:
        """Remove and return the next request among ``kinds``, ``None`` if none."""
        order = [
            kind
            for kind in SERVING_ORDER
            if kind in kinds and self._requests_by_kind[kind]
        ]
        if not order:
            return None
        chosen = order[0]
        if chosen == LOOKUP and len(order) > 1:
            self._contended_pops += 1
            if self._contended_pops % OTHER_KINDS_INTERVAL == 0:
                chosen = order[1]
        popped: QueuedRequest = self._requests_by_kind[chosen].pop(0)
        return popped


def estimate_wait(waiting: int, slots: int, service_seconds: float) -> timedelta:
    """Estimate how long a request waits behind ``waiting`` others of its kind."""
    return timedelta(seconds=(waiting + 1) * service_seconds / max(1, slots))
