"""Calls to the minions that this instance owns, each in a slot of its minion."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from attrs import define
from expression import Error, Ok, Result
from loguru import logger

from almondspread.clock import Clock
from almondspread.errors import Problem
from almondspread.interfaces import MinionAnswer, MinionRequest
from almondspread.requests import eject_outlier
from almondspread.requests.kinds import get_grace_period
from almondspread_daemon.requests.minion_pools import MinionPools
from almondspread_daemon.requests.monitor_streams import MonitorStream
from almondspread_daemon.requests.refusals import (
    refuse_unreached_minion,
    report_unknown_outcome,
)
from almondspread_daemon.requests.service_pools import Ticket
from almondspread_platform import MinionClient

MIN_SERVER_ERROR_STATUS = 500
STREAM_CLOSE_DELAY = timedelta(seconds=1)
HandleLateAnswer = Callable[[MinionAnswer], None]


@define(eq=False)
class SendPermission:
    """Whether a request may still be sent to its minion, or may have been.

    ``was_granted`` is set once a send was allowed. ``is_withdrawn`` forbids it for
    good.
    """

    ticket: Ticket
    due: timedelta
    clock: Clock
    was_granted: bool = False
    is_withdrawn: bool = False

    @property
    def is_valid(self) -> bool:
        """Whether the deadline and the ownership still allow sending."""
        now = self.clock.monotonic()
        return (
            not self.is_withdrawn and now < self.due and self.ticket.shard.may_send(now)
        )

    def may_send(self) -> bool:
        """Tell whether to send now; the caller sends at once if so."""
        if not self.is_valid:
            return False
        self.was_granted = True
        return True


class MinionCalls:
    """Sends requests to minions, and releases the slot of each once it is done.

    ``announce_leaving`` is called with the name of each minion that says in an answer
    that it is leaving.
    """

    def __init__(
        self,
        pools: MinionPools,
        client: MinionClient,
        clock: Clock,
        announce_leaving: Callable[[str], None],
    ) -> None:
        self._pools = pools
        self._client = client
        self._clock = clock
        self._announce_leaving = announce_leaving
        self._transfer_tasks: set[asyncio.Task[Any]] = set()

    async def call_minion(
        self, request: MinionRequest, due: timedelta, wait: bool
    ) -> Result[MinionAnswer, Problem]:
        """Acquire a slot and send a request; return the minion's answer."""
        acquired = await self._pools.acquire_slot(
            request.service, request.kind, due, wait
        )
        if acquired.is_error():
            return Error(acquired.error)
        return await self.send_request(acquired.ok, request, due)

    async def open_stream(
        self, request: MinionRequest, due: timedelta, stream: MonitorStream
    ) -> Problem | None:
        """Open a stream at an owned minion; return the problem if it gets no slot."""
        acquired = await self._pools.acquire_slot(
            request.service, request.kind, due, wait=False
        )
        if acquired.is_error():
            return acquired.error
        stream_task = asyncio.create_task(
            self._run_stream(acquired.ok, request, due, stream)
        )
        self._transfer_tasks.add(stream_task)
        stream_task.add_done_callback(self._transfer_tasks.discard)
        return None

    async def _run_stream(
        self,
        ticket: Ticket,
        request: MinionRequest,
        due: timedelta,
        stream: MonitorStream,
    ) -> None:
        """Pass on a stream until it ends or is no longer wanted.

        The stream is also closed once its minion is leaving, or once this instance
        has released the shard of the minion.
        """
        minion = ticket.minion

        def may_send() -> bool:
            return ticket.shard.may_send(self._clock.monotonic())

        def is_wanted() -> bool:
            return stream.is_wanted and not minion.leaving and not ticket.shard.released

        timeout = due - self._clock.monotonic()
        try:
            sent = await self._client.watch(
                minion.address, request, timeout, may_send, stream.feed, is_wanted
            )
            if sent.is_error() and stream.is_wanted and not ticket.shard.released:
                self._record_failure(ticket)
            if sent.is_ok() and sent.ok.leaving:
                minion.leaving = True
                self._announce_leaving(minion.name)
        finally:
            stream.mark_ended()
            # The slot stays in use a little longer, because the minion may not notice
            # at once that the stream was closed.
            await self._clock.sleep(STREAM_CLOSE_DELAY)
            self._pools.release_slot(ticket)

    async def send_request(
        self,
        ticket: Ticket,
        request: MinionRequest,
        due: timedelta,
        handle_late_answer: HandleLateAnswer | None = None,
    ) -> Result[MinionAnswer, Problem]:
        """Send a request in its slot, which is released once the minion is done.

        Returns at ``due`` at the latest. An answer that arrives after that, or after
        the caller was cancelled, is passed to ``handle_late_answer``. A request that is
        not sent by then is never sent.
        """
        permission = SendPermission(ticket, due, self._clock)
        transfer = asyncio.create_task(self._transfer(ticket, request, permission))
        self._transfer_tasks.add(transfer)
        transfer.add_done_callback(self._transfer_tasks.discard)
        left = due - self._clock.monotonic()
        in_time = False
        try:
            timeout = max(0.0, left.total_seconds())
            done, _ = await asyncio.wait([transfer], timeout=timeout)
            in_time = bool(done)
        finally:
            if not in_time and handle_late_answer is not None:
                transfer.add_done_callback(_make_late_callback(handle_late_answer))
        if in_time:
            return transfer.result()
        permission.is_withdrawn = True
        if not permission.was_granted:
            reason = "the deadline passed before the request was sent"
            return Error(refuse_unreached_minion(ticket.minion.name, reason))
        return Error(
            report_unknown_outcome(
                f"minion {ticket.minion.name} did not answer before the deadline"
            )
        )

    async def _transfer(
        self, ticket: Ticket, request: MinionRequest, permission: SendPermission
    ) -> Result[MinionAnswer, Problem]:
        """Send one request, and wait until the minion is done with it.

        The wait ends at the latest when the grace period after the deadline is over.
        """
        started = self._clock.monotonic()
        timeout = permission.due + get_grace_period(request.kind) - started
        minion = ticket.minion
        try:
            sent = await self._client.call(
                minion.address, request, timeout, permission.may_send
            )
        finally:
            self._pools.release_slot(ticket)
        if sent.is_error():
            if sent.error.not_sent and not permission.is_valid:
                return Error(refuse_unreached_minion(minion.name, "its owner changed"))
            self._record_failure(ticket)
            if sent.error.not_sent:
                return Error(refuse_unreached_minion(minion.name, sent.error.reason))
            reason = (
                f"minion {minion.name} gave no complete answer: {sent.error.reason}"
            )
            return Error(report_unknown_outcome(reason))
        self._record_answer(ticket, sent.ok, started)
        return Ok(sent.ok)

    def _record_answer(
        self, ticket: Ticket, answer: MinionAnswer, started: timedelta
    ) -> None:
        """Update the health of a minion after a complete answer."""
        minion = ticket.minion
        if answer.status >= MIN_SERVER_ERROR_STATUS:
            self._record_failure(ticket)
        else:
            took = self._clock.monotonic() - started
            minion.health.record_success(ticket.kind, took.total_seconds())
        if answer.leaving and not minion.leaving:
            logger.info("minion {} is leaving; it gets no new requests", minion.name)
            minion.leaving = True
            self._announce_leaving(minion.name)

    def _record_failure(self, ticket: Ticket) -> None:
        """Update a minion's health after a failure; eject it if it is an outlier."""
        health = ticket.minion.health
        health.record_failure()
        others = [minion.health for minion in ticket.pool.minions.values()]
        if eject_outlier(health, others, self._clock.monotonic()):
            logger.warning(
                "minion {} is ejected temporarily: its requests fail",
                ticket.minion.name,
            )

    async def wait_until_idle(self) -> None:
        """Wait until no request that this instance sent is in flight."""
        while self._transfer_tasks:
            await asyncio.wait(set(self._transfer_tasks))


def _make_late_callback(
    handle_late_answer: HandleLateAnswer,
) -> Callable[[asyncio.Task[Result[MinionAnswer, Problem]]], None]:
    """Return the callback that passes the answer of a late transfer on."""

    def handle_done(transfer: asyncio.Task[Result[MinionAnswer, Problem]]) -> None:
        if transfer.cancelled() or transfer.exception() is not None:
            return
        if transfer.result().is_ok():
            handle_late_answer(transfer.result().ok)

    return handle_done
