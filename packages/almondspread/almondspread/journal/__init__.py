"""The journal of a shard: its committed events, fenced to the current owner."""

from almondspread.journal.journal import (
    CorruptJournal,
    ExtraOperations,
    Journal,
    Recovery,
    StaleCondition,
    Superseded,
    ignore_commit,
)
from almondspread.journal.rows import JournalRow, make_row_key

__all__ = [
    "ExtraOperations",
    "Journal",
    "JournalRow",
    "StaleCondition",
    "Recovery",
    "Superseded",
    "CorruptJournal",
    "ignore_commit",
    "make_row_key",
]
