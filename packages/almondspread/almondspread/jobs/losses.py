"""What the upstreams that were lost under a task tell about the task.

A task may crash every upstream that starts it. No upstream lives to report the end of
such a run, so attempts cannot count it. What counts it are the upstreams themselves.
"""

from collections.abc import Iterable, Sequence

from attrs import define, field

# A task is given up when this many upstreams have crashed right after they started it.
MAX_FRESH_CRASHES = 2
# The same for crashes at any age of its runs, which other tasks may have caused.
MAX_CRASHES = 3
# The same where starts were not even confirmed, so that some may never have arrived.
MAX_POSSIBLE_CRASHES = 5
# A lasting task that has lost so many upstreams soon after its starts waits until it is
# clear why.
MAX_UNCLEAR_LOSSES = 4
# A task that lasts may lose any number of upstreams; the newest losses tell enough.
MAX_KEPT_LOSSES = 8


@define(frozen=True)
class Loss:
    """A run of a task whose upstream was lost.

    ``upstream`` is the incarnation that was lost, at ``address``, and ``identity`` that
    of all its incarnations. The start was
    ``confirmed`` by the upstream. A ``fresh`` run had hardly begun when the upstream
    was last heard, and an ``early`` one had not worked for long. The upstream has
    ``crashed`` once another incarnation has taken its place; until then it may only be
    cut off.
    """

    run: int
    upstream: str
    address: str
    confirmed: bool = False
    fresh: bool = False
    crashed: bool = False
    identity: str = ""
    early: bool = False


def is_crashing(losses: Iterable[Loss], lasting: bool = False) -> bool:
    """Return whether a task is to be given up, because upstreams crash under it.

    A lasting task may see many crashes in its time, so that only those soon after a
    start count for it, and only as long as none of its runs has worked for longer.

    >>> crash = Loss(1, "u-1", "10.0.0.1:80", confirmed=True, fresh=True, crashed=True)
    >>> is_crashing([crash]), is_crashing([crash, crash])
    (False, True)
    """
    return _is_too_much([loss for loss in losses if loss.crashed], lasting)


def may_be_crashing(losses: Sequence[Loss], lasting: bool = False) -> bool:
    """Return whether a task is to be given up if every lost upstream has crashed."""
    return _is_too_much(losses, lasting)


def is_suspect(losses: Sequence[Loss]) -> bool:
    """Return whether a task may well crash the next upstream that starts it.

    One upstream that is lost under a task says little, unless the run was fresh: of
    all runs there, those that had just begun are the likeliest cause.
    """
    confirmed = [loss for loss in losses if loss.confirmed]
    return len(confirmed) > 1 or any(loss.fresh for loss in confirmed)


def may_be_tried_on(losses: Iterable[Loss]) -> bool:
    """Return whether a lasting task may go on while the cause of losses is unclear.

    >>> loss = Loss(1, "u-1", "10.0.0.1:80", confirmed=True, early=True)
    >>> may_be_tried_on([loss] * 3), may_be_tried_on([loss] * 4)
    (True, False)
    """
    counted = [loss for loss in losses if loss.confirmed and (loss.early or loss.fresh)]
    return len(counted) < MAX_UNCLEAR_LOSSES


def _is_too_much(losses: Sequence[Loss], lasting: bool) -> bool:
    """Return whether that many crashes are hardly by chance."""
    confirmed = [loss for loss in losses if loss.confirmed]
    fresh = [loss for loss in confirmed if loss.fresh]
    if len(fresh) >= MAX_FRESH_CRASHES:
        return True
    if lasting:
        return len([loss for loss in confirmed if loss.early]) >= MAX_CRASHES
    return len(confirmed) >= MAX_CRASHES or len(losses) >= MAX_POSSIBLE_CRASHES


@define(eq=False)
class TaskLosses:
    """The losses of the tasks of one step, by the index of the task.

    The tasks ``tried_on`` go on although it is unclear why their upstreams were lost.
    """

    by_task: dict[int, list[Loss]] = field(factory=dict)
    tried_on: set[int] = field(factory=set)

    def __bool__(self) -> bool:
        return bool(self.by_task)

    def record(self, index: int, loss: Loss) -> None:
        """Record a loss of a task, in place of an earlier record of the same run.

        Of more than ``MAX_KEPT_LOSSES``, the oldest that was not fresh is dropped, or
        else the oldest.
        """
        self.dismiss(index, loss.run)
        self.tried_on.discard(index)
        losses = self.by_task.setdefault(index, [])
        losses.append(loss)
        if len(losses) > MAX_KEPT_LOSSES:
            stale = [each for each in losses if not each.fresh]
            losses.remove((stale or losses)[0])

    def dismiss(self, index: int, run: int) -> bool:
        """Remove the loss of one run of a task; return whether there was one."""
        losses = self.by_task.get(index, [])
        left = [loss for loss in losses if loss.run != run]
        if len(left) == len(losses):
            return False
        self.by_task[index] = left
        if not left:
            del self.by_task[index]
        return True

    def forget(self, index: int) -> bool:
        """Remove all losses of a task; return whether there were any."""
        return self.by_task.pop(index, None) is not None

    def copy(self) -> dict[int, list[Loss]]:
        """Return the losses by the index of the task, as they are now."""
        return {index: list(losses) for index, losses in self.by_task.items()}

    def list_open(self) -> list[tuple[int, Loss]]:
        """Return the losses of which it is unknown whether the upstream crashed."""
        found: list[tuple[int, Loss]] = []
        for index, losses in self.by_task.items():
            found.extend((index, loss) for loss in losses if not loss.crashed)
        return found

    def find_crashing(self, lasting: bool) -> int | None:
        """Return the index of a task that is to be given up, if there is one."""
        for index, losses in self.by_task.items():
            if is_crashing(losses, lasting):
                return index
        return None

    def is_suspect(self, index: int) -> bool:
        """Return whether a task may well crash the next upstream that starts it."""
        return is_suspect(self.by_task.get(index, ()))

    def count_suspects(self) -> int:
        """Return the number of tasks that may well crash the next upstream."""
        return sum(is_suspect(losses) for losses in self.by_task.values())

    def try_on(self, index: int) -> None:
        """Let a lasting task go on until its next loss, unless it has lost too many."""
        if may_be_tried_on(self.by_task.get(index, ())):
            self.tried_on.add(index)

    def must_wait(self, index: int, lasting: bool) -> bool:
        """Return whether a task waits until it is clear why its upstreams are lost."""
        if index in self.tried_on:
            return False
        return may_be_crashing(self.by_task.get(index, ()), lasting)
