"""Simulated clients that submit, read and cancel jobs, and check the responses."""

import asyncio
import json
import random
from collections.abc import Callable
from datetime import timedelta

from attrs import define, field

from almondspread.clock import Clock
from almondspread.jobs.submissions import Submission, TaskId
from almondspread.testing.fake_upstream import History
from almondspread_adapter.run_lists import format_task_id
from almondspread_platform.caller import HttpCall, HttpCaller
from almondspread_standin.soak.instances import Instance, Instances
from almondspread_standin.soak.job_kinds import (
    ALL_KINDS,
    DrawJob,
    TaskBehaviour,
    draw_batch_job,
)
from platform_standin.formats import (
    EXTRA_PATH,
    HOST,
    QUEUE_PATH,
    encode_submission,
)

CALL_TIMEOUT = timedelta(seconds=3)
MAX_ATTEMPTS = 12
CALL_INTERVAL_SECONDS = 0.3
CANCEL_SHARE = 0.08
# An instance may report stale states for this long after its process was paused.
STALE_SECONDS = 6.0
# Every instance has to know an accepted job this long after its acknowledgement.
VISIBLE_SECONDS = 3.0
OK, GONE = 200, 410
REJECTION_STATUSES = (429, 503)
# Job IDs contain the seed modulo this number.
SEEDS = 2**32
FINAL_STATES = ("completed", "failed", "cancelled")
# A task may be given up once so many upstreams have crashed under it.
CRASHES_TO_GIVE_UP = 2
# Whoever asks for a job whose retention is over hears that there is none.
FORGOTTEN = "forgotten"
ENDED_STATES = (*FINAL_STATES, FORGOTTEN)
QUEUE, EXTRA_QUEUE = "jobs", "extra"
QUEUE_PATHS = {QUEUE: QUEUE_PATH, EXTRA_QUEUE: EXTRA_PATH}


@define(eq=False)
class JobClients:
    """All simulated clients, and what they have been told.

    ``accepted`` maps each accepted job to the final state that was reported last, or to
    ``"queued"`` before one was, and ``accepted_at`` to the event loop's time of its
    acknowledgement. Jobs in ``rejected`` were rejected at every attempt.
    With a ``behaviour``, jobs of all ``kinds`` are submitted to ``queues``. Calls carry
    ``key``, or the key of the job in ``job_keys``; an empty one is not sent.
    The state of a job can be read for ``status_seconds`` after its end.
    ``read_stored_state`` returns the last state of a job that was ever stored, and
    ``count_crashes`` how many upstreams have crashed under one of its tasks.
    """

    instances: Instances
    history: History
    caller: HttpCaller
    clock: Clock
    rng: random.Random
    seed: int
    accepted: dict[str, str] = field(factory=dict)
    accepted_at: dict[str, float] = field(factory=dict)
    rejected: set[str] = field(factory=set)
    queues: tuple[str, ...] = (QUEUE,)
    behaviour: TaskBehaviour | None = None
    kinds: tuple[DrawJob | None, ...] = ALL_KINDS
    status_seconds: float = 120.0
    read_stored_state: Callable[[str], str] = lambda _: ""
    count_crashes: Callable[[str], int] = lambda _: 0
    key: str = ""
    job_keys: dict[str, str] = field(factory=dict)
    calls: int = 0
    _cancel_sent: set[str] = field(factory=set)
    _ended_at: dict[str, float] = field(factory=dict)
    _last_job_number: int = 0

    async def submit_jobs(self) -> None:
        """Submit one job after another, and poll each accepted one for a while."""
        while True:
            submission = self._make_submission()
            self.history.submissions[submission.job] = submission
            if await self.submit(submission):
                await self._poll_state(submission)
            await asyncio.sleep(self.rng.uniform(0.05, 0.4))

    def make_name(self) -> str:
        """Return the ID of the next job."""
        self._last_job_number += 1
        return f"{self.seed % SEEDS:08x}{self._last_job_number:08x}"

    def _make_submission(self) -> Submission:
        """Return the submission of a job with random steps."""
        name = self.make_name()
        if self.behaviour is None:
            return draw_batch_job(name, self.queues[0], self.rng)
        queue = self.rng.choice(self.queues)
        draw = self.rng.choice(self.kinds)
        if draw is None:
            return draw_batch_job(name, queue, self.rng)
        return draw(name, queue, self.rng, self.behaviour)

    async def submit(self, submission: Submission) -> bool:
        """Submit a job in up to ``MAX_ATTEMPTS`` attempts; return whether one succeeds.

        A job counts as rejected only if every attempt was: after any other failure the
        job may have been stored.
        """
        only_rejected = True
        for _ in range(MAX_ATTEMPTS):
            instance = self.pick_instance()
            status, _ = await self.call(
                instance,
                "POST",
                self._find_path(submission.job),
                encode_submission(submission),
                self._find_key(submission.job),
            )
            if status == OK:
                self.accepted[submission.job] = "queued"
                self.accepted_at[submission.job] = asyncio.get_running_loop().time()
                return True
            only_rejected = only_rejected and status in REJECTION_STATUSES
            await asyncio.sleep(CALL_INTERVAL_SECONDS)
        if only_rejected:
            self.rejected.add(submission.job)
        return False

    async def _poll_state(self, submission: Submission) -> None:
        """Read a job's state a few times, in a few cases after cancelling the job."""
        if self.rng.random() < CANCEL_SHARE:
            await self.cancel(submission.job)
        for _ in range(self.rng.randint(1, 6)):
            await asyncio.sleep(CALL_INTERVAL_SECONDS)
            await self.query_state(submission.job, self.pick_instance())

    def _find_path(self, job: str) -> str:
        """Return the path of a job, by its queue."""
        return QUEUE_PATHS[self.history.submissions[job].queue] + job

    def _find_key(self, job: str) -> str:
        """Return the key with which a job was submitted."""
        return self.job_keys.get(job, self.key)

    async def cancel(self, job: str) -> None:
        """Cancel a job, and record when the cancellation was acknowledged."""
        self._cancel_sent.add(job)
        status, _ = await self.call(
            self.pick_instance(),
            "DELETE",
            self._find_path(job),
            key=self._find_key(job),
        )
        if status == OK:
            self.history.cancelled.setdefault(job, self.clock.monotonic())

    async def query_state(self, job: str, instance: Instance) -> str:
        """Return the state that an instance reports for a job, ``""`` for none.

        Records a violation where the instance should know the job and does not.
        """
        sent_at = asyncio.get_running_loop().time()
        status, document = await self.call(
            instance, "GET", self._find_path(job), key=self._find_key(job)
        )
        if status == GONE and self._may_be_forgotten(job, sent_at):
            return FORGOTTEN
        if status == GONE:
            is_current = sent_at - instance.paused_until > STALE_SECONDS
            if is_current and sent_at - self.accepted_at[job] > VISIBLE_SECONDS:
                self.record_violation(
                    f"{instance.name} does not know accepted job {job}"
                )
            return ""
        state = str(document.get("state", "")) if status == OK else ""
        self._check_state(job, state)
        return state

    def _check_state(self, job: str, state: str) -> None:
        """Check a reported state against the runs so far and an earlier final state."""
        if not state:
            return
        last_state = self.accepted[job]
        if last_state in FINAL_STATES and state in FINAL_STATES and state != last_state:
            self.record_violation(f"job {job} was {last_state} and is {state}")
        if state == "completed":
            for task in self.list_unfinished(job):
                self.record_violation(f"job {job} is completed without {task}")
        if state == "cancelled" and job not in self.history.cancelled:
            # A cancellation without a response may have been stored.
            self.history.cancelled[job] = self.clock.monotonic()
        if state in FINAL_STATES:
            self.accepted[job] = state
            self._ended_at.setdefault(job, asyncio.get_running_loop().time())

    def _may_be_forgotten(self, job: str, now: float) -> bool:
        """Return whether a job was shown as ended so long ago that it may be unknown.

        One that nobody has asked about may have ended at any time since its last run.
        """
        ended_at = self._ended_at.get(job)
        if ended_at is not None:
            return now - ended_at > self.status_seconds
        if now - self.accepted_at[job] < self.status_seconds:
            return False
        if job in self._cancel_sent or self.read_stored_state(job) == "failed":
            return True
        return not self.list_unfinished(job)

    def list_unfinished(self, job: str) -> list[str]:
        """Return the tasks of a job that no upstream has completed."""
        submission = self.history.submissions[job]
        missing = []
        for occurrence in range(submission.occurrences):
            for number, step in enumerate(submission.steps):
                tasks = [
                    TaskId(job, occurrence, number, index)
                    for index in range(step.count)
                ]
                left = [task for task in tasks if task not in self.history.done]
                # The end of one member of a gang counts for all.
                if not step.gang or len(left) == len(tasks):
                    missing.extend(format_task_id(task) for task in left)
        return missing

    def has_failing_task(self, job: str) -> bool:
        """Return whether a task of a job fails at each attempt."""
        failing = self.behaviour.failing if self.behaviour is not None else set()
        return any(task.job == job for task in failing)

    def has_ended(self, job: str) -> bool:
        """Return whether a job has ended as far as its upstreams can tell."""
        if job in self.history.cancelled or self.has_failing_task(job):
            return True
        steps = self.history.submissions[job].steps
        return any(step.lasting for step in steps) or not self.list_unfinished(job)

    def list_lasting(self) -> list[str]:
        """Return the accepted jobs whose tasks last, and which are not cancelled.

        A job is left out that was given up because upstreams had crashed under it.
        """
        found = []
        for job, state in self.accepted.items():
            if state == "cancelled" or job in self.history.cancelled:
                continue
            steps = self.history.submissions[job].steps
            if any(step.lasting for step in steps) and not self.is_given_up(job):
                found.append(job)
        return found

    def list_watched(self) -> list[str]:
        """Return the accepted jobs whose tasks last, and which nobody has cancelled."""
        found = []
        for job in self.accepted:
            steps = self.history.submissions[job].steps
            if not self.may_be_cancelled(job) and any(step.lasting for step in steps):
                found.append(job)
        return found

    def is_given_up(self, job: str) -> bool:
        """Return whether a job has failed because upstreams had crashed under it."""
        if self.read_stored_state(job) != "failed":
            return False
        return self.count_crashes(job) >= CRASHES_TO_GIVE_UP

    def may_be_cancelled(self, job: str) -> bool:
        """Return whether a cancellation of a job was sent, with whatever outcome."""
        return job in self._cancel_sent

    def list_absent(self, job: str) -> list[str]:
        """Return the names of the tasks of a job's steps that run nowhere."""
        return [format_task_id(task) for task in self.list_absent_tasks(job)]

    def list_absent_tasks(self, job: str) -> list[TaskId]:
        """Return the tasks of a job's steps that run nowhere."""
        absent = []
        for number, step in enumerate(self.history.submissions[job].steps):
            for index in range(step.count):
                task = TaskId(job, 0, number, index)
                if not self.history.running.get(task, 0):
                    absent.append(task)
        return absent

    async def call(
        self,
        instance: Instance,
        method: str,
        path: str,
        body: bytes | None = None,
        key: str = "",
    ) -> tuple[int, dict[str, object]]:
        """Send a call; return status and body, or status 0 where no response came."""
        headers = {"Host": HOST, "Content-Type": "application/json"}
        if key:
            headers["Api-Key"] = key
        call = HttpCall(
            method, instance.caller_address, path, CALL_TIMEOUT, body, headers
        )
        self.calls += 1
        sent = await self.caller.send(call)
        if sent.is_error():
            return 0, {}
        try:
            document = json.loads(sent.ok.body or b"{}")
        except ValueError:
            self.record_violation(f"{instance.name} sent a body that is not valid JSON")
            document = {}
        return sent.ok.code, document

    def pick_instance(self) -> Instance:
        """Return an instance that is chosen at random."""
        return self.rng.choice(self.instances.instances)

    def record_violation(self, text: str) -> None:
        """Record a violation, which makes the soak fail."""
        self.history.violations.append(text)
