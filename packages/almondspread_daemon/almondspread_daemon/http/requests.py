"""Handlers that forward callers' requests to minions and look up recorded answers.

An answer is recorded under the idempotency key of its request, so that a retry gets
the same answer without a second run.
"""

import asyncio
from http import HTTPStatus

from expression import Error, Ok, Result
from tornado.iostream import StreamClosedError

from almondspread.errors import InvalidInput, NotFound, Problem
from almondspread.interfaces import MinionRequest
from almondspread.requests.kinds import MONITOR
from almondspread_daemon.http.base import EntryHandler
from almondspread_daemon.peers.request_messages import CallAnswered, SubmitCall
from almondspread_daemon.requests.refusals import report_shutdown

IDEMPOTENT_KINDS = ("lookup", "monitor")
KEYED_KINDS = ("recalculation", "reservation")
MAX_KEY_LENGTH = 128
MAX_POSITION_DIGITS = 18
SEND_TIMEOUT_SECONDS = 10.0


class RequestHandler(EntryHandler):
    """Forwards a caller's request to a minion."""

    _is_disconnected = False

    async def post(self, service: str, kind: str) -> None:
        """Send the minion's answer to the caller."""
        deadline = self._read_deadline(service, kind)
        if deadline.is_error():
            return self.send_problem(deadline.error)
        if self.entry.keeper.leaving:
            # With the connection closed, the caller sends its next request elsewhere.
            self.set_header("Connection", "close")
        self.entry.requests.open_calls.add(self)
        try:
            if kind == MONITOR:
                return await self._stream_monitor(service)
            if kind in IDEMPOTENT_KINDS:
                return await self._answer_lookup(service, kind, deadline.ok)
            await self._answer_keyed_request(service, kind, deadline.ok)
        finally:
            self.entry.requests.open_calls.discard(self)

    def give_up(self) -> None:
        """Send a problem at once, because the instance shuts down."""
        if not self._finished:
            self.send_problem(report_shutdown())

    async def _answer_lookup(self, service: str, kind: str, deadline: float) -> None:
        """Send the answer to an idempotent request."""
        request = MinionRequest(
            service, kind, self.request.body, "", deadline, self.entry.traceparent()
        )
        answer = await self.entry.router.call_minion(request)
        if self._finished:
            return
        if answer.is_error():
            return self.send_problem(answer.error)
        reply = answer.ok
        self._send_answer(CallAnswered(reply.status, reply.body, reply.content_type))

    async def _stream_monitor(self, service: str) -> None:
        """Stream a monitor until the caller disconnects or the instance stops."""
        text = self.request.headers.get("X-Position", "0")
        if not text.isascii() or not text.isdigit() or len(text) > MAX_POSITION_DIGITS:
            return self.send_problem(
                InvalidInput(
                    f"X-Position {text!r} is not a whole number",
                    "send the position of the last line, or leave the header out",
                )
            )
        monitors = self.entry.requests.monitors
        started = False
        async for lines in monitors.follow(
            service, self.request.body, int(text), self._is_wanted
        ):
            if lines.is_error():
                if started or self._finished:
                    break
                return self.send_problem(lines.error)
            if not started:
                self.set_header("Content-Type", "application/jsonlines")
                started = True
            for line in lines.ok:
                self.write(line + b"\n")
            if not await self._flush():
                break
        if not self._finished:
            self.finish()

    def _is_wanted(self) -> bool:
        """Tell whether the caller is connected and the instance is not stopping."""
        return not (self._is_disconnected or self._finished or self.entry.stopping)

    def on_connection_close(self) -> None:
        """Record that the caller has disconnected."""
        self._is_disconnected = True

    async def _flush(self) -> bool:
        """Flush buffered output; return false if the caller is gone or too slow."""
        try:
            async with asyncio.timeout(SEND_TIMEOUT_SECONDS):
                await self.flush()
        except (StreamClosedError, TimeoutError):
            return False
        return True

    async def _answer_keyed_request(
        self, service: str, kind: str, deadline: float
    ) -> None:
        """Send the answer to a request that is deduplicated by its idempotency key."""
        key = self.request.headers.get("Idempotency-Key", "")
        if not key or len(key) > MAX_KEY_LENGTH or not key.isprintable():
            return self.send_problem(
                InvalidInput(
                    f"a {kind} needs the header Idempotency-Key",
                    f"send a key of up to {MAX_KEY_LENGTH} characters, new for each "
                    "request and the same for its retries",
                )
            )
        shard = self.entry.router.find_key_shard(service, key)
        message = SubmitCall(shard, service, kind, key, self.request.body, deadline)
        outcome = await self.entry.router.submit(message)
        if self._finished:
            return
        if outcome.is_error():
            return self.send_problem(outcome.error)
        self._send_answer(outcome.ok)

    def _send_answer(self, answered: CallAnswered) -> None:
        """Finish with a minion's answer and whether it was recorded before."""
        outcome = "recorded" if answered.recorded else "answered"
        self.set_status(answered.status)
        self.set_header("Content-Type", answered.content_type or "application/json")
        self.set_header("X-Request-Outcome", outcome)
        self.finish(answered.body)

    def _read_deadline(self, service: str, kind: str) -> Result[float, Problem]:
        """Return the request's deadline in UTC seconds.

        The longest allowed duration applies unless the caller names a shorter one.
        """
        if kind not in IDEMPOTENT_KINDS + KEYED_KINDS:
            remedy = "use " + ", ".join(IDEMPOTENT_KINDS + KEYED_KINDS)
            return Error(NotFound(f"request kind {kind!r} is not known", remedy))
        longest = self.entry.requests.deadline_limits.get_max_seconds(service, kind)
        text = self.request.headers.get("X-Deadline-Seconds", "")
        try:
            seconds = float(text) if text else longest
        except ValueError:
            seconds = -1.0
        if not 0 < seconds <= longest:
            return Error(
                InvalidInput(
                    f"X-Deadline-Seconds {text!r} must be above 0 and at most "
                    f"{longest:g}",
                    "send such a number or leave the header out",
                )
            )
        return Ok(self.entry.clock.now().timestamp() + seconds)


class KeyHandler(EntryHandler):
    """Looks up the answer that is recorded for an idempotency key."""

    async def get(self, service: str, key: str) -> None:
        """Send the recorded answer; its status goes into ``X-Recorded-Status``."""
        outcome = await self.entry.router.fetch_record(service, key)
        if outcome.is_error():
            return self.send_problem(outcome.error)
        self.set_status(HTTPStatus.OK)
        self.set_header("X-Request-Outcome", "recorded")
        self.set_header("X-Recorded-Status", str(outcome.ok.status))
        self.set_header("Content-Type", outcome.ok.content_type)
        self.finish(outcome.ok.body)
