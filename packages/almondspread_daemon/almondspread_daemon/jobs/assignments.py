"""Assignment of upstreams to members, and delivery of orders to the members."""

from collections.abc import Callable
from datetime import timedelta

from loguru import logger

from almondspread.clock import Clock
from almondspread.jobs.leases import (
    compute_longest_lease_time,
    compute_orphaned_lease_time,
)
from almondspread.jobs.messages import (
    AskPermits,
    PermitsAnswered,
    UnwatchUpstream,
    UpstreamOrder,
)
from almondspread.jobs.scheduler import Scheduler
from almondspread_daemon.jobs.links import SharedMessage
from almondspread_daemon.jobs.members import Member, Members
from almondspread_daemon.jobs.settings import JobSettings

# Members send heartbeats about three times a second.
MEMBER_SILENCE_THRESHOLD = timedelta(milliseconds=700)
MEMBER_TIMEOUT = timedelta(milliseconds=1_400)
# A member reports each of its upstreams, or that one is silent, far more often.
UPSTREAM_REPORT_TIMEOUT = timedelta(seconds=4)


def is_unresponsive(member: Member, now: timedelta) -> bool:
    """Tell whether a member misses heartbeats; the leader has no link to its own."""
    return not member.leads and now - member.last_heard > MEMBER_SILENCE_THRESHOLD


class Assignments:
    """Assigns the upstreams to members and sends members the scheduler's orders.

    An assignment takes effect once it is stored. While ``can_store`` is false,
    upstreams are therefore assigned anew only where their member is lost.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        settings: JobSettings,
        clock: Clock,
        can_store: Callable[[], bool] = lambda: True,
    ) -> None:
        self.members = Members()
        self._scheduler = scheduler
        self._settings = settings
        self._clock = clock
        self._can_store = can_store

    def add_member(self, member: Member) -> None:
        """Add a member and assign it its share of the upstreams.

        A member that comes back over another link keeps the upstreams that it had, and
        the assignments too if its process is the same and so remembers them.
        """
        superseded = self.members.members.get(member.instance)
        held: set[str] = set()
        keeps_assignments = False
        if superseded is not None:
            held = self._release_upstreams(superseded)
            keeps_assignments = superseded.is_same_process(member)
        logger.info(
            "member joined",
            member=member.instance,
            epoch=self._scheduler.epoch,
            held=len(held),
        )
        self.members.add(member)
        if member.incarnation:
            self._scheduler.record_process(
                member.instance,
                member.incarnation,
                self._settings.lease,
                self._clock.monotonic(),
            )
        for name in held:
            self.members.reassign(name, member)
            if keeps_assignments:
                self._watch(name, member)
            else:
                self._begin_watch(name, member)
        self.rebalance()

    def remove_member(self, member: Member) -> None:
        """Remove a member and assign its upstreams to others."""
        if self.members.members.get(member.instance) is not member:
            return
        unassigned = self._release_upstreams(member)
        logger.warning(
            "member removed, reassigning its upstreams",
            member=member.instance,
            upstreams=len(unassigned),
            leaving=member.leaving,
        )
        for name in unassigned:
            self.assign(name)

    def _release_upstreams(self, member: Member) -> set[str]:
        """Remove a member and return the upstreams that were assigned to it.

        Orders and answers under way on its link are lost. A cut-off member may go on
        renewing leases for a while. The scheduler learns when these leases expire at
        the latest, and which requests for permits will not be answered.
        """
        now = self._clock.monotonic()
        released = self.members.remove(member)
        until = self._compute_lease_expiry(member)
        self._scheduler.abandon_upstreams(released, until, now)
        for request in member.advice_requests:
            self._report_unanswered(request)
        return released

    def update_unresponsive_upstreams(self) -> None:
        """Tell the scheduler the upstreams whose members send no heartbeats."""
        now = self._clock.monotonic()
        unresponsive: set[str] = set()
        for member in self.members.members.values():
            if is_unresponsive(member, now):
                unresponsive |= member.upstreams
        self._scheduler.update_unresponsive(unresponsive)

    def remove_silent_members(self, own: str) -> None:
        """Remove the members that have sent nothing for ``MEMBER_TIMEOUT``.

        ``own`` is the leader's own instance, which has no link to itself.
        """
        now = self._clock.monotonic()
        for member in list(self.members.members.values()):
            if member.instance != own and now - member.last_heard > MEMBER_TIMEOUT:
                self.remove_member(member)

    def drain_member(self, member: Member) -> None:
        """Assign all upstreams of a member that shuts down to others.

        While that cannot be stored, it keeps them, and renews their leases until it
        ends.
        """
        member.leaving = True
        if not self._can_store():
            return
        for name in list(member.upstreams):
            owner = self.members.find_owner(name)
            self.assign(name)
            if owner is not None and self.members.find_owner(name) is not owner:
                owner.send(UnwatchUpstream(name))

    def assign(self, name: str) -> None:
        """Assign an upstream to a member and order the member to watch it."""
        upstream = self._scheduler.cell_state.upstreams.get(name)
        if upstream is None:
            return
        owner = self.members.find_owner(name)
        member = self.members.assign(name, upstream.entry.failure_domain)
        if member is not None:
            self._begin_watch(name, member, owner)

    def resend_watch_orders(self) -> None:
        """Have members report the runs of all upstreams again."""
        for name in self._scheduler.cell_state.upstreams:
            member = self.members.find_owner(name)
            if member is not None:
                self._watch(name, member)

    def resend_silent_watch_orders(self) -> None:
        """Repeat the watch order for upstreams that no member reports on."""
        now = self._clock.monotonic()
        for name in self._scheduler.list_stale_upstreams(now, UPSTREAM_REPORT_TIMEOUT):
            member = self.members.find_owner(name)
            if member is None:
                continue
            logger.warning(
                "no reports on upstream, repeating order to member",
                upstream=name,
                member=member.instance,
            )
            self._watch(name, member)

    def rebalance(self) -> None:
        """Assign unassigned upstreams; move others to nearer or less loaded members.

        An upstream that is silent stays: a new executor does not know since when, and
        would report that its leases expire later than they do.
        """
        upstreams = self._scheduler.cell_state.upstreams
        for name in upstreams:
            if self.members.find_owner(name) is None:
                self.assign(name)
        if not self._can_store():
            return
        owners = {name: self.members.find_owner(name) for name in upstreams}
        domains = [
            (name, upstream.entry.failure_domain)
            for name, upstream in upstreams.items()
            if upstream.lapse_at is None
        ]
        for name, member in self.members.choose_moves(domains):
            owner = owners[name]
            if owner is not None:
                owner.send(UnwatchUpstream(name))
            self._begin_watch(name, member, owner)

    def _compute_lease_expiry(self, member: Member) -> timedelta:
        """Return when leases have expired that a member renews which hears no more."""
        lease = self._settings.lease
        expiry = self._clock.monotonic() + compute_orphaned_lease_time(
            lease, is_limited=member.limits_leases
        )
        if not member.bounds_leases:
            return expiry
        return min(expiry, member.lease_told_until + compute_longest_lease_time(lease))

    def _begin_watch(
        self, name: str, member: Member, owner: Member | None = None
    ) -> None:
        """Begin a new assignment of an upstream to a member.

        An ``owner`` that has just become unreachable does not hear that it must stop.
        """
        leases_until = timedelta(0)
        if owner is not None and not owner.leads:
            leases_until = self._compute_lease_expiry(owner)
        self._scheduler.begin_assignment(
            name, member.instance, member.incarnation, leases_until
        )
        self._watch(name, member)

    def _watch(self, name: str, member: Member) -> None:
        """Send a member the order to run an agent for an upstream."""
        self._scheduler.forget_stop_answers(name)
        now = self._clock.monotonic()
        member.send(self._scheduler.make_watch_order(name, now))

    def send_order(self, order: UpstreamOrder | AskPermits) -> None:
        """Send an order to the member that executes it."""
        if isinstance(order, AskPermits):
            self._send_request(order)
            return
        member = self.members.find_owner(order.upstream)
        if member is not None:
            member.send(order)
        if isinstance(order, UnwatchUpstream):
            self.members.unassign(order.upstream)

    def _send_request(self, order: AskPermits) -> None:
        """Send a request for permits to a member, or report that none takes it now."""
        adviser = self.members.choose_adviser(order.duration_seconds)
        if adviser is not None:
            adviser.advice_requests.append(order)
            adviser.send(order)
            return
        self._report_unanswered(order)

    def _report_unanswered(self, request: AskPermits) -> None:
        """Tell the scheduler that a request for permits gets no answer."""
        answer = PermitsAnswered(*request.key, None, timedelta(0))
        self._scheduler.handle_report(answer, self._clock.monotonic())

    def broadcast(self, message: object) -> None:
        """Send a message to all members."""
        shared = SharedMessage(message)
        for member in self.members.members.values():
            member.send(shared)
