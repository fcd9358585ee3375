"""Handlers of the messages of peers that are about requests.

A handler acts on this instance alone and never forwards a request to another one.
"""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from almondspread.clock import Clock
from almondspread.errors import Problem
from almondspread.interfaces import MinionAnswer, MinionRequest
from almondspread_daemon.peers import CallContext
from almondspread_daemon.peers.messages import Accepted, Refused, refuse
from almondspread_daemon.peers.request_messages import (
    AnswerRecorded,
    CallAnswered,
    CallMinion,
    ConfirmOwner,
    DeliverAnswer,
    DropSlot,
    FetchRecord,
    FetchSlots,
    MinionLeaving,
    MinionLoads,
    SendTaken,
    SlotsInUse,
    SlotTaken,
    SubmitCall,
    TakeSlot,
)
from almondspread_daemon.requests.deliveries import AnswerDeliveries
from almondspread_daemon.requests.key_shards import KeyShard
from almondspread_daemon.requests.loads import PeerLoads
from almondspread_daemon.requests.minion_calls import MinionCalls
from almondspread_daemon.requests.minion_pools import MinionPools
from almondspread_daemon.requests.refusals import (
    refuse_unowned_shard,
    refuse_unreached_minion,
)
from almondspread_daemon.requests.reply_margins import compute_call_deadline
from almondspread_daemon.requests.service_pools import Ticket

SLOT_HOLD_TIMEOUT = timedelta(seconds=5)


class PeerRequestHandlers:
    """Handles calls and notifications of peers about requests, slots and loads.

    ``fetched_shards`` are the shards of minions whose slots in use a peer has asked
    for, usually their next owner.
    """

    def __init__(
        self,
        find_runner: Callable[[str], Any],
        get_highest_epoch: Callable[[str], int],
        pools: MinionPools,
        calls: MinionCalls,
        loads: PeerLoads,
        deliveries: AnswerDeliveries,
        clock: Clock,
    ) -> None:
        self._find_runner = find_runner
        self._get_highest_epoch = get_highest_epoch
        self._pools = pools
        self._calls = calls
        self._loads = loads
        self._deliveries = deliveries
        self._clock = clock
        self._held_tickets: dict[int, Ticket] = {}
        self._last_number = 0
        self.fetched_shards: set[str] = set()

    def get_handlers(self) -> dict[type, Any]:
        """Return the handler of each type of message."""
        return {
            SubmitCall: self.handle_submit,
            FetchRecord: self.handle_fetch,
            CallMinion: self.handle_call,
            TakeSlot: self.handle_take_slot,
            SendTaken: self.handle_send,
            DropSlot: self.handle_drop_slot,
            DeliverAnswer: self.handle_delivery,
            AnswerRecorded: self.handle_recorded,
            FetchSlots: self.handle_fetch_slots,
            ConfirmOwner: self.handle_confirm_owner,
            MinionLeaving: self.handle_leaving,
            MinionLoads: self.handle_loads,
        }

    async def handle_submit(
        self, message: SubmitCall, context: CallContext
    ) -> CallAnswered | Refused:
        """Run a peer's submission of a key that this instance owns."""
        runner = self._find_runner(message.shard)
        if not isinstance(runner, KeyShard):
            return refuse(refuse_unowned_shard(message.shard))
        due = compute_call_deadline(self._clock, context, message.deadline)
        return _to_message(await runner.submit(message, due))

    async def handle_fetch(
        self, message: FetchRecord, _: CallContext
    ) -> CallAnswered | Refused:
        """Return the recorded answer of a key that this instance owns."""
        runner = self._find_runner(message.shard)
        if not isinstance(runner, KeyShard):
            return refuse(refuse_unowned_shard(message.shard))
        return _to_message(await runner.fetch_record(message.service, message.key))

    async def handle_call(
        self, message: CallMinion, context: CallContext
    ) -> CallAnswered | Refused:
        """Send a peer's idempotent request to an owned minion."""
        request = MinionRequest(
            message.service, message.kind, message.body, message.key, message.deadline
        )
        due = compute_call_deadline(self._clock, context, message.deadline)
        answer = await self._calls.call_minion(request, due, message.wait)
        if answer.is_error():
            return refuse(answer.error)
        return _to_answered(answer.ok)

    async def handle_take_slot(
        self, message: TakeSlot, context: CallContext
    ) -> SlotTaken | Refused:
        """Acquire a slot for a keyed request that a peer will send.

        The slot is released after ``SLOT_HOLD_TIMEOUT`` unless the peer has used it.
        """
        due = self._clock.monotonic() + timedelta(seconds=context.timeout)
        acquired = await self._pools.acquire_slot(
            message.service, message.kind, due, message.wait
        )
        if acquired.is_error():
            return refuse(acquired.error)
        self._last_number += 1
        number = self._last_number
        self._held_tickets[number] = acquired.ok
        loop = asyncio.get_running_loop()
        loop.call_later(SLOT_HOLD_TIMEOUT.total_seconds(), self._release_slot, number)
        return SlotTaken(number)

    def _release_slot(self, number: int) -> None:
        """Release a slot that is held for a peer, unless the peer has used it."""
        ticket = self._held_tickets.pop(number, None)
        if ticket is not None:
            self._pools.release_slot(ticket)

    async def handle_drop_slot(self, message: DropSlot, _: CallContext) -> Accepted:
        """Release a slot that the peer does not use."""
        self._release_slot(message.number)
        return Accepted()

    async def handle_send(
        self, message: SendTaken, context: CallContext
    ) -> CallAnswered | Refused:
        """Send a peer's keyed request in the slot that is held for it."""
        ticket = self._held_tickets.pop(message.number, None)
        if ticket is None:
            return refuse(
                refuse_unreached_minion("", "the slot held for the request has expired")
            )
        request = MinionRequest(
            message.service, message.kind, message.body, message.key, message.deadline
        )
        due = compute_call_deadline(self._clock, context, message.deadline)

        def keep(answer: MinionAnswer, at_once: bool) -> None:
            """Keep the answer until the owner of the key has journalled it.

            With ``at_once`` the answer is delivered without an initial delay.
            """
            self._deliveries.add(
                DeliverAnswer(
                    message.shard,
                    message.service,
                    message.key,
                    answer.status,
                    answer.content_type,
                    answer.body,
                ),
                at_once,
            )

        answer = await self._calls.send_request(
            ticket, request, due, lambda late: keep(late, True)
        )
        if answer.is_error():
            return refuse(answer.error)
        # The reply carries the answer too. A delivery is needed only if the reply is
        # lost or the owner of the key doesn't journal the answer.
        keep(answer.ok, False)
        return _to_answered(answer.ok)

    async def handle_delivery(
        self, message: DeliverAnswer, _: CallContext
    ) -> Accepted | Refused:
        """Journal a late answer of a minion to a key that this instance owns."""
        runner = self._find_runner(message.shard)
        if isinstance(runner, KeyShard) and await runner.record_answer(message):
            return Accepted()
        return refuse(refuse_unowned_shard(message.shard))

    async def handle_recorded(
        self, message: AnswerRecorded, _: CallContext
    ) -> Accepted:
        """Drop the copy of an answer that the owner of its key has journalled."""
        self._deliveries.discard(message.service, message.key)
        return Accepted()

    async def handle_fetch_slots(
        self, message: FetchSlots, _: CallContext
    ) -> SlotsInUse | Refused:
        """Return the slots of a shard that are still in use, for its next owner."""
        if message.shard not in self._pools.shards:
            return refuse(refuse_unowned_shard(message.shard))
        self.fetched_shards.add(message.shard)
        return self._pools.get_slots_in_use(message.shard)

    async def handle_confirm_owner(
        self, message: ConfirmOwner, _: CallContext
    ) -> Accepted | Refused:
        """Confirm an owner's epoch, unless a later epoch of the shard is known."""
        if self._get_highest_epoch(message.shard) > message.epoch:
            return refuse(refuse_unowned_shard(message.shard))
        return Accepted()

    async def handle_leaving(self, message: MinionLeaving, _: CallContext) -> Accepted:
        """Record that a minion is leaving, so that it gets no new request."""
        self._pools.mark_leaving(message.minion)
        return Accepted()

    async def handle_loads(self, message: MinionLoads, _: CallContext) -> Accepted:
        """Store the loads of a peer's minions."""
        self._loads.record_report(message, self._clock.monotonic())
        return Accepted()


def _to_answered(answer: MinionAnswer) -> CallAnswered:
    """Convert a minion's answer to a message."""
    return CallAnswered(answer.status, answer.body, answer.content_type)


def _to_message(outcome: CallAnswered | Problem) -> CallAnswered | Refused:
    """Convert the outcome of a call to a key's owner to a message."""
    return refuse(outcome) if isinstance(outcome, Problem) else outcome
