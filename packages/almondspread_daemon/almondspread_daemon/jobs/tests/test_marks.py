import unittest

from almondspread_daemon.jobs.rows import START_MARK_ROWS
from almondspread_daemon.jobs.start_marks import StartMarks
from almondspread_daemon.jobs.tests.support import StoreParts


class StartMarksTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.parts = StoreParts()
        self.store = self.parts.store

    def make_marks(self, epoch, inherited_version=0):
        return StartMarks(epoch, inherited_version, self.parts.access)

    async def test_next_epoch_reads_the_marked_version(self):
        first = self.make_marks(1)
        self.assertTrue(await first.fence())
        self.assertTrue(await first.write(40))
        second = self.make_marks(2, inherited_version=30)
        self.assertTrue(await second.fence())
        self.assertEqual(second.inherited_version, 40)

    async def test_fenced_epoch_cannot_write_marks(self):
        first = self.make_marks(1)
        await first.fence()
        await self.make_marks(2).fence()
        self.assertFalse(await first.write(40))
        third = self.make_marks(3)
        await third.fence()
        self.assertEqual(third.inherited_version, 0)

    async def test_one_writable_mark_is_enough(self):
        first = self.make_marks(1)
        await first.fence()
        self.store.refuses = lambda part: part == START_MARK_ROWS[0].partition
        self.assertTrue(await first.write(40))
        second = self.make_marks(2)
        self.assertFalse(await second.fence())
        self.store.refuses = lambda _: False
        self.assertTrue(await second.fence())
        self.assertEqual(second.inherited_version, 40)

    async def test_marks_are_not_fenced_while_one_could_still_be_written(self):
        first = self.make_marks(1)
        await first.fence()
        self.store.refuses = lambda part: part == START_MARK_ROWS[1].partition
        second = self.make_marks(2)
        self.assertFalse(await second.fence())
        self.store.refuses = lambda part: part == START_MARK_ROWS[0].partition
        self.assertTrue(await first.write(50))
        self.store.refuses = lambda _: False
        self.assertTrue(await second.fence())
        self.assertEqual(second.inherited_version, 50)

    async def test_lost_answer_leaves_the_mark_usable(self):
        first = self.make_marks(1)
        await first.fence()
        losses = [True, True]
        self.store.loses_answer = lambda: bool(losses and losses.pop())
        self.assertFalse(await first.write(40))
        self.assertFalse(await first.write(41))
        self.assertTrue(await first.write(42))

    async def test_fence_that_is_sent_twice_still_reads_the_marked_version(self):
        """The next leader took marked jobs for new ones, and done tasks ran again."""
        first = self.make_marks(1)
        await first.fence()
        await first.write(40)
        transact = self.parts.access.transact

        async def transact_twice(transaction):
            await transact(transaction)
            return await transact(transaction)

        self.parts.access.transact = transact_twice
        second = self.make_marks(2, inherited_version=30)
        await second.fence()
        self.assertTrue(await second.fence())
        self.assertEqual(second.inherited_version, 40)

    async def test_earlier_epoch_cannot_fence_a_later_one(self):
        await self.make_marks(2).fence()
        self.assertFalse(await self.make_marks(1).fence())


if __name__ == "__main__":
    unittest.main()
