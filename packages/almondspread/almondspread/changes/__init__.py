"""The change log of resources: one growing revision for the whole cell."""

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
    "Change",
    "ChangeLog",
    "Entry",
    "CachedResource",
    "ReadFault",
    "ResourceCache",
    "Unreadable",
]
