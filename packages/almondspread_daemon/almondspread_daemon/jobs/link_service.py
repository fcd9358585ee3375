"""Serves the links that other instances open to this one."""

from collections.abc import Callable
from datetime import timedelta

from almondspread.clock import Clock
from almondspread.jobs.leases import LeaderRow
from almondspread_daemon.jobs.leader import LeaderSession
from almondspread_daemon.jobs.link_messages import (
    AskLeader,
    AskLink,
    AskOperatorRows,
    Hello,
    LeaderKnown,
    NotLeading,
)
from almondspread_daemon.jobs.links import Link
from almondspread_daemon.jobs.members import Member
from almondspread_daemon.jobs.operator_exchange import OperatorExchange


class LinkService:
    """Serves an instance that connects: as a member, or with what it asks for.

    ``find_session`` returns the session while this instance leads, and
    ``find_leader_row`` the row of the leader that it is or follows.
    """

    def __init__(
        self,
        incarnation: str,
        clock: Clock,
        exchange: OperatorExchange,
        find_session: Callable[[], LeaderSession | None],
        find_leader_row: Callable[[], LeaderRow | None],
    ) -> None:
        self._incarnation = incarnation
        self._clock = clock
        self._exchange = exchange
        self._find_session = find_session
        self._find_leader_row = find_leader_row

    async def serve(self, link: Link) -> None:
        """Serve a link until its other side closes it, or sends what is not asked."""
        async for message in link.receive_messages():
            match message:
                case Hello():
                    await self._serve_member(message, link)
                    return
                case AskOperatorRows():
                    self._exchange.answer(message, "peer", link.send)
                case AskLink():
                    self._send_heartbeat(message.instance)
                    link.send(LeaderKnown(self._find_leader_row()))
                case AskLeader():
                    link.send(LeaderKnown(self._find_leader_row()))
                case _:
                    return

    def _send_heartbeat(self, instance: str) -> None:
        """Send a member a heartbeat on its own link, if this instance leads."""
        session = self._find_session()
        if session is not None:
            session.send_heartbeat_to(instance)

    async def _serve_member(self, hello: Hello, link: Link) -> None:
        """Serve an instance as a member, if this instance leads."""
        session = self._find_session()
        if session is None or not session.is_loaded:
            link.send(NotLeading(self._incarnation))
            return
        member = Member(
            hello.instance,
            hello.failure_domain,
            hello.cores,
            link.send,
            self._clock.monotonic(),
            hello.strength,
            self._clock.monotonic() - timedelta(seconds=hello.age),
            address=hello.address,
            incarnation=hello.incarnation,
            limits_leases=hello.limits_leases,
            bounds_leases=hello.bounds_leases,
        )
        await session.serve_member(member, link)
