"""Search of all states that a small model can reach, for ones that must not occur."""

from collections import deque
from collections.abc import Callable, Hashable, Iterable
from typing import Generic, TypeVar

from attrs import define

State = TypeVar("State", bound=Hashable)


@define(frozen=True)
class Step(Generic[State]):
    """One possible step of a model: its name and the state it leads to."""

    name: str
    state: State


@define(frozen=True)
class SearchResult:
    """The result of a search.

    ``states`` counts the states that were reached, and ``depth`` is the number of steps
    to the farthest one. ``trace`` has the names of the fewest steps that lead to a
    violation, and ``violation`` tells it; both are empty if there is none.
    """

    states: int
    depth: int
    trace: tuple[str, ...] = ()
    violation: str = ""


def search_states(
    start: State,
    list_steps: Callable[[State], Iterable[Step[State]]],
    find_violation: Callable[[State], str],
    max_states: int,
) -> SearchResult:
    """Search breadth first, up to the first violation.

    Raises ``OverflowError`` if there are more than ``max_states`` states.

    >>> def count_up(number):
    ...     return [Step("add one", number + 1)] if number < 5 else []
    >>> def is_three(number):
    ...     return "three" if number == 3 else ""
    >>> search_states(0, count_up, is_three, 100).trace
    ('add one', 'add one', 'add one')
    >>> search_states(0, count_up, lambda _: "", 100).states
    6
    """
    reached: dict[State, tuple[State, str] | None] = {start: None}
    depths = {start: 0}
    waiting = deque([start])
    depth = 0
    while waiting:
        state = waiting.popleft()
        depth = depths[state]
        violation = find_violation(state)
        if violation:
            trace = _collect_trace(state, reached)
            return SearchResult(len(reached), depth, trace, violation)
        for step in list_steps(state):
            if step.state in reached:
                continue
            if len(reached) >= max_states:
                raise OverflowError(f"the model has more than {max_states} states")
            reached[step.state] = (state, step.name)
            depths[step.state] = depth + 1
            waiting.append(step.state)
    return SearchResult(len(reached), depth)


def _collect_trace(
    state: State, reached: dict[State, tuple[State, str] | None]
) -> tuple[str, ...]:
    """Return the names of the steps that have led to a state."""
    names = []
    while (previous := reached[state]) is not None:
        state, name = previous
        names.append(name)
    return tuple(reversed(names))
