"""The owner of a request shard: runs each non-idempotent request at most once."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

from expression import Error, Ok, Result

from almondspread.clock import Clock
from almondspread.errors import Conflict, NotFound, OutcomeUnknown, Problem, Unavailable
from almondspread.interfaces import MinionAnswer, MinionRequest
from almondspread.journal import Journal
from almondspread.ownership import Ownership
from almondspread.requests import KEY_EVENT_CODEC, Answered, Dispatched, KeyTable
from almondspread.requests.events import NotSent
from almondspread.requests.keys import KeyRecord, digest_payload
from almondspread_daemon.peers.messages import CallAnswered, SubmitCall

RECOVER_PAUSE = timedelta(milliseconds=500)

KeyEvent = Dispatched | Answered | NotSent
CallMinions = Callable[[MinionRequest], Awaitable[Result[MinionAnswer, Problem]]]


class KeyShard:
    """Acts for one request shard under one epoch."""

    def __init__(
        self,
        ownership: Ownership,
        journal: Journal,
        call_minions: CallMinions,
        clock: Clock,
    ) -> None:
        self.ownership = ownership
        self.records = KeyTable()
        self.recovered = False
        self._journal = journal
        self._call_minions = call_minions
        self._clock = clock
        self._queue: asyncio.Queue[tuple[KeyEvent, asyncio.Future[bool]] | None] = (
            asyncio.Queue()
        )
        self._active: dict[tuple[str, str], asyncio.Task[CallAnswered | Problem]] = {}
        self._stopping = False

    async def stop(self) -> None:
        """Take no more requests, and end once those under way have."""
        self._stopping = True
        if self._active:
            await asyncio.wait(list(self._active.values()))
        self._queue.put_nowait(None)

    async def run(self) -> None:
        """Recover the records, then commit events in groups until stopped."""
        try:
            await self._recover()
            while await self._commit_group():
                pass
        finally:
            self._stopping = True
            self._fail_queue()

    async def _recover(self) -> None:
        """Rebuild the records from the journal."""
        while True:
            recovered = await self._journal.recover()
            if recovered.is_ok():
                break
            await self._clock.sleep(RECOVER_PAUSE)
        for row in recovered.ok.rows:
            for event in row.events:
                self.records.apply(KEY_EVENT_CODEC.decode(event))
        self.recovered = True

    async def _commit_group(self) -> bool:
        """Commit all queued events as one row; false when there is nothing more."""
        items = [await self._queue.get()]
        while not self._queue.empty():
            items.append(self._queue.get_nowait())
        pairs = [item for item in items if item is not None]
        if pairs:
            encoded = [KEY_EVENT_CODEC.encode(event) for event, _ in pairs]
            committed = await self._journal.commit(encoded)
            for event, future in pairs:
                if committed.is_ok():
                    self.records.apply(event)
                if not future.done():
                    future.set_result(committed.is_ok())
            if committed.is_error():
                return False
        return None not in items

    def _fail_queue(self) -> None:
        """Tell those who wait for a commit that none will come."""
        while not self._queue.empty():
            item = self._queue.get_nowait()
            if item is not None and not item[1].done():
                item[1].set_result(False)

    def _commit(self, event: KeyEvent) -> asyncio.Future[bool]:
        """Queue an event; the future tells whether it was committed."""
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._queue.put_nowait((event, future))
        return future

    async def submit(self, message: SubmitCall) -> CallAnswered | Problem:
        """Answer one submission of a key: from the record, or by running it."""
        if self._stopping or not self.recovered:
            return Unavailable(
                "the records of this key are moving to another instance",
                "send the request again with the same key",
                not_run=None,
                retry_after_seconds=1.0,
            )
        digest = digest_payload(message.kind, message.body)
        place = (message.service, message.key)
        task = self._active.get(place)
        if task is None:
            record = self.records.find(message.service, message.key)
            if record is not None:
                return answer_from_record(record, digest)
            task = asyncio.create_task(self._run_once(message, digest))
            self._active[place] = task
            task.add_done_callback(lambda _: self._active.pop(place, None))
            return await asyncio.shield(task)
        return await self._join(task, message, digest)

    async def _join(
        self,
        task: asyncio.Task[CallAnswered | Problem],
        message: SubmitCall,
        digest: str,
    ) -> CallAnswered | Problem:
        """Wait for an earlier submission of the same key."""
        left = message.deadline - self._clock.now().timestamp()
        await asyncio.wait([task], timeout=max(0.0, left))
        record = self.records.find(message.service, message.key)
        if record is not None:
            return answer_from_record(record, digest)
        if task.done():
            return task.result()
        return OutcomeUnknown(
            "an earlier submission of this key is still being started",
            "ask for the recorded answer under the key",
        )

    async def _run_once(
        self, message: SubmitCall, digest: str
    ) -> CallAnswered | Problem:
        """Journal the dispatch, send the request, and journal its answer."""
        now = self._clock.now().timestamp()
        event = Dispatched(message.service, message.key, message.kind, digest, now)
        committed = self._commit(event)
        left = message.deadline - now
        try:
            dispatched = await asyncio.wait_for(asyncio.shield(committed), left)
        except TimeoutError:
            # Nothing is sent after this point, so the record is taken back.
            self._commit(NotSent(message.service, message.key))
            return _refuse_unjournalled()
        if not dispatched:
            return _refuse_unjournalled()
        request = MinionRequest(
            message.service, message.kind, message.body, message.key, message.deadline
        )
        answer = await self._call_minions(request)
        if answer.is_error():
            if answer.error.not_run:
                await self._commit(NotSent(message.service, message.key))
            return answer.error
        reply = answer.ok
        await self._commit(
            Answered(
                message.service,
                message.key,
                reply.status,
                reply.content_type,
                reply.body,
            )
        )
        return CallAnswered(reply.status, reply.body, reply.content_type)

    def fetch(self, service: str, key: str) -> CallAnswered | Problem:
        """Return the recorded answer of a key."""
        record = self.records.find(service, key)
        if record is None:
            return NotFound(
                f"key {key!r} of service {service!r} has no record",
                "check the key; a request under it was not run",
                not_run=True if self.recovered else None,
            )
        return answer_from_record(record, record.digest)


def answer_from_record(record: KeyRecord, digest: str) -> CallAnswered | Problem:
    """Return what a record answers to a submission with a payload digest."""
    if record.digest != digest:
        return Conflict(
            f"key {record.key!r} was used for another payload",
            "use a new key for another request",
            not_run=True,
        )
    if not record.is_answered:
        return OutcomeUnknown(
            f"the request under key {record.key!r} was dispatched; its answer is not "
            "known",
            "ask for the recorded answer again later",
        )
    return CallAnswered(record.status, record.body, record.content_type, recorded=True)


def _refuse_unjournalled() -> Problem:
    """Return the refusal of a request whose dispatch was not journalled."""
    return Unavailable(
        "the dispatch could not be recorded, so nothing was sent",
        "send the request again with the same key",
        not_run=True,
        retry_after_seconds=2.0,
    )


def settle_result(
    outcome: CallAnswered | Problem,
) -> Result[CallAnswered, Problem]:
    """Return an outcome as a result."""
    if isinstance(outcome, Problem):
        return Error(outcome)
    return Ok(outcome)
