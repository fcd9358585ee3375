"""The configuration of the cell that is in force at an instance."""

from almondspread.changes.cache import ResourceCache
from almondspread.resources import Configuration, Metadata

CELL_CONFIGURATION = "cell"


def find_cell_configuration(cache: ResourceCache) -> Configuration:
    """Return the configuration in force, with defaults where none was applied.

    It is read again for each decision, so that a change holds from the next one on.

    >>> find_cell_configuration(ResourceCache()).policy
    'waiting'
    """
    item = cache.find("configuration", CELL_CONFIGURATION)
    if item is not None and isinstance(item.resource, Configuration):
        return item.resource
    return Configuration(Metadata(CELL_CONFIGURATION))
