"""The owner of a request shard: runs each non-idempotent request at most once.

The owner keeps a record for each idempotency key. It journals the dispatch of a request
before it sends the request to a minion, and journals the minion's answer afterwards. A
later owner thus answers the same key from its record and never sends the request again.
"""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

from attrs import define, evolve
from loguru import logger

from almondspread.clock import Clock
from almondspread.errors import NotFound, OutcomeUnknown, Problem
from almondspread.interfaces import MinionAnswer, MinionRequest, ObjectStore
from almondspread.journal import Journal
from almondspread.ownership import Ownership
from almondspread.requests import Answered, Dispatched, KeyTable
from almondspread.requests.events import Forgotten
from almondspread.requests.keys import KeyRecord, digest_payload
from almondspread_daemon.peers.request_messages import (
    CallAnswered,
    DeliverAnswer,
    SubmitCall,
)
from almondspread_daemon.requests.answer_bodies import AnswerBodies
from almondspread_daemon.requests.dispatches import AcquireSlot, Dispatch
from almondspread_daemon.requests.key_journal import KeyJournal
from almondspread_daemon.requests.refusals import (
    refuse_during_handover,
    refuse_full_shard,
    refuse_key_conflict,
    report_unknown_outcome,
)

RUNS_POLL_INTERVAL = timedelta(milliseconds=50)
MAX_ANSWER_DELAY = timedelta(milliseconds=250)
REFUSAL_GRACE = timedelta(milliseconds=50)
RECORD_RETENTION = timedelta(days=7)
MAX_FORGOTTEN_PER_SNAPSHOT = 1_000
MAX_RUNS = 2_048
MAX_KEY_TABLE_BYTES = 32 * 1024 * 1024


@define(eq=False)
class _Run:
    """The run of one key; all submissions of the key wait for ``outcome``."""

    digest: str
    outcome: asyncio.Future[CallAnswered | Problem]
    task: asyncio.Task[None] | None = None


class KeyShard:
    """Runs the keyed requests of one request shard under one ownership epoch.

    ``acquire_slot`` reserves a slot of a minion, here or at a peer. ``queue_delivery``
    takes over an answer that this owner cannot journal. ``announce_recorded`` is called
    with the service and the key of each answer that needs no further delivery.
    ``is_owner`` reads the table to tell whether this instance still owns the shard, and
    ``has_successor`` tells whether a live instance can take the shard over.
    """

    def __init__(
        self,
        ownership: Ownership,
        journal: Journal,
        store: ObjectStore,
        acquire_slot: AcquireSlot,
        queue_delivery: Callable[[DeliverAnswer], None],
        announce_recorded: Callable[[str, str], None],
        is_owner: Callable[[Ownership], Awaitable[bool]],
        has_successor: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self.ownership = ownership
        self._journal = KeyJournal(ownership.shard, journal, clock)
        self._bodies = AnswerBodies(store, clock, lambda: self._journal.closed)
        self._acquire_slot = acquire_slot
        self._queue_delivery = queue_delivery
        self._announce_recorded = announce_recorded
        self._is_owner = is_owner
        self._has_successor = has_successor
        self._clock = clock
        self._runs: dict[tuple[str, str], _Run] = {}
        self._unsent_runs: set[asyncio.Task[None]] = set()
        self._background_tasks: set[asyncio.Task[None]] = set()
        self._stopping = asyncio.Event()

    @property
    def records(self) -> KeyTable:
        """The committed records of the shard's keys."""
        return self._journal.records

    @property
    def recovered(self) -> bool:
        """Whether the records of earlier owners are read."""
        return self._journal.recovered

    async def stop(self) -> None:
        """Stop accepting new keys and let ``run`` end.

        Requests that were not sent yet are refused as not run. Requests that were sent
        go on, and their answers are delivered to the next owner. Where no successor
        is live, this owner first waits until it has journalled those answers itself.
        """
        self._stopping.set()
        while self._unsent_runs:
            await asyncio.wait(set(self._unsent_runs))
        while self._runs and not self._has_successor() and not self._journal.closed:
            await self._clock.sleep(RUNS_POLL_INTERVAL)
        self._journal.end()

    async def run(self) -> None:
        """Recover the records, then commit events in groups until stopped.

        The method also returns when a commit fails, as it does once a later epoch
        owns the shard.
        """
        try:
            await self._journal.recover()
            while await self._journal.commit_group():
                if self._journal.start_snapshot_if_due():
                    self._forget_old_records()
        finally:
            self._stopping.set()
            self._journal.close()

    def _forget_old_records(self) -> None:
        """Start to drop records that are older than ``RECORD_RETENTION``."""
        cutoff = (self._clock.now() - RECORD_RETENTION).timestamp()
        for record in self.records.list_dispatched_before(
            cutoff, MAX_FORGOTTEN_PER_SNAPSHOT
        ):
            self._start_task(self._forget_record(record))

    async def _forget_record(self, record: KeyRecord) -> None:
        """Drop an old record, then delete the stored body of its answer.

        The order ensures that no record refers to a body that is deleted already.
        """
        if await self._journal.commit(Forgotten(record.service, record.key)):
            await self._bodies.delete(record)

    def _start_task(self, awaitable: Awaitable[None]) -> asyncio.Task[None]:
        """Run an awaitable as a task, and keep a reference to it until it ends."""
        task = asyncio.ensure_future(awaitable)
        assert isinstance(task, asyncio.Task)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)
        return task

    async def submit(
        self, message: SubmitCall, due: timedelta
    ) -> CallAnswered | Problem:
        """Answer one submission of a key from its record, or by running the request.

        ``due`` is the deadline in monotonic time. Submissions of the same key that
        arrive during its run wait for that run. A key that is submitted with another
        payload than before is refused as a conflict. If the run goes on past ``due``,
        the returned problem says that the outcome is unknown.
        """
        if not self.recovered or self._journal.closed:
            return refuse_during_handover()
        digest = digest_payload(message.kind, message.body)
        run_key = (message.service, message.key)
        run = self._runs.get(run_key)
        if run is not None and run.digest != digest:
            return refuse_key_conflict(message.key, None)
        if run is None:
            record = self.records.find(message.service, message.key)
            if record is not None:
                return await self._answer_from_record(record, digest)
            if self._stopping.is_set():
                return refuse_during_handover()
            if (
                len(self._runs) >= MAX_RUNS
                or self.records.size_bytes > MAX_KEY_TABLE_BYTES
            ):
                return refuse_full_shard(self.ownership.shard)
            run = self._start_run(message, digest, due)
        left = due - self._clock.monotonic()
        await asyncio.wait([run.outcome], timeout=max(0.0, left.total_seconds()))
        if run.task in self._unsent_runs:
            # A run that is not sent by its deadline is refused at that same moment.
            await asyncio.wait([run.outcome], timeout=REFUSAL_GRACE.total_seconds())
        if run.outcome.done():
            return run.outcome.result()
        return report_unknown_outcome(f"key {message.key!r} is still being run")

    def _start_run(self, message: SubmitCall, digest: str, due: timedelta) -> _Run:
        """Start the only run of a key."""
        future = asyncio.get_running_loop().create_future()
        run = _Run(digest, future)
        run_key = (message.service, message.key)
        self._runs[run_key] = run
        task = run.task = self._start_task(self._run_once(message, run, due))
        self._unsent_runs.add(task)
        task.add_done_callback(self._unsent_runs.discard)
        return run

    async def _run_once(self, message: SubmitCall, run: _Run, due: timedelta) -> None:
        """Take a slot, journal the dispatch, send, and journal the answer."""
        run_key = (message.service, message.key)
        dispatch = Dispatch(
            self._acquire_slot, self._journal.commit, self._stopping, self._clock
        )
        event = Dispatched(
            message.service,
            message.key,
            message.kind,
            run.digest,
            self._clock.now().timestamp(),
        )
        request = MinionRequest(
            message.service, message.kind, message.body, message.key, message.deadline
        )
        try:
            outcome = await dispatch.run(
                self.ownership.shard, event, request, due, self._allow_handover
            )
        except Exception as error:
            self._runs.pop(run_key, None)
            logger.exception("request under key {} failed", message.key)
            run.outcome.set_result(
                report_unknown_outcome(f"the shard owner failed: {error!r}")
            )
            return
        if outcome.is_error():
            problem = outcome.error
            if self.records.has_forgotten:
                problem = evolve(problem, earlier_not_run=None)
            run.outcome.set_result(problem)
            self._allow_handover()
            if dispatch.withdrawal is not None:
                # Until the withdrawal is settled, the run stays listed, so that other
                # submissions of the key get the same refusal.
                await dispatch.withdrawal
            self._runs.pop(run_key, None)
            return
        await self._finish_run(message, run, outcome.ok)

    def _allow_handover(self) -> None:
        """Let ``stop`` proceed without waiting for the current run."""
        task = asyncio.current_task()
        assert task is not None
        self._unsent_runs.discard(task)

    async def _finish_run(
        self, message: SubmitCall, run: _Run, answer: MinionAnswer
    ) -> None:
        """Journal the answer of a run, and resolve the outcome of the run with it.

        The outcome waits at most ``MAX_ANSWER_DELAY`` for the journal, so that an
        outage of the table delays callers only briefly.
        """
        run_key = (message.service, message.key)
        delivery = DeliverAnswer(
            self.ownership.shard,
            message.service,
            message.key,
            answer.status,
            answer.content_type,
            answer.body,
        )
        recording = self._start_task(self._record_or_deliver(delivery))
        await asyncio.wait([recording], timeout=MAX_ANSWER_DELAY.total_seconds())
        run.outcome.set_result(
            CallAnswered(answer.status, answer.body, answer.content_type)
        )
        await asyncio.wait([recording])
        self._runs.pop(run_key, None)

    async def _record_or_deliver(self, answer: DeliverAnswer) -> None:
        """Journal an answer here, or queue it for delivery to a later owner."""
        if not await self.record_answer(answer):
            self._queue_delivery(answer)

    async def record_answer(self, answer: DeliverAnswer) -> bool:
        """Journal the answer to a dispatched key.

        Returns false where the answer is not journalled and must be delivered again,
        to the owner of the shard at that time. A key without a record, or with a
        recorded answer, needs no answer any more; the method then returns true.
        """
        if not self.recovered or self._journal.closed:
            return False
        record = self.records.find(answer.service, answer.key)
        if record is None or record.is_answered:
            self._announce_recorded(answer.service, answer.key)
            return True
        object_name = await self._bodies.store(answer.shard, record, answer.body)
        if object_name is None:
            return False
        event = Answered(
            answer.service,
            answer.key,
            answer.status,
            answer.content_type,
            b"" if object_name else answer.body,
            object_name,
        )
        if not await self._journal.commit(event):
            return False
        self._announce_recorded(answer.service, answer.key)
        return True

    async def fetch_record(self, service: str, key: str) -> CallAnswered | Problem:
        """Return the recorded answer of a key.

        A key without a record is reported as not run only if this is certain: the shard
        has dropped no record yet, and the table confirms that this instance still owns
        the shard.
        """
        record = self.records.find(service, key)
        if record is not None:
            return await self._answer_from_record(record, record.digest)
        if (service, key) in self._runs or not self.recovered:
            return report_unknown_outcome(f"key {key!r} has no recorded answer yet")
        is_certain = not self.records.has_forgotten and await self._is_owner(
            self.ownership
        )
        return NotFound(
            f"key {key!r} of service {service!r} has no record",
            "check the key, or send the request under it",
            not_run=True if is_certain else None,
            earlier_not_run=True if is_certain else None,
        )

    async def _answer_from_record(
        self, record: KeyRecord, digest: str
    ) -> CallAnswered | Problem:
        """Return the answer of a record to a submission with a payload digest."""
        if record.digest != digest:
            return refuse_key_conflict(
                record.key, False if record.is_answered else None
            )
        if not record.is_answered:
            return OutcomeUnknown(
                f"the request under key {record.key!r} was dispatched; its answer is "
                "not known",
                "ask for the recorded answer again later",
            )
        body = await self._bodies.load(record)
        if body.is_error():
            return body.error
        return CallAnswered(record.status, body.ok, record.content_type, recorded=True)
