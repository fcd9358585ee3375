"""Requests that wait for a slot: bounded, by deadline, shed in a stated order.

Each kind has its own bound, and all calls that are not lookups share the largest of
theirs with the bound of lookups. Within a kind the
earliest deadline goes first. Free slots go to lookups first, but every fourth goes to
another kind that waits. Where the common bound is reached, the request with the latest
deadline of the kind that is shed first gives way to one of a kind that is shed later:
monitors are shed before recalculations, these before reservations, and lookups last.
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
    """One request in the queue; ``due`` is its deadline in monotonic time."""

    kind: str
    deadline: timedelta
    number: int = 0
    ticket: Any = None
    wake: Callable[[], None] = lambda: None
    shed: bool = False


def _make_sort_key(waiting: QueuedRequest) -> tuple[timedelta, int]:
    """Return the place of a request within its kind."""
    return waiting.deadline, waiting.number


class RequestQueue:
    """The queue of one service at one owner.

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
        """Take new bounds; requests that wait already are kept."""
        self._bounds = bounds
        calls = [bound for kind, bound in bounds.items() if kind != LOOKUP]
        self._common_bound = bounds.get(LOOKUP, 0) + max(calls, default=0)

    def __len__(self) -> int:
        return sum(len(waiting) for waiting in self._requests_by_kind.values())

    def count(self, kind: str) -> int:
        """Return how many requests of a kind wait."""
        return len(self._requests_by_kind[kind])

    def push(self, waiting: QueuedRequest) -> bool:
        """Let a request wait, perhaps in place of another; false where none may."""
        queue = self._requests_by_kind[waiting.kind]
        if len(queue) >= self._bounds.get(waiting.kind, 0):
            return False
        if len(self) >= self._common_bound and not self._shed_lower_priority(
            waiting.kind
        ):
            return False
        self._last_number += 1
        waiting.number = self._last_number
        queue.add(waiting)
        return True

    def _shed_lower_priority(self, kind: str) -> bool:
        """Drop one request of a kind that is shed before ``kind``."""
        for lower in SHEDDING_ORDER:
            if lower == kind:
                return False
            if self._requests_by_kind[lower]:
                dropped = self._requests_by_kind[lower].pop()
                dropped.shed = True
                dropped.wake()
                return True
        return False

    def remove(self, waiting: QueuedRequest) -> None:
        """Take out a request that waits no more."""
        self._requests_by_kind[waiting.kind].discard(waiting)

    def pop(self, kinds: list[str]) -> QueuedRequest | None:
        """Take out the request, of one of some kinds, that is to be served next."""
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
    """Return how long a request waits behind ``waiting`` others of its kind."""
    return timedelta(seconds=(waiting + 1) * service_seconds / max(1, slots))
