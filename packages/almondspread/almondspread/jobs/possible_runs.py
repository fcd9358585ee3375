"""What may run on an upstream, as the executor knows that sends it all starts."""

from collections.abc import Iterable
from datetime import timedelta

from attrs import define, field

from almondspread.jobs.messages import RunId
from almondspread.jobs.ports import RenewAnswer
from almondspread.jobs.submissions import TaskId


@define(eq=False)
class PossibleRuns:
    """The runs that an upstream may run, or whose ends are not acknowledged.

    They belong to one assignment of the upstream to an executor. They are a superset:
    a run leaves it only when it is certain that the upstream neither runs it, nor will,
    nor lists its end. Until the upstream has answered, or the leader has told what it
    knows, they are not known.

    ``_listed`` is what the newest answer lists. ``_unsettled`` has starts that may yet
    be carried out, each with the time of the upstream's clock from which on it is
    refused, or ``None`` where that is not known yet.

    >>> runs = PossibleRuns()
    >>> runs.list_tasks() is None
    True
    >>> run = RunId(TaskId("j", 0, 0, 3), 1)
    >>> runs.record_order(run)
    >>> runs.record_expiry(run, timedelta(seconds=12))
    >>> runs.record_answer(RenewAnswer(timedelta(seconds=11), (), ()))
    >>> [task.index for task in runs.list_tasks()]
    [3]
    >>> runs.record_answer(RenewAnswer(timedelta(seconds=13), (), ()))
    >>> runs.list_tasks()
    ()
    """

    _is_known: bool = False
    _listed: set[RunId] = field(factory=set)
    _unsettled: dict[RunId, timedelta | None] = field(factory=dict)

    def adopt(self, confirmed: Iterable[RunId], unconfirmed: Iterable[RunId]) -> None:
        """Take over what the leader knows, before the upstream's first answer.

        The upstream has confirmed some of the runs that the leader had bound to it. The
        others may reach it late, from another executor, until they are stopped.
        """
        for run in unconfirmed:
            self._unsettled.setdefault(run, None)
        if not self._is_known:
            self._listed.update(confirmed)
            self._is_known = True

    def record_order(self, run: RunId) -> None:
        """Record that the leader has ordered a start."""
        self._unsettled[run] = None

    def record_expiry(self, run: RunId, expiry: timedelta) -> None:
        """Record from when on the upstream refuses a run, by the upstream's clock."""
        self._unsettled[run] = expiry

    def record_refusal(self, run: RunId) -> None:
        """Record that a start was certainly not carried out, and never will be."""
        self._unsettled.pop(run, None)

    def record_stop(self, run: RunId, settled: timedelta) -> None:
        """Record that a stop was answered before the upstream's time ``settled``."""
        if run in self._unsettled:
            self._unsettled[run] = settled

    def record_answer(self, answer: RenewAnswer) -> None:
        """Apply the newest answer, which lists what runs and what has ended."""
        listed = {RunId(each.task, each.run) for each in answer.running}
        listed.update(RunId(each.task, each.run) for each in answer.ends)
        if answer.lists_all_ends:
            self._settle(listed, answer.clock)
            self._listed = listed
        else:
            self._listed |= listed
        self._is_known = True

    def _settle(self, listed: set[RunId], clock: timedelta) -> None:
        """Drop the starts that an answer at the upstream's time ``clock`` settles.

        A listed one is dropped by a later answer: another one of the same time may be
        older, and not list it yet.
        """
        for run, expiry in list(self._unsettled.items()):
            if expiry is not None and clock > expiry:
                del self._unsettled[run]
            elif run in listed:
                self._unsettled[run] = clock

    def list_unsettled(self) -> list[RunId]:
        """Return the runs whose starts may yet be carried out, oldest order first."""
        return list(self._unsettled)

    def list_tasks(self) -> tuple[TaskId, ...] | None:
        """Return the tasks of all possible runs, ``None`` while they are not known."""
        if not self._is_known:
            return None
        runs = self._listed | self._unsettled.keys()
        return tuple(dict.fromkeys(run.task for run in runs))
