"""A follower's link to the leader, open while the leader sends heartbeats."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from loguru import logger
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from almondspread.clock import Clock
from almondspread.jobs.leases import LeaderRow, has_failed_to_renew
from almondspread_daemon.addresses import parse_destination
from almondspread_daemon.jobs.candidacy import Candidacy
from almondspread_daemon.jobs.leader_messages import LeaderMessageDispatcher
from almondspread_daemon.jobs.leader_row_access import LeaderRowAccess
from almondspread_daemon.jobs.link_check import LinkCheck, is_refusal
from almondspread_daemon.jobs.link_messages import (
    Beat,
    Hello,
    NotLeading,
    Released,
    Resigned,
    StoreReached,
    Welcome,
)
from almondspread_daemon.jobs.links import LeaderLink, Link
from almondspread_daemon.jobs.remote_clock import RemoteClock
from almondspread_daemon.jobs.settings import JobSettings

CONNECT_TIMEOUT = timedelta(milliseconds=500)
LEADER_TIMEOUT = timedelta(milliseconds=1_000)
# After an outage of the store, the leader's renewal takes this long at the most.
RENEWAL_TIME = timedelta(milliseconds=700)
HEARTBEAT_INTERVAL = timedelta(milliseconds=300)


class Follower:
    """Follows one leader after another, each while the link to it is open.

    ``stamp`` completes a heartbeat with what this instance knows of operators' rows.
    """

    def __init__(
        self,
        settings: JobSettings,
        incarnation: str,
        dispatcher: LeaderMessageDispatcher,
        candidacy: Candidacy,
        leader_rows: LeaderRowAccess,
        store_clock: RemoteClock,
        clock: Clock,
        stamp: Callable[[Beat], Beat],
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._dispatcher = dispatcher
        self._candidacy = candidacy
        self._leader_rows = leader_rows
        self._store_clock = store_clock
        self._clock = clock
        self._stamp = stamp
        self._started = clock.monotonic()
        self._link: Link | None = None
        self._row: LeaderRow | None = None
        self._store_check: asyncio.Task[None] | None = None
        self._store_reached_at: timedelta | None = None

    @property
    def is_following(self) -> bool:
        """Whether a leader has accepted this instance as a member."""
        return self._link is not None

    @property
    def leader_row(self) -> LeaderRow | None:
        """The row of the leader that this instance follows, if any."""
        return self._row if self._link is not None else None

    def send_heartbeat(self) -> None:
        """Send the leader a heartbeat at once."""
        if self._link is not None:
            self._link.send(self._make_heartbeat())

    def _make_heartbeat(self) -> Beat:
        """Return a heartbeat with this machine's time of day."""
        return self._stamp(Beat(unix_seconds=self._clock.now().timestamp()))

    def send(self, message: object) -> None:
        """Send the leader a message; drop it if there is no leader."""
        if self._link is not None:
            self._link.send(message)

    def close(self) -> None:
        """Close the link to the leader."""
        if self._link is not None:
            self._link.close()

    async def follow(self, row: LeaderRow) -> bool:
        """Follow a leader until its link closes or it stops leading.

        Return whether another attempt should follow at once: because the leader's side
        ended a link on which it was followed, or because the link has fallen silent.
        That attempt tells at once whether the leader's process has ended.
        """
        leader = await self._connect(row)
        if leader is None:
            return False
        link = leader.link
        watchdog = asyncio.create_task(self._run_heartbeat(leader, row))
        try:
            async for message in link.receive_messages():
                leader.last_heard = self._clock.monotonic()
                if isinstance(message, Welcome):
                    self._begin_following(row, leader, message)
                    continue
                if isinstance(message, NotLeading):
                    if message.incarnation != row.incarnation:
                        self._candidacy.record_ended(row.incarnation)
                    break
                self._dispatcher.dispatch(message)
                if isinstance(message, Released | Resigned):
                    break
                if isinstance(message, Beat):
                    self._check_leader(message)
        finally:
            watchdog.cancel()
            broke_off = self._link is link and not link.closed_here
            link.close()
            self._end_following(row, link)
        return broke_off or leader.is_silent

    async def _connect(self, row: LeaderRow) -> LeaderLink | None:
        """Open a link to a leader, ``None`` if it cannot be reached."""
        try:
            host, port = parse_destination(row.address)
            stream = await TCPClient().connect(host, port, timeout=CONNECT_TIMEOUT)
        except (OSError, TimeoutError, StreamClosedError, ValueError) as error:
            logger.info(
                "cannot connect to leader", leader=row.instance, reason=str(error)
            )
            if is_refusal(error):
                # No process listens at the leader's address, so the leader has probably
                # ended. Epoch fencing makes a wrong guess harmless.
                self._candidacy.record_ended(row.incarnation)
            return None
        leader = LeaderLink(Link(stream), self._clock.monotonic())
        leader.link.send(
            Hello(
                self._settings.instance,
                self._incarnation,
                self._settings.failure_domain,
                self._settings.cores,
                self._settings.strength,
                (self._clock.monotonic() - self._started).total_seconds(),
                self._settings.peer_address,
                limits_leases=True,
                bounds_leases=True,
            )
        )
        return leader

    def _begin_following(
        self, row: LeaderRow, leader: LeaderLink, welcome: Welcome
    ) -> None:
        """Execute orders of a leader that has accepted this instance."""
        logger.info("following leader", leader=row.instance, epoch=welcome.epoch)
        self._link = leader.link
        self._row = row
        self._store_reached_at = None
        self._dispatcher.attach(leader, row.instance, welcome)

    def _end_following(self, row: LeaderRow, link: Link) -> None:
        """Go on without a leader, if ``link`` is the one to the current leader."""
        if self._link is not link:
            return
        logger.warning("link to leader closed", leader=row.instance, epoch=row.epoch)
        self._link = None
        self._dispatcher.detach()

    async def _run_heartbeat(self, leader: LeaderLink, row: LeaderRow) -> None:
        """Send heartbeats, and close the link after ``LEADER_TIMEOUT`` of silence.

        It is closed sooner where the link alone is silent. After an unexpected error
        the link is closed too: the leader hears no more.
        """
        check = LinkCheck(leader, row.address, self._settings.instance, self._clock)
        try:
            silence = timedelta(0)
            while silence <= LEADER_TIMEOUT and not leader.is_silent:
                leader.link.send(self._make_heartbeat())
                self._dispatcher.ask_clock(leader.link)
                await self._clock.sleep(HEARTBEAT_INTERVAL)
                leader.is_silent = await check.find_silent()
                silence = self._clock.monotonic() - leader.last_heard
            message = (
                "link to leader silent" if leader.is_silent else "leader timed out"
            )
            logger.warning(message, seconds=silence.total_seconds())
        except Exception as error:
            logger.opt(exception=True).error(
                "heartbeats interrupted by an error", reason=str(error)
            )
        leader.link.close()

    def _check_leader(self, beat: Beat) -> None:
        """Check the store if the leader's lease or store access has failed."""
        if beat.lease_holds and not beat.store_lost:
            self._store_reached_at = None
            return
        if self._link is not None and self._store_check is None:
            self._store_check = asyncio.create_task(self._check_store(self._link))

    async def _check_store(self, link: Link) -> None:
        """Leave a leader whose lease expired more than ``LIVE_LEADER_GRACE`` ago.

        Where the store was away, the leader first gets time to renew its lease. If this
        instance goes on following the leader, tell the leader that the store is
        available to this instance.
        """
        row, version = await self._leader_rows.read()
        self._store_check = None
        if version < 0:
            self._store_reached_at = None
            return
        now = self._clock.monotonic()
        if self._store_reached_at is None:
            self._store_reached_at = now
        has_had_time = now - self._store_reached_at >= RENEWAL_TIME
        if has_had_time and has_failed_to_renew(row, self._store_clock.now()):
            link.close()
            return
        link.send(StoreReached())
