"""The way of a request from its entry to the owner of a minion or of its key."""

from collections.abc import Callable
from datetime import timedelta
from typing import Any

from expression import Error, Ok, Result

from almondspread.clock import Clock
from almondspread.errors import NotFound, OutcomeUnknown, Problem, Unavailable
from almondspread.interfaces import MinionAnswer, MinionRequest
from almondspread.ownership import Member
from almondspread.requests import find_key_shard
from almondspread_daemon.membership import Neighbours
from almondspread_daemon.peers import CallContext
from almondspread_daemon.peers.messages import (
    CallAnswered,
    CallMinion,
    FetchRecord,
    Refused,
    SubmitCall,
    refuse,
)
from almondspread_daemon.requests.keys import KeyShard, settle_result
from almondspread_daemon.requests.minions import MinionPools

FETCH_TIMEOUT = timedelta(seconds=2)


class RequestRouter:
    """Passes requests to minions and keys, here or one hop away."""

    def __init__(
        self,
        failure_domain: str,
        request_shards: tuple[str, ...],
        find_runner: Callable[[str], Any],
        pools: MinionPools,
        neighbours: Neighbours,
        clock: Clock,
    ) -> None:
        self._failure_domain = failure_domain
        self._request_shards = request_shards
        self._find_runner = find_runner
        self._pools = pools
        self._neighbours = neighbours
        self._clock = clock

    async def call_minions(
        self, request: MinionRequest
    ) -> Result[MinionAnswer, Problem]:
        """Give a request to a minion: an own one, one of the domain, or any."""
        answer = await self._pools.call(request, wait=False)
        if answer.is_ok() or not answer.error.not_run:
            return answer
        for member in self._order_members():
            passed = await self._pass_on(member, request)
            if passed.is_ok() or not passed.error.not_run:
                return passed
        return await self._pools.call(request, wait=True)

    def _order_members(self) -> list[Member]:
        """Return the live members, those of this failure domain first."""
        members = [member for member in self._neighbours.list_live() if member.ready]
        members.sort(
            key=lambda member: (
                member.failure_domain != self._failure_domain,
                member.name,
            )
        )
        return members

    async def _pass_on(
        self, member: Member, request: MinionRequest
    ) -> Result[MinionAnswer, Problem]:
        """Give a request to the minions of another instance."""
        message = CallMinion(
            request.service, request.kind, request.key, request.body, request.deadline
        )
        left = request.deadline - self._clock.now().timestamp()
        outcome = await self._call_peer(member, message, timedelta(seconds=left))
        if outcome.is_error():
            return Error(outcome.error)
        answered = outcome.ok
        return Ok(MinionAnswer(answered.status, answered.body, answered.content_type))

    async def submit(self, message: SubmitCall) -> Result[CallAnswered, Problem]:
        """Have the owner of the key answer a non-idempotent request."""
        runner = self._find_runner(message.shard)
        if isinstance(runner, KeyShard):
            return settle_result(await runner.submit(message))
        owner = self._neighbours.find_owner(message.shard)
        if owner is None:
            return Error(_refuse_unowned(message.shard))
        left = message.deadline - self._clock.now().timestamp()
        return await self._call_peer(owner, message, timedelta(seconds=left))

    async def fetch(self, service: str, key: str) -> Result[CallAnswered, Problem]:
        """Return what is recorded of a key, from whichever instance owns it."""
        shard = self.find_shard(service, key)
        runner = self._find_runner(shard)
        if isinstance(runner, KeyShard):
            return settle_result(runner.fetch(service, key))
        owner = self._neighbours.find_owner(shard)
        if owner is None:
            return Error(_refuse_unowned(shard))
        return await self._call_peer(
            owner, FetchRecord(shard, service, key), FETCH_TIMEOUT
        )

    def find_shard(self, service: str, key: str) -> str:
        """Return the shard that has a key."""
        return find_key_shard(service, key, self._request_shards)

    async def _call_peer(
        self, member: Member, message: Any, timeout: timedelta
    ) -> Result[CallAnswered, Problem]:
        """Call a peer and tell an answer, a refusal and silence apart."""
        if timeout <= timedelta(0):
            return Error(_refuse_late())
        outcome = await self._neighbours.call(member.address, message, timeout)
        if outcome.is_error():
            if outcome.error.not_sent:
                return Error(_refuse_unreachable(outcome.error.reason))
            return Error(_lose_answer(outcome.error.reason))
        if isinstance(outcome.ok, Refused):
            return Error(outcome.ok.to_problem())
        return Ok(outcome.ok)

    async def take_submit(
        self, message: SubmitCall, _: CallContext
    ) -> CallAnswered | Refused:
        """Answer a peer's submission, without another hop."""
        runner = self._find_runner(message.shard)
        if not isinstance(runner, KeyShard):
            return refuse(_refuse_unowned(message.shard))
        return _to_message(await runner.submit(message))

    async def take_fetch(
        self, message: FetchRecord, _: CallContext
    ) -> CallAnswered | Refused:
        """Answer a peer's question for a record, without another hop."""
        runner = self._find_runner(message.shard)
        if not isinstance(runner, KeyShard):
            return refuse(_refuse_unowned(message.shard))
        return _to_message(runner.fetch(message.service, message.key))

    async def take_call(
        self, message: CallMinion, _: CallContext
    ) -> CallAnswered | Refused:
        """Pass a peer's request to an own minion, without another hop."""
        request = MinionRequest(
            message.service, message.kind, message.body, message.key, message.deadline
        )
        answer = await self._pools.call(request, wait=False)
        if answer.is_error():
            return refuse(answer.error)
        reply = answer.ok
        return CallAnswered(reply.status, reply.body, reply.content_type)


def _to_message(outcome: CallAnswered | Problem) -> CallAnswered | Refused:
    """Return an outcome as a message to a peer."""
    return refuse(outcome) if isinstance(outcome, Problem) else outcome


def _refuse_unowned(shard: str) -> Problem:
    """Return the refusal while a shard has no known owner."""
    return Unavailable(
        f"shard {shard} has no owner now; this submission was not run",
        "send the request again with the same key",
        not_run=True,
        retry_after_seconds=1.0,
    )


def _refuse_unreachable(reason: str) -> Problem:
    """Return the refusal of a request of which nothing was sent."""
    return Unavailable(
        f"the owner cannot be reached: {reason}",
        "send the request again with the same key",
        not_run=True,
        retry_after_seconds=1.0,
    )


def _refuse_late() -> Problem:
    """Return the refusal of a request whose deadline has passed."""
    return NotFound(
        "the deadline has passed before the request was sent",
        "allow a later deadline",
        not_run=True,
    )


def _lose_answer(reason: str) -> Problem:
    """Return the problem of a request whose answer did not arrive."""
    return OutcomeUnknown(
        f"the answer was lost on its way: {reason}",
        "ask for the recorded answer under the key",
    )
