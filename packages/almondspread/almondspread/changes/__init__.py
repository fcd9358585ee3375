"""The log of resource changes, with one revision counter for the whole cell."""

from almondspread.changes.cache import (
    AppliedChange,
    AppliedEntry,
    CachedResource,
    ResourceCache,
)
from almondspread.changes.entries import Change, Entry
from almondspread.changes.log import ChangeLog
from almondspread.changes.reader import ReadFault, Unreadable

__all__ = [
    "AppliedChange",
    "AppliedEntry",
    "CachedResource",
    "Change",
    "ChangeLog",
    "Entry",
    "ReadFault",
    "ResourceCache",
    "Unreadable",
]
