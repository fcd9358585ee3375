"""Callers that submit, ask for and cancel jobs, and check what they are told."""

import asyncio
import json
import random
from datetime import timedelta

from attrs import define, field

from almondspread.clock import Clock
from almondspread.jobs.submissions import Step, Submission
from almondspread.resources.capacity import Capacity
from almondspread.testing.fake_upstream import History
from almondspread_platform.caller import HttpCall, HttpCaller
from almondspread_standin.soak.instances import Instance, Instances
from platform_standin.formats import (
    HOST,
    QUEUE_PATH,
    encode_submission,
    format_probe_path,
)

CALL_TIMEOUT = timedelta(seconds=3)
MAX_TRIES = 12
PAUSE_SECONDS = 0.3
CANCEL_SHARE = 0.08
# What an instance tells this soon after it was paused may be old.
DISTURBED_SECONDS = 6.0
# An accepted job is known at every instance this long after its acknowledgement.
VISIBLE_SECONDS = 3.0
OK, GONE = 200, 410
REJECTIONS = (429, 503)
# Seeds that differ below this give jobs other names.
SEEDS = 2**32
FINAL_STATES = ("completed", "failed", "cancelled")


@define(eq=False)
class JobClients:
    """All callers; ``accepted`` tells the last state heard of each accepted job.

    ``rejected`` jobs were turned away each time they were sent.
    """

    instances: Instances
    history: History
    caller: HttpCaller
    clock: Clock
    source: random.Random
    seed: int
    accepted: dict[str, str] = field(factory=dict)
    accepted_at: dict[str, float] = field(factory=dict)
    rejected: set[str] = field(factory=set)
    newest_seen: dict[tuple[str, int], int] = field(factory=dict)
    calls: int = 0
    _numbers: int = 0

    async def submit_jobs(self) -> None:
        """Submit one job after another, and follow each a while."""
        while True:
            submission = self._make_job()
            self.history.submissions[submission.job] = submission
            if await self._submit(submission):
                await self._follow(submission)
            await asyncio.sleep(self.source.uniform(0.05, 0.4))

    def _make_job(self) -> Submission:
        """Return a job of random shape."""
        self._numbers += 1
        steps = []
        for number in range(self.source.choice((1, 1, 2, 3))):
            steps.append(
                Step(
                    self.source.randint(1, 5),
                    Capacity(self.source.choice((500, 1_000, 2_000)), 500, 0),
                    timedelta(seconds=1),
                    after=(number - 1,) if number else (),
                    gang=self.source.random() < 0.15,
                    duplicates=self.source.random() < 0.2,
                )
            )
        name = f"{self.seed % SEEDS:08x}{self._numbers:08x}"
        return Submission(name, "jobs", "payload", tuple(steps))

    async def _submit(self, submission: Submission) -> bool:
        """Submit a job until an answer is definite; return whether it is accepted."""
        only_rejected = True
        for _ in range(MAX_TRIES):
            instance = self._pick()
            status, _ = await self._call(
                instance,
                "POST",
                QUEUE_PATH + submission.job,
                encode_submission(submission),
            )
            if status == OK:
                self.accepted[submission.job] = "queued"
                self.accepted_at[submission.job] = asyncio.get_running_loop().time()
                return True
            only_rejected = only_rejected and status in REJECTIONS
            await asyncio.sleep(PAUSE_SECONDS)
        if only_rejected:
            self.rejected.add(submission.job)
        return False

    async def _follow(self, submission: Submission) -> None:
        """Ask for a job's state a few times, and perhaps cancel it."""
        if self.source.random() < CANCEL_SHARE:
            await self._cancel(submission.job)
        for _ in range(self.source.randint(1, 6)):
            await asyncio.sleep(PAUSE_SECONDS)
            await self.query_state(submission.job, self._pick())

    async def _cancel(self, job: str) -> None:
        """Cancel a job, and note when that was acknowledged."""
        status, _ = await self._call(self._pick(), "DELETE", QUEUE_PATH + job)
        if status == OK:
            self.history.cancelled.setdefault(job, self.clock.monotonic())

    async def query_state(self, job: str, instance: Instance) -> str:
        """Return a job's state as an instance tells it, empty without an answer."""
        asked = asyncio.get_running_loop().time()
        status, document = await self._call(instance, "GET", QUEUE_PATH + job)
        if status == GONE:
            calm = asked - instance.paused_until > DISTURBED_SECONDS
            if calm and asked - self.accepted_at[job] > VISIBLE_SECONDS:
                self._complain(f"{instance.name} does not know accepted job {job}")
            return ""
        state = str(document.get("state", "")) if status == OK else ""
        self._check_state(job, state)
        return state

    def _check_state(self, job: str, state: str) -> None:
        """Check a state against what has happened, and against earlier states."""
        if not state:
            return
        known = self.accepted[job]
        if known in FINAL_STATES and state in FINAL_STATES and state != known:
            self._complain(f"job {job} was {known} and is {state}")
        if state == "completed":
            for task in self._list_unfinished(job):
                self._complain(f"job {job} is completed without {task}")
        if state == "cancelled" and job not in self.history.cancelled:
            # An unanswered cancellation may have been stored.
            self.history.cancelled[job] = self.clock.monotonic()
        if state in FINAL_STATES:
            self.accepted[job] = state

    def _list_unfinished(self, job: str) -> list[str]:
        """Return the tasks of a job that have not ended as done."""
        done = {task for task in self.history.done if task.job == job}
        missing = []
        for number, step in enumerate(self.history.submissions[job].steps):
            present = {task.index for task in done if task.step == number}
            if step.gang and present:
                # One end stands for all members.
                continue
            for index in range(step.count):
                if index not in present:
                    missing.append(f"{number}.{index}")
        return missing

    async def probe_configuration(self, newest: "list[int]") -> None:
        """Ask instances for routes that only some versions have."""
        while True:
            instance = self._pick()
            key = (instance.name, instance.start_count)
            version = max(1, newest[0] - self.source.randint(0, 2))
            status, _ = await self._call(instance, "GET", format_probe_path(version))
            if key != (instance.name, instance.start_count):
                continue
            seen = self.newest_seen.get(key, 0)
            # Other answers than 200 also come before there is any configuration.
            if status == OK:
                if version < seen:
                    self._complain(f"{instance.name} went back to version {version}")
                self.newest_seen[key] = max(seen, version)
            await asyncio.sleep(0.1)

    async def _call(
        self, instance: Instance, method: str, path: str, body: bytes | None = None
    ) -> tuple[int, dict[str, object]]:
        """Return the status and the body of an answer, 0 where there is none."""
        headers = {"Host": HOST, "Content-Type": "application/json"}
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
            self._complain(f"{instance.name} sent a body that is not whole")
            document = {}
        return sent.ok.code, document

    def _pick(self) -> Instance:
        """Return any instance."""
        return self.source.choice(self.instances.instances)

    def _complain(self, text: str) -> None:
        """Note a broken promise."""
        self.history.violations.append(text)
