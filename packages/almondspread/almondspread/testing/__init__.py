"""Small fakes of the platform with fault switches, for tests and stand-ins."""

from almondspread.testing.driving import run_for, settle_tasks
from almondspread.testing.store import MemoryStore
from almondspread.testing.table import MemoryTable

__all__ = ["MemoryStore", "MemoryTable", "run_for", "settle_tasks"]
