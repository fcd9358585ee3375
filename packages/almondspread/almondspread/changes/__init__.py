"""The change log of resources: one growing revision for the whole cell."""

from almondspread.changes.cache import (
    AppliedChange,
    AppliedEntry,
    Item,
    ResourceCache,
)
from almondspread.changes.entries import Change, Entry
from almondspread.changes.log import ChangeLog
from almondspread.changes.reading import ReadFault, Unreadable

__all__ = [
    "AppliedChange",
    "AppliedEntry",
    "Change",
    "ChangeLog",
    "Entry",
    "Item",
    "ReadFault",
    "ResourceCache",
    "Unreadable",
]
