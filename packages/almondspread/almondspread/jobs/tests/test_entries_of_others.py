"""What an entry proves of the upstream that had its address before: nothing.

An entry may come from another writer. Only the upstream's own answers, or the expiry of
its leases, show that its runs have ended.
"""

from attrs import evolve

from almondspread.jobs.configuration import Service
from almondspread.jobs.tests.cells import SECOND, RestartCellTest
from almondspread.testing.cell_input import SERVICE, make_entry

OTHER_SERVICE = "other"


class EntryAtAnAddressTest(RestartCellTest):
    """Tasks ran twice once the entry of their upstream was missing beside another."""

    upstream_count = 3

    def list_other_at(self, name, service):
        """Have the list name another upstream at the address of a missing one."""
        entries = []
        for number, upstream in enumerate(self.cell.upstreams.values()):
            entry = make_entry(upstream, number)
            if upstream.name == name:
                entry = evolve(entry, name="x", identity="x", service=service)
            entries.append(entry)
        self.cell.directory_is_up = False
        self.cell.scheduler.update_upstreams(entries, self.cell.now)

    def run_beside_other(self, name, service, duration):
        """Run for a duration while each list names another upstream at the address."""
        end = self.cell.now + duration
        while self.cell.now < end:
            self.list_other_at(name, service)
            self.cell.step()

    def test_entry_of_an_unknown_service_ends_no_run_at_its_address(self):
        name = self.submit_long()
        self.cell.run_for(SECOND)
        self.run_beside_other(name, "unknown", 4 * SECOND)
        self.assertEqual(self.cell.history.starts, 1)
        self.assert_completed("j")

    def test_entry_of_the_same_service_ends_no_run_at_its_address(self):
        name = self.submit_long()
        self.cell.run_for(SECOND)
        self.run_beside_other(name, SERVICE, 4 * SECOND)
        self.assertEqual(self.cell.history.starts, 1)
        self.assert_completed("j")

    def test_entry_ends_no_run_of_an_upstream_that_is_silent(self):
        """Its leases last, although neither it nor its executor can tell."""
        name = self.submit_long()
        self.cell.run_for(SECOND)
        self.cell.silent.add(name)
        self.run_beside_other(name, SERVICE, SECOND)
        self.assertEqual(self.cell.history.starts, 1)
        self.run_beside_other(name, "unknown", 9 * SECOND)
        self.assertEqual(self.cell.history.starts, 2)

    def test_entry_ends_no_run_that_an_earlier_leader_started(self):
        name = self.submit_long()
        self.cell.run_for(SECOND)
        self.cell.silent.add(name)
        self.cell.take_over()
        self.run_beside_other(name, SERVICE, SECOND)
        self.assertEqual(self.cell.history.starts, 1)
        self.run_beside_other(name, "unknown", 9 * SECOND)
        self.assertEqual(self.cell.history.starts, 2)

    def test_upstream_that_tells_of_another_at_its_address_has_ended(self):
        name = self.submit_long()
        self.cell.run_for(SECOND)
        self.cell.replace_upstream(name)
        self.cell.run_for(SECOND)
        self.assertEqual(self.cell.history.starts, 2)
        self.cell.run_for(4 * SECOND)
        self.assert_completed("j")


class CrashByEntryTest(RestartCellTest):
    """A loss was settled by the entry of any writer at the lost upstream's address."""

    upstream_count = 3

    def lose_upstream(self):
        """Have an upstream be lost under a task; return its entry."""
        name = self.submit_long(seconds=30)
        self.cell.run_for(SECOND)
        number = list(self.cell.upstreams).index(name)
        entry = make_entry(self.cell.upstreams[name], number)
        self.cell.directory_is_up = False
        self.cell.upstreams.pop(name).crash()
        self.cell.run_for(SECOND)
        return entry

    def list_at(self, entry, service):
        """Have the list name an upstream of a service at an address."""
        entries = [
            make_entry(upstream, number + 5)
            for number, upstream in enumerate(self.cell.upstreams.values())
        ]
        entries.append(evolve(entry, name="x", identity="x", service=service))
        self.cell.scheduler.update_upstreams(entries, self.cell.now)

    def find_losses(self):
        """Return the losses of the only task."""
        (progress,) = self.cell.scheduler.jobs["j"].steps.values()
        return progress.losses.by_task.get(0, ())

    def lapse(self, entry):
        """Have the leases of a lost upstream expire."""
        upstream = self.cell.scheduler.cell_state.upstreams[entry.name]
        upstream.lapse_at = self.cell.now
        self.cell.step()

    def test_entry_of_an_unknown_service_settles_no_loss(self):
        entry = self.lose_upstream()
        self.lapse(entry)
        self.list_at(entry, "unknown")
        (loss,) = self.find_losses()
        self.assertFalse(loss.crashed)

    def test_entry_of_another_configured_service_settles_a_loss(self):
        """The address has gone to another service: the upstream was not restarted."""
        services = {**self.cell.configuration.services}
        services[OTHER_SERVICE] = Service(OTHER_SERVICE)
        self.cell.scheduler.configure(
            evolve(self.cell.configuration, version=2, services=services)
        )
        entry = self.lose_upstream()
        self.lapse(entry)
        self.list_at(entry, OTHER_SERVICE)
        self.assertEqual(tuple(self.find_losses()), ())

    def test_entry_of_the_same_service_shows_a_crash(self):
        entry = self.lose_upstream()
        self.lapse(entry)
        self.list_at(entry, SERVICE)
        (loss,) = self.find_losses()
        self.assertTrue(loss.crashed)
