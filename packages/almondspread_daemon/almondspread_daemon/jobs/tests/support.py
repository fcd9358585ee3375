"""Fixtures for tests of an instance with a store in memory."""

import asyncio
import random
from datetime import timedelta

from almondspread.clock import ManualClock
from almondspread.jobs.submissions import Step, Submission
from almondspread.resources.capacity import Capacity
from almondspread.testing.record_store import MemoryRecordStore
from almondspread_daemon.jobs.instance import JobInstance
from almondspread_daemon.jobs.key_check import KeyCheck
from almondspread_daemon.jobs.metrics import JobMetrics
from almondspread_daemon.jobs.operator_exchange import OperatorExchange
from almondspread_daemon.jobs.published_input import PublishedInput
from almondspread_daemon.jobs.remote_clock import RemoteClock
from almondspread_daemon.jobs.settings import JobSettings, KeyCheckSettings
from almondspread_daemon.jobs.store_access import StoreAccess

SECOND = timedelta(seconds=1)
OPEN = KeyCheckSettings(fail_closed=False)


class YieldingClock(ManualClock):
    """A manual clock whose ``sleep`` advances the time and returns at once."""

    async def sleep(self, duration):
        self.advance(duration)
        await asyncio.sleep(0)


async def run_ready_tasks():
    """Yield to the event loop until tasks that wait for no time have run."""
    for _ in range(5):
        await asyncio.sleep(0)


class StoreParts:
    """A store in memory with a clock, metrics and access to the store."""

    def __init__(self):
        self.clock = YieldingClock()
        self.store = MemoryRecordStore()
        self.metrics = JobMetrics("entry-1", "umea")
        self.access = StoreAccess(self.store, None, self.clock, self.metrics)
        self.store_clock = RemoteClock(self.clock)
        self.store_clock.observe(self.store.store_time)


class FakeLink:
    """A link that keeps what is sent, and on which some messages arrive."""

    def __init__(self, *messages):
        self.messages = messages
        self.sent = []

    def send(self, message):
        self.sent.append(message)

    async def receive_messages(self):
        for message in self.messages:
            yield message

    def close(self):
        pass


def record_refusals(access):
    """Return a list to which the access adds why it was refused a call for good."""
    refusals = []
    transact = access.transact

    async def transact_and_record(transaction):
        outcome = await transact(transaction)
        failure = outcome.error if outcome.is_error() else None
        if getattr(failure, "permanent", False):
            refusals.append(failure.reason)
        return outcome

    access.transact = transact_and_record
    return refusals


def make_published(clock, apply=lambda _: None, decode=lambda rows: rows):
    """Return what an instance knows of operators' rows; ``apply`` gets the decoded."""
    return PublishedInput(decode, apply, clock, JobMetrics("entry-1", "umea"))


def make_key_check(
    parts,
    settings=OPEN,
    is_current=lambda: True,
    measure_age=lambda: timedelta(0),
):
    """Return a check of keys by a configuration that is the newest."""
    return KeyCheck(settings, parts.clock, parts.metrics, is_current, measure_age)


def make_exchange(clock, published=None, is_store_failing=lambda: False):
    return OperatorExchange(published or make_published(clock), clock, is_store_failing)


def make_settings(instance="entry-1"):
    return JobSettings(
        instance,
        "umea",
        "127.0.0.1:0",
        "127.0.0.1:0",
        "127.0.0.1:0",
        1.0,
        1_000.0,
        10 * SECOND,
        SECOND,
        120 * SECOND,
        6 * SECOND,
    )


def make_instance(parts, access):
    """Return an instance for tests that call no upstream, advice or machine client."""
    return JobInstance(
        make_settings(),
        "one",
        access,
        None,
        None,
        None,
        parts.clock,
        parts.metrics,
        random.Random(1),
    )


def make_submission(job, queue="queue", count=1):
    return Submission(job, queue, "text", (Step(count, Capacity(500, 256), SECOND),))
