"""Base of tests of one leader with a store in memory."""

import unittest
from datetime import timedelta

from almondspread.codec import encode_message
from almondspread.jobs.leases import LeaderRow
from almondspread.jobs.ports import RowName, RowPut, Transaction
from almondspread.jobs.scheduler import Scheduler
from almondspread.jobs.store_limits import StoreLimits
from almondspread.testing.cell_input import make_configuration
from almondspread_daemon.jobs.commits import Committer
from almondspread_daemon.jobs.intake import JobIntake
from almondspread_daemon.jobs.leader import LeaderSession
from almondspread_daemon.jobs.row_writer import RowWriter
from almondspread_daemon.jobs.rows import (
    LEADER_ROW,
    SUBMISSIONS_TABLE,
    encode_submission,
    make_job_key,
)
from almondspread_daemon.jobs.tests.support import (
    SECOND,
    StoreParts,
    make_exchange,
    make_settings,
    make_submission,
)


class LeaderTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.parts = StoreParts()
        self.store = self.parts.store

    async def put(self, name, value):
        transaction = Transaction(puts=(RowPut(name, value),))
        return (await self.store.transact(transaction, SECOND)).ok.version

    async def submit(self, job, part="entry-1/0", accepted=timedelta(seconds=49)):
        name = RowName(SUBMISSIONS_TABLE, part, make_job_key(job))
        return await self.put(name, encode_submission(make_submission(job), accepted))

    async def claim(self, epoch=1, incarnation="one", started_version=0):
        row = LeaderRow(
            epoch,
            "entry-1",
            incarnation,
            "127.0.0.1:1",
            50.0,
            started_version=started_version,
        )
        version = await self.put(LEADER_ROW, encode_message(row))
        self.scheduler = Scheduler(epoch, make_configuration(), started_version)
        parts = self.parts
        self.committer = Committer(
            row,
            version,
            self.scheduler,
            parts.access,
            parts.store_clock,
            parts.clock,
            StoreLimits(),
        )
        self.intake = JobIntake(
            version,
            self.scheduler,
            self.committer,
            make_settings(),
            parts.access,
            parts.store_clock,
            parts.clock,
        )

    def make_session(self, row, machines=None):
        parts = self.parts
        return LeaderSession(
            row,
            9,
            make_settings(),
            make_configuration(),
            parts.access,
            parts.store_clock,
            parts.clock,
            parts.metrics,
            RowWriter(parts.access, parts.clock, "entry-1"),
            machines,
            make_exchange(parts.clock),
        )
