import asyncio
import unittest

from expression import Error, Ok

from almondspread.changes.tests.faults import declare, make_instances, settle
from almondspread.codec import encode_message
from almondspread.ownership import Member
from almondspread.ownership.ranking import rank_owners
from almondspread_daemon.peers import CallContext, PeerFault
from almondspread_daemon.peers.messages import ReportStatuses
from almondspread_daemon.shards.publisher import APPENDER, StatusPublisher

CONTEXT = CallContext(10.0, "")
NAMES = ("a", "b", "c")


class Links:
    """Passes calls to the publishers of other instances, unless a link is cut."""

    def __init__(self, clock):
        self.publishers = {}
        self.cut = set()
        self.delay = None
        self._clock = clock

    def list_live(self):
        return [
            Member(name, name, "umea", name, self._clock.monotonic(), ready=True)
            for name in self.publishers
        ]

    async def call(self, address, message, timeout):
        if address in self.cut:
            return Error(PeerFault("cut", True))
        if self.delay is not None:
            await self.delay.wait()
        return Ok(await self.publishers[address].handle_reports(message, CONTEXT))


class PublisherTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        made = make_instances(*NAMES)
        self.table, _, self.clock, instances = made
        self.instances = {one.name: one for one in instances}
        self.links = Links(self.clock)
        self.epochs = dict.fromkeys(NAMES, 1)
        for name in NAMES:
            self.links.publishers[name] = self.make_publisher(name)
        self.appender, *self.others = rank_owners(APPENDER, NAMES)

    def make_publisher(self, name):
        log = self.instances[name].log
        return StatusPublisher(
            log, self.clock, name, self.links, lambda shard: self.epochs[name]
        )

    async def asyncSetUp(self):
        await settle(self.clock, self.instances["a"].declare("x"))
        for one in self.instances.values():
            await settle(self.clock, one.log.catch_up())

    def publish(self, name, shard, running):
        report = {"created_revision": 1, "running": running}
        self.links.publishers[name].publish(shard, {("team", "x"): report})

    async def flush(self, *names):
        """Flush at each instance, then at the appender until all flushes return."""
        calls = [self.links.publishers[name].flush() for name in names]
        tasks = [asyncio.ensure_future(call) for call in calls]
        for _ in range(50):
            await asyncio.sleep(0)
        await settle(self.clock, self.links.publishers[self.appender].flush(), *tasks)

    async def read_reports(self):
        log = self.instances["a"].log
        await settle(self.clock, log.catch_up())
        reports = log.cache.find("team", "x").reports
        return {shard: report["running"] for shard, report in reports.items()}

    async def test_reports_of_all_instances_share_an_entry(self):
        for number, name in enumerate(NAMES):
            self.publish(name, f"shard-{name}", number)
        writes = self.table.row_writes
        await self.flush(*self.others)
        wanted = {f"shard-{name}": number for number, name in enumerate(NAMES)}
        self.assertEqual(await self.read_reports(), wanted)
        self.assertEqual(self.table.row_writes - writes, 2)

    async def test_instance_appends_by_itself_if_appender_is_unreachable(self):
        self.links.cut.add(self.appender)
        self.publish(self.others[0], "s", 4)
        await self.flush(self.others[0])
        self.assertEqual(await self.read_reports(), {"s": 4})

    async def test_late_report_does_not_replace_a_newer_one(self):
        """A forwarded report arrives after its sender has appended a newer one."""
        sender = self.others[0]
        self.links.delay = asyncio.Event()
        self.publish(sender, "s", 1)
        late = asyncio.ensure_future(self.links.publishers[sender].flush())
        await asyncio.sleep(0)
        self.links.cut.add(self.appender)
        self.publish(sender, "s", 2)
        await settle(self.clock, self.links.publishers[sender].flush())
        self.assertEqual(await self.read_reports(), {"s": 2})
        self.links.delay.set()
        while not self.links.publishers[self.appender]._forwarded:
            await asyncio.sleep(0)
        await settle(self.clock, self.links.publishers[self.appender].flush(), late)
        self.assertEqual(await self.read_reports(), {"s": 2})

    async def test_superseded_owner_replaces_nothing(self):
        first, second = self.others
        self.epochs[second] = 2
        self.publish(second, "s", 8)
        await self.flush(second)
        self.publish(first, "s", 3)
        await self.flush(first)
        self.assertEqual(await self.read_reports(), {"s": 8})

    async def test_reports_are_kept_through_an_outage(self):
        self.table.down = True
        for name in NAMES:
            self.publish(name, f"shard-{name}", 1)
        await self.flush(*self.others)
        self.table.down = False
        self.publish(self.others[0], f"shard-{self.others[0]}", 2)
        await self.flush(*self.others)
        wanted = {f"shard-{name}": 1 for name in NAMES}
        wanted[f"shard-{self.others[0]}"] = 2
        self.assertEqual(await self.read_reports(), wanted)

    async def test_reports_on_replaced_resources_are_dropped(self):
        self.publish("a", "s", 1)
        report = {"created_revision": 77, "running": 5}
        self.links.publishers["a"].publish("t", {("team", "x"): report})
        self.links.publishers["a"].publish("t", {("team", "gone"): report})
        await self.flush("a")
        self.assertEqual(await self.read_reports(), {"s": 1})

    async def test_change_that_is_not_a_status_report_is_rejected(self):
        message = ReportStatuses("b", (encode_message(declare("y")),))
        with self.assertRaises(ValueError):
            await self.links.publishers["a"].handle_reports(message, CONTEXT)


if __name__ == "__main__":
    unittest.main()
