"""What an instance does with the messages of the leader, also when it leads itself."""

from almondspread_daemon.jobs.board import JobBoard
from almondspread_daemon.jobs.candidacy import Candidacy
from almondspread_daemon.jobs.executor import Executor
from almondspread_daemon.jobs.links import (
    Beat,
    QueueLoads,
    Released,
    Resigned,
    RowWritten,
    SharedMessage,
    StatesChanged,
)
from almondspread_daemon.jobs.relay import RowRelay


class MemberDuties:
    """Passes each message to the part of the instance that it is for."""

    def __init__(
        self,
        board: JobBoard,
        executor: Executor,
        relay: RowRelay,
        candidacy: Candidacy,
    ) -> None:
        self._board = board
        self._executor = executor
        self._relay = relay
        self._candidacy = candidacy

    def take(self, message: object) -> None:
        """Take one message of the leader."""
        if isinstance(message, SharedMessage):
            message = message.message
        match message:
            case StatesChanged(whole=True):
                self._board.replace(message.states)
            case StatesChanged():
                self._board.update(message.states)
            case QueueLoads():
                self._board.waits = message.waits
            case Beat():
                self._board.knows_all = message.knows_all
                self._relay.lease_holds = message.lease_holds
            case RowWritten():
                self._relay.settle(message)
            case Released():
                self._candidacy.note_release(message)
            case Resigned():
                self._candidacy.note_resigned(message.epoch)
            case _:
                self._executor.carry_out(message)  # type: ignore[arg-type]
