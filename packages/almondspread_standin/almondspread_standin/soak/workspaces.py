"""Workspaces of a soak: keys that come and go, a surge, and a limit."""

import asyncio
from collections.abc import Callable
from pathlib import Path

from attrs import define, field

from almondspread.jobs.submissions import Step, Submission
from almondspread.resources.capacity import Capacity
from almondspread_standin.soak.clients import OK, QUEUE, JobClients
from almondspread_standin.soak.configuration_probe import APPLY_SECONDS
from almondspread_standin.soak.instances import Instance
from almondspread_standin.soak.pool import UpstreamPool
from platform_standin.formats import QUEUE_PATH, WorkspaceEntry

STEADY, SURGING, ROTATING = "steady", "surging", "rotating"
STEADY_KEY, SURGING_KEY = "soak-key-steady", "soak-key-surging"
UNHEARD_KEY = "soak-key-unheard"
# All keys of a soak begin so, by which the logs are searched for them.
KEY_PREFIX = "soak-key-"
# Each version has so many keys of the workspace whose keys come and go.
KEYS_AT_A_TIME = 2
# So many of its newest keys are probed, most of which have been removed.
PROBED_KEYS = 6
PROBE_SECONDS = 0.05
REFUSED = (401, 403)
# The workspace may submit one job a second, and submits this many for some seconds.
RATE, SURGE_RATE = 1.0, 20.0
SURGE_SECONDS, SURGE_PAUSE_SECONDS = 5.0, 12.0
FIRST_SURGE_SECONDS = 2.0
SURGE_STEP = Step(1, Capacity(500, 64, 0))
LIMIT_MILLIS = 4_000
# What the platform allows above the limit, besides one task.
OVERRUN = 0.1
WATCH_SECONDS = 0.02


@define(eq=False)
class KeyLife:
    """When a key was added and removed, by the event loop's time of acknowledgement.

    ``is_withdrawn`` is set before the version without the key is sent to the store.
    """

    added_at: float | None = None
    removed_at: float | None = None
    is_withdrawn: bool = False


@define(eq=False)
class WorkspaceTraffic:
    """Publishes workspaces, calls with their keys, and checks keys and a limit.

    Until ``is_disturbed`` is over, keys may be checked by an older configuration. A
    key that was never published is refused at any time.
    """

    clients: JobClients
    pool: UpstreamPool
    is_disturbed: Callable[[], bool]
    keys: dict[str, KeyLife] = field(factory=dict)
    most_millis: int = 0
    _surge_jobs: set[str] = field(factory=set)

    def rotate_keys(self) -> tuple[WorkspaceEntry, ...]:
        """Return the workspaces of the next version, with one key replaced."""
        self.clients.key = STEADY_KEY
        self.keys[f"{KEY_PREFIX}{len(self.keys)}"] = KeyLife()
        newest = tuple(self.keys)[-KEYS_AT_A_TIME:]
        for key, life in self.keys.items():
            life.is_withdrawn = key not in newest
        return (
            WorkspaceEntry(STEADY, (STEADY_KEY,), weight=100.0),
            WorkspaceEntry(SURGING, (SURGING_KEY,), RATE, LIMIT_MILLIS),
            WorkspaceEntry(ROTATING, newest),
        )

    def record_published(self, now: float) -> None:
        """Record that the version of the last rotation was acknowledged."""
        for life in self.keys.values():
            if life.added_at is None:
                life.added_at = now
            if life.is_withdrawn and life.removed_at is None:
                life.removed_at = now

    async def run(self) -> None:
        """Probe keys and send surges until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._probe_keys())
            group.create_task(self._send_surges())

    async def _probe_keys(self) -> None:
        """Call one instance after another with keys that are or were in force."""
        rng = self.clients.rng
        while True:
            key = rng.choice([*tuple(self.keys)[-PROBED_KEYS:], UNHEARD_KEY])
            await self.probe(self.clients.pick_instance(), key)
            await asyncio.sleep(PROBE_SECONDS)

    async def probe(self, instance: Instance, key: str) -> None:
        """Call an instance with a key, and check the answer."""
        start_count = instance.start_count
        was_disturbed = self.is_disturbed()
        sent_at = asyncio.get_running_loop().time()
        status, _ = await self.clients.call(instance, "GET", QUEUE_PATH, key=key)
        life = self.keys.get(key)
        if life is None:
            if status == OK:
                self._record(f"{instance.name} served a key that was never published")
            return
        is_disturbed = was_disturbed or self.is_disturbed()
        if is_disturbed or start_count != instance.start_count:
            return
        removed_for = _measure(life.removed_at, sent_at)
        if status == OK and removed_for > APPLY_SECONDS:
            self._record(
                f"{instance.name} served a key that was removed {removed_for:.2f} s ago"
            )
        added_for = _measure(life.added_at, sent_at)
        is_in_force = added_for > APPLY_SECONDS and not life.is_withdrawn
        if status in REFUSED and is_in_force:
            self._record(
                f"{instance.name} refused a key that was added {added_for:.2f} s ago"
            )

    async def _send_surges(self) -> None:
        """Have one workspace submit many times its rate, again and again."""
        await asyncio.sleep(FIRST_SURGE_SECONDS)
        while True:
            async with asyncio.TaskGroup() as group:
                for _ in range(round(SURGE_RATE * SURGE_SECONDS)):
                    submission = self._make_surge_job()
                    group.create_task(self.clients.submit(submission))
                    await asyncio.sleep(1 / SURGE_RATE)
            await asyncio.sleep(SURGE_PAUSE_SECONDS)

    def _make_surge_job(self) -> Submission:
        """Return the next job of a surge."""
        name = self.clients.make_name()
        submission = Submission(name, QUEUE, "payload", (SURGE_STEP,))
        self.clients.history.submissions[name] = submission
        self.clients.job_keys[name] = SURGING_KEY
        self._surge_jobs.add(name)
        return submission

    async def watch_limit(self) -> None:
        """Record what the workspace with a limit has running, until cancelled."""
        while True:
            self.pool.advance_all()
            self.most_millis = max(self.most_millis, self.measure_usage())
            await asyncio.sleep(WATCH_SECONDS)

    def measure_usage(self) -> int:
        """Return the thousandths of a core that the surging workspace has running."""
        total = 0
        for member in self.pool.members:
            for task in member.endpoint.upstream.runs:
                if task.job in self._surge_jobs:
                    total += self.clients.history.find_claim(task).cpu_millis
        return total

    def check(self, logs: Path) -> None:
        """Check the limit, and that no key is in the processes' logs in a folder."""
        allowed = LIMIT_MILLIS * (1 + OVERRUN) + SURGE_STEP.size.cpu_millis
        if self.most_millis > allowed:
            self._record(
                f"a workspace had {self.most_millis} millis running, "
                f"over its limit of {LIMIT_MILLIS}"
            )
        for path in sorted(logs.glob("instance-*.log")):
            if KEY_PREFIX in path.read_text(errors="replace"):
                self._record(f"{path.name} holds a key")

    def _record(self, text: str) -> None:
        """Record a violation."""
        self.clients.record_violation(text)


def _measure(since: float | None, now: float) -> float:
    """Return the seconds since a time, 0 if it has not come."""
    return now - since if since is not None else 0.0
