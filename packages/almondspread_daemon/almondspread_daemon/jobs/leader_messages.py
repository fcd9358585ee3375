"""Handles the messages that an instance receives from the leader.

An instance that leads is also a member of its own session, and gets the same messages.
"""

from collections.abc import Callable
from datetime import timedelta

from loguru import logger

from almondspread.clock import Clock
from almondspread.jobs.load_estimate import Loads
from almondspread.jobs.messages import AskPermits, UpstreamOrder
from almondspread_daemon.jobs.candidacy import Candidacy
from almondspread_daemon.jobs.executor import Executor
from almondspread_daemon.jobs.link_messages import (
    AskClock,
    AskOperatorRows,
    Beat,
    ClockTold,
    OperatorRowsSent,
    QueueLoads,
    Released,
    Resigned,
    RowWritten,
    StatesChanged,
    Welcome,
)
from almondspread_daemon.jobs.links import LeaderLink, Link, SharedMessage
from almondspread_daemon.jobs.operator_exchange import OperatorExchange
from almondspread_daemon.jobs.relay import RowRelay
from almondspread_daemon.jobs.remote_clock import RemoteClock
from almondspread_daemon.jobs.state_cache import JobStateCache

# In this time, two clocks drift apart by far less than the margin of a lease.
CLOCK_CHECK_INTERVAL = timedelta(seconds=10)


class LeaderMessageDispatcher:
    """Passes each message of the leader to the component of the instance it is for.

    ``remember_peer`` is called with the addresses of members that the leader names.
    """

    def __init__(
        self,
        state_cache: JobStateCache,
        executor: Executor,
        relay: RowRelay,
        candidacy: Candidacy,
        exchange: OperatorExchange,
        remember_peer: Callable[[str], None],
        clock: Clock,
    ) -> None:
        self._state_cache = state_cache
        self._executor = executor
        self._relay = relay
        self._candidacy = candidacy
        self._exchange = exchange
        self._remember_peer = remember_peer
        self._clock = clock
        self._leader_clock = RemoteClock(clock)
        self._clock_asked_at = timedelta(0)
        self._link: Link | None = None
        self._leader = ""

    def attach(self, leader: LeaderLink, name: str, welcome: Welcome) -> None:
        """Connect the components of the instance to a leader, the instance ``name``.

        Where it asks for them, it is told which runs the executor remembers.
        """
        self._link = leader.link
        self._leader_clock = RemoteClock(self._clock)
        if welcome.clock is not None:
            told = timedelta(seconds=welcome.clock)
            self._leader_clock.observe(told, leader.greeted_at)
        self._leader = name
        self._relay.attach_leader(leader)
        if welcome.asks_runs:
            self._executor.report_remembered(leader.link.send, welcome.epoch)
        self._executor.attach_leader(
            leader.link.send, welcome.epoch, is_bounded=self._leader_clock.is_set
        )

    def ask_clock(self, link: Link) -> None:
        """Ask a leader that tells its clock for it again, since clocks drift apart."""
        now = self._clock.monotonic()
        if link is not self._link or not self._leader_clock.is_set:
            return
        if now - self._clock_asked_at >= CLOCK_CHECK_INTERVAL:
            self._clock_asked_at = now
            link.send(AskClock(now.total_seconds()))

    def _record_end(self, message: Released | Resigned) -> None:
        """Record that the leader has ended its epoch."""
        if isinstance(message, Released):
            self._candidacy.record_release(message)
        else:
            self._candidacy.record_resignation(message.epoch)

    def _handle_heartbeat(self, beat: Beat) -> None:
        """Note what the leader can do, and until when its lease lasts by its clock."""
        self._state_cache.knows_all = beat.knows_all
        self._relay.lease_holds = beat.lease_holds
        self._remember_peer(beat.member_address)
        if beat.lease_until is None:
            return
        lease_until = timedelta(seconds=beat.lease_until)
        if self._link is not None:
            lease_until = self._leader_clock.to_earliest_local(lease_until)
        self._executor.extend_leases(lease_until)

    def detach(self) -> None:
        """Disconnect the components of the instance from the leader."""
        self._link = None
        self._state_cache.mark_stale()
        self._relay.detach_leader()
        self._executor.detach_leader()

    def dispatch(self, message: object) -> None:
        """Handle one message of the leader."""
        if isinstance(message, SharedMessage):
            message = message.message
        # An instance that leads has no link to itself, and knows what it knows.
        if self._link is not None:
            self._exchange.handle(message, self._leader, self._link.send)
        if isinstance(message, UpstreamOrder | AskPermits):
            self._executor.execute_order(message)
            return
        match message:
            case StatesChanged(whole=True):
                self._state_cache.replace(message.states)
            case StatesChanged():
                self._state_cache.update(message.states)
            case QueueLoads():
                loads = Loads(
                    message.waits,
                    message.rooms,
                    message.exceeded,
                    message.instances,
                    message.sizes,
                )
                self._state_cache.admission.update(loads, self._clock.monotonic())
            case Beat():
                self._handle_heartbeat(message)
            case ClockTold():
                self._leader_clock.observe(
                    timedelta(seconds=message.clock),
                    timedelta(seconds=message.asked_at),
                )
            case AskOperatorRows() | OperatorRowsSent():
                pass
            case RowWritten():
                self._relay.handle_answer(message)
            case Released() | Resigned():
                self._record_end(message)
            case _:
                logger.warning(
                    "unexpected message of the leader ignored",
                    kind=type(message).__name__,
                )
