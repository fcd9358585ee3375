import unittest

from almondspread.changes import Entry, ResourceCache
from almondspread.changes.configuration import find_cell_configuration
from almondspread.changes.entries import make_removal_change, make_spec_change
from almondspread.resources import Configuration, Metadata


class CellConfigurationTest(unittest.TestCase):
    def test_reflects_applied_entries(self):
        cache = ResourceCache()
        self.assertEqual(find_cell_configuration(cache).batch_backlog_per_worker, 2)
        other = Configuration(Metadata("other"), policy="packing")
        cell = Configuration(Metadata("cell"), batch_backlog_per_worker=5)
        changes = [make_spec_change("configuration", one) for one in (other, cell)]
        cache.apply(Entry(1, "a", "a", 0.0, tuple(changes)))
        self.assertEqual(find_cell_configuration(cache), cell)
        removal = make_removal_change("configuration", "cell")
        cache.apply(Entry(2, "b", "a", 0.0, (removal,)))
        self.assertEqual(find_cell_configuration(cache).policy, "waiting")


if __name__ == "__main__":
    unittest.main()
