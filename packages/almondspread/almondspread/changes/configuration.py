"""Lookup of the cell configuration that an instance currently applies."""

from almondspread.changes.cache import ResourceCache
from almondspread.resources import Configuration, Metadata

CELL_CONFIGURATION = "cell"


def find_cell_configuration(cache: ResourceCache) -> Configuration:
    """Return the current cell configuration, or the defaults if none is declared.

    Callers read the configuration again for each decision, so that a change takes
    effect with the next decision.

    >>> find_cell_configuration(ResourceCache()).policy
    'waiting'
    """
    item = cache.find("configuration", CELL_CONFIGURATION)
    if item is not None and isinstance(item.resource, Configuration):
        return item.resource
    return Configuration(Metadata(CELL_CONFIGURATION))
