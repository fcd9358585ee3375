"""What an instance does for a leader, also when it leads itself."""

from almondspread_daemon.jobs.board import JobBoard
from almondspread_daemon.jobs.candidacy import Candidacy
from almondspread_daemon.jobs.executor import Executor
from almondspread_daemon.jobs.links import (
    Beat,
    LeaderLink,
    QueueLoads,
    Released,
    Resigned,
    RowWritten,
    SharedMessage,
    StatesChanged,
)
from almondspread_daemon.jobs.relay import RowRelay


class LeaderMessageDispatcher:
    """Passes each message of the leader to the part of the instance that it is for."""

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

    def attach(self, leader: LeaderLink) -> None:
        """Begin to work for a leader."""
        self._relay.attach(leader)
        self._executor.attach(leader.link.send)

    def detach(self) -> None:
        """Go on without a leader, for a while."""
        self._board.lose_leader()
        self._relay.detach()
        self._executor.detach()

    def dispatch(self, message: object) -> None:
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
                self._candidacy.record_release(message)
            case Resigned():
                self._candidacy.record_resignation(message.epoch)
            case _:
                self._executor.carry_out(message)  # type: ignore[arg-type]
