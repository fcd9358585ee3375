"""The journal of one shard: the fence behind which its owner decides."""

from almondspread.journal.journal import (
    ExtraOperations,
    Journal,
    StaleCondition,
    Recovery,
    Superseded,
    CorruptJournal,
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
