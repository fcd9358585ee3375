"""The journal of one shard: the fence behind which its owner decides."""

from almondspread.journal.journal import Journal, Recovery, Superseded, Undecodable
from almondspread.journal.rows import JournalRow, make_row_key

__all__ = [
    "Journal",
    "JournalRow",
    "Recovery",
    "Superseded",
    "Undecodable",
    "make_row_key",
]
