"""The change log of resources: one growing revision for the whole cell."""

from almondspread.changes.cache import Item, ResourceCache
from almondspread.changes.entries import Change, Entry
from almondspread.changes.log import ChangeLog

__all__ = ["Change", "ChangeLog", "Entry", "Item", "ResourceCache"]
