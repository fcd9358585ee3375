"""Turns in which large requests are handled, one in each pass of the event loop."""

from collections import deque
from collections.abc import Callable

from attrs import define, field

ScheduleSoon = Callable[[Callable[[], None]], object]


@define
class HandlingTurns:
    """Large requests that are whole, in the order in which they are handled.

    Decoding a large document takes milliseconds. If all that have arrived were handled
    at once, others would wait for all of them together. ``schedule`` has a function
    called in the next pass of the event loop.

    >>> passes = []
    >>> turns = HandlingTurns()
    >>> turns.add(lambda: print("first"), passes.append)
    >>> turns.add(lambda: print("second"), passes.append)
    >>> passes.pop()()
    first
    >>> passes.pop()()
    second
    >>> passes
    []
    """

    waiting: deque[Callable[[], None]] = field(factory=deque)

    def add(self, handle: Callable[[], None], schedule: ScheduleSoon) -> None:
        """Have a request handled after those that came before it."""
        self.waiting.append(handle)
        if len(self.waiting) == 1:
            schedule(lambda: self._handle_next(schedule))

    def _handle_next(self, schedule: ScheduleSoon) -> None:
        """Handle the first request that waits, and the next one in the next pass."""
        handle = self.waiting[0]
        try:
            handle()
        finally:
            self.waiting.popleft()
            if self.waiting:
                schedule(lambda: self._handle_next(schedule))
