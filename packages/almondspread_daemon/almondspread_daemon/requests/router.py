"""Routing of requests from their entry to the owners of minions and of keys."""

import random
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any, TypeVar

from expression import Error, Ok, Result

from almondspread.clock import Clock
from almondspread.errors import Problem, Unavailable
from almondspread.interfaces import MinionAnswer, MinionRequest
from almondspread.ownership import Member
from almondspread.requests import RetryBudget, choose_backoff, find_key_shard
from almondspread_daemon.membership import Neighbours
from almondspread_daemon.peers.links import NO_GRACE
from almondspread_daemon.peers.messages import Refused
from almondspread_daemon.peers.request_messages import (
    AnswerRecorded,
    CallAnswered,
    CallMinion,
    DeliverAnswer,
    DropSlot,
    FetchRecord,
    SendTaken,
    ServiceLoad,
    SlotTaken,
    SubmitCall,
    TakeSlot,
)
from almondspread_daemon.requests.deliveries import AnswerDeliveries
from almondspread_daemon.requests.dispatches import HeldSlot
from almondspread_daemon.requests.key_shards import KeyShard
from almondspread_daemon.requests.loads import PeerLoads
from almondspread_daemon.requests.minion_calls import MinionCalls
from almondspread_daemon.requests.minion_pools import MinionPools
from almondspread_daemon.requests.refusals import (
    refuse_no_minion,
    refuse_past_deadline,
    refuse_unowned_shard,
    refuse_unreachable_owner,
    report_unknown_outcome,
    to_result,
)
from almondspread_daemon.requests.reply_margins import compute_reply_margin
from almondspread_daemon.requests.service_pools import Ticket

FETCH_TIMEOUT = timedelta(seconds=2)
DELIVER_TIMEOUT = timedelta(seconds=5)
REPLY_GRACE = timedelta(milliseconds=250)
OWNER_RETRY_DELAY = timedelta(milliseconds=20)
MAX_AWAITING_OWNER = 512
MAX_OWNERS_ASKED = 3
MAX_RETRIES = 2
NO_LOAD = ServiceLoad(0, 0, 0)
SERVICE_UNAVAILABLE_STATUS = 503

T = TypeVar("T")


class RequestRouter:
    """Routes requests to minions, and to the owners of the records of keys.

    The owner is this instance or a peer, which is called directly and doesn't forward
    the request any further.
    """

    def __init__(
        self,
        failure_domain: str,
        request_shards: tuple[str, ...],
        find_runner: Callable[[str], Any],
        pools: MinionPools,
        calls: MinionCalls,
        neighbours: Neighbours,
        clock: Clock,
    ) -> None:
        self._request_shards = request_shards
        self._find_runner = find_runner
        self._pools = pools
        self._calls = calls
        self._neighbours = neighbours
        self._clock = clock
        self._random = random.Random()
        self._budget = RetryBudget()
        self._awaiting_owner = 0
        self._answering_addresses: dict[tuple[str, str], str] = {}
        self.loads = PeerLoads(failure_domain, self._random)
        self.deliveries = AnswerDeliveries(self._deliver_answer, clock)

    def to_monotonic_deadline(self, deadline: float) -> timedelta:
        """Convert a deadline in seconds since the Unix epoch to monotonic time."""
        left = deadline - self._clock.now().timestamp()
        return self._clock.monotonic() + timedelta(seconds=left)

    def order_owners(self, service: str) -> list[Member | None]:
        """Return the owners to ask for a slot of a service, the best first.

        ``None`` stands for this instance.
        """
        pool = self._pools.pools.get(service)
        now = self._clock.monotonic()
        own = pool.compute_load(now) if pool else NO_LOAD
        members = [member for member in self._neighbours.list_live() if member.ready]
        return self.loads.order_owners(service, own, members, now)

    async def call_minion(
        self, request: MinionRequest
    ) -> Result[MinionAnswer, Problem]:
        """Send an idempotent request to a minion, and return the answer.

        A request whose outcome is unknown, or that was answered with status 503, is
        retried with backoff, at most ``MAX_RETRIES`` times, before the deadline and
        within the retry budget.
        """
        due = self.to_monotonic_deadline(request.deadline)
        self._budget.record_request()
        tries = 0
        while True:
            answer = await self._retry_during_failover(
                lambda: self._call_once(request, due), due
            )
            if answer.is_ok() and answer.ok.status != SERVICE_UNAVAILABLE_STATUS:
                return answer
            if answer.is_error() and answer.error.not_run is True:
                return answer
            pause = choose_backoff(tries, self._random)
            tries += 1
            if tries > MAX_RETRIES or self._clock.monotonic() + pause >= due:
                return answer
            if not self._budget.spend():
                return answer
            await self._clock.sleep(pause)

    async def _retry_during_failover(
        self, attempt: Callable[[], Awaitable[Result[T, Problem]]], due: timedelta
    ) -> Result[T, Problem]:
        """Retry an attempt that was not run because an owner or minion was unavailable.

        Retries end before ``due``. Such an attempt reached no minion, so that it is
        safe to repeat also for requests that are not idempotent. At most
        ``MAX_AWAITING_OWNER`` requests wait like this at a time; others fail at once.
        """
        tries = 0
        while True:
            outcome = await attempt()
            if outcome.is_ok() or not isinstance(outcome.error, Unavailable):
                return outcome
            pause = OWNER_RETRY_DELAY + choose_backoff(tries, self._random)
            tries += 1
            if outcome.error.not_run is not True:
                return outcome
            if self._clock.monotonic() + pause >= due:
                return outcome
            if self._awaiting_owner >= MAX_AWAITING_OWNER:
                return outcome
            self._awaiting_owner += 1
            try:
                await self._clock.sleep(pause)
            finally:
                self._awaiting_owner -= 1

    async def _call_once(
        self, request: MinionRequest, due: timedelta
    ) -> Result[MinionAnswer, Problem]:
        """Send a request through the first owner of minions that doesn't refuse it."""
        refused: Problem = refuse_no_minion(request.service)
        for owner in self.order_owners(request.service)[:MAX_OWNERS_ASKED]:
            if owner is None:
                answer = await self._calls.call_minion(request, due, wait=True)
            else:
                answer = await self._forward_request(owner, request, due)
            if answer.is_ok() or answer.error.not_run is not True:
                return answer
            refused = answer.error
        return Error(refused)

    async def _forward_request(
        self, member: Member, request: MinionRequest, due: timedelta
    ) -> Result[MinionAnswer, Problem]:
        """Forward a request to a peer that owns minions of the service."""
        message = CallMinion(
            request.service,
            request.kind,
            request.key,
            request.body,
            request.deadline,
            wait=True,
        )
        self.loads.record_forwarded_request(member.name, request.service)
        outcome = await self.call_peer(member, message, due)
        if outcome.is_error():
            return Error(outcome.error)
        answered = outcome.ok
        return Ok(MinionAnswer(answered.status, answered.body, answered.content_type))

    async def acquire_slot(
        self, service: str, kind: str, due: timedelta
    ) -> Result[HeldSlot, Problem]:
        """Acquire a slot for a keyed request, on this instance or a peer.

        Stops trying a little before ``due``, so that the caller, who waits until
        then, still learns that the request was not run.
        """
        left = due - self._clock.monotonic()
        early = due - compute_reply_margin(left.total_seconds())
        return await self._retry_during_failover(
            lambda: self._acquire_slot_once(service, kind, early), early
        )

    async def _acquire_slot_once(
        self, service: str, kind: str, due: timedelta
    ) -> Result[HeldSlot, Problem]:
        """Ask the owners of minions for a slot, the best first, once each."""
        refused: Problem = refuse_no_minion(service)
        for owner in self.order_owners(service)[:MAX_OWNERS_ASKED]:
            if owner is None:
                acquired = await self._pools.acquire_slot(service, kind, due, wait=True)
                if acquired.is_ok():
                    return Ok(self._hold_local_slot(acquired.ok))
                refused = acquired.error
                continue
            self.loads.record_forwarded_request(owner.name, service)
            message = TakeSlot(service, kind, wait=True)
            # No request was sent yet, so a late reply is not worth waiting for.
            asked = await self.call_peer(owner, message, due, NO_GRACE)
            if asked.is_ok() and isinstance(asked.ok, SlotTaken):
                return Ok(self._hold_peer_slot(owner, asked.ok.number))
            if asked.is_error():
                # No request was sent yet, so it was not run, whatever the error is.
                refused = asked.error
                if refused.not_run is not True:
                    refused = refuse_unreachable_owner(refused.message)
        return Error(refused)

    def _hold_local_slot(self, ticket: Ticket) -> HeldSlot:
        """Wrap a slot of an owned minion."""

        async def send(
            shard: str, request: MinionRequest, due: timedelta
        ) -> Result[MinionAnswer, Problem]:
            def handle_late_answer(answer: MinionAnswer) -> None:
                self.deliveries.add(_make_delivery(shard, request, answer), True)

            return await self._calls.send_request(
                ticket, request, due, handle_late_answer
            )

        return HeldSlot(send, lambda: self._pools.release_slot(ticket))

    def _hold_peer_slot(self, owner: Member, number: int) -> HeldSlot:
        """Wrap a slot that a peer holds for this instance under a number."""

        async def send(
            shard: str, request: MinionRequest, due: timedelta
        ) -> Result[MinionAnswer, Problem]:
            message = SendTaken(
                number,
                shard,
                request.service,
                request.kind,
                request.key,
                request.body,
                request.deadline,
            )
            outcome = await self.call_peer(owner, message, due)
            if outcome.is_error():
                return Error(outcome.error)
            answered = outcome.ok
            self._answering_addresses[request.service, request.key] = owner.address
            return Ok(
                MinionAnswer(answered.status, answered.body, answered.content_type)
            )

        def release() -> None:
            self._neighbours.notify(owner.address, DropSlot(number))

        return HeldSlot(send, release)

    async def submit(self, message: SubmitCall) -> Result[CallAnswered, Problem]:
        """Submit a non-idempotent request to the owner of its key.

        A submission that was not run because its owner was unavailable is retried
        until its deadline.
        """
        due = self.to_monotonic_deadline(message.deadline)
        return await self._retry_during_failover(
            lambda: self._submit_once(message, due), due
        )

    async def _submit_once(
        self, message: SubmitCall, due: timedelta
    ) -> Result[CallAnswered, Problem]:
        """Submit a request to the owner of its key: this instance or a peer."""
        runner = self._find_runner(message.shard)
        if isinstance(runner, KeyShard):
            return to_result(await runner.submit(message, due))
        owner = self._neighbours.find_owner(message.shard)
        if owner is None:
            return Error(refuse_unowned_shard(message.shard))
        return await self.call_peer(owner, message, due)

    async def fetch_record(
        self, service: str, key: str
    ) -> Result[CallAnswered, Problem]:
        """Fetch the recorded answer of a key from the owner of the key."""
        shard = self.find_key_shard(service, key)
        runner = self._find_runner(shard)
        if isinstance(runner, KeyShard):
            return to_result(await runner.fetch_record(service, key))
        owner = self._neighbours.find_owner(shard)
        if owner is None:
            return Error(refuse_unowned_shard(shard))
        due = self._clock.monotonic() + FETCH_TIMEOUT
        return await self.call_peer(owner, FetchRecord(shard, service, key), due)

    def find_key_shard(self, service: str, key: str) -> str:
        """Return the request shard that holds the record of a key."""
        return find_key_shard(service, key, self._request_shards)

    async def call_peer(
        self,
        member: Member,
        message: Any,
        due: timedelta,
        grace: timedelta = REPLY_GRACE,
    ) -> Result[Any, Problem]:
        """Call a peer and return its reply.

        A refusal of the peer, and a call of which nothing was sent, are returned as
        problems. If the reply was lost, the outcome is unknown. The call waits for
        the reply for ``grace`` longer than ``due``: a refusal from just before the
        deadline proves that the request was not run, while no reply would leave its
        outcome unknown.
        """
        timeout = due - self._clock.monotonic()
        if timeout <= timedelta(0):
            return Error(refuse_past_deadline(getattr(message, "service", "")))
        outcome = await self._neighbours.call(member.address, message, timeout, grace)
        if outcome.is_error():
            if outcome.error.not_sent:
                return Error(refuse_unreachable_owner(outcome.error.reason))
            return Error(
                report_unknown_outcome(f"the answer was lost: {outcome.error.reason}")
            )
        if isinstance(outcome.ok, Refused):
            return Error(outcome.ok.to_problem())
        return Ok(outcome.ok)

    async def _deliver_answer(self, answer: DeliverAnswer) -> bool:
        """Deliver an answer to the owner of its key; tell whether it was accepted."""
        runner = self._find_runner(answer.shard)
        if isinstance(runner, KeyShard):
            return await runner.record_answer(answer)
        owner = self._neighbours.find_owner(answer.shard)
        if owner is None:
            return False
        due = self._clock.monotonic() + DELIVER_TIMEOUT
        delivered = await self.call_peer(owner, answer, due)
        return delivered.is_ok()

    def announce_recorded(self, service: str, key: str) -> None:
        """Drop the copies of an answer that the owner of its key has journalled.

        This instance drops its own copy. If a peer sent the request to the minion,
        that peer is notified to drop its copy.
        """
        self.deliveries.discard(service, key)
        address = self._answering_addresses.pop((service, key), None)
        if address is not None:
            self._neighbours.notify(address, AnswerRecorded(service, key))


def _make_delivery(
    shard: str, request: MinionRequest, answer: MinionAnswer
) -> DeliverAnswer:
    """Return the message that delivers an answer to the owner of its key."""
    return DeliverAnswer(
        shard,
        request.service,
        request.key,
        answer.status,
        answer.content_type,
        answer.body,
    )
