"""The platform's lagging list of live and leaving instances."""

from typing import Protocol

from attrs import define
from expression import Result

from almondspread.interfaces.table import TableUnavailable
from almondspread.resources.capacity import Capacity


@define(frozen=True)
class Instance:
    """One line of the list.

    ``role`` is ``entry``, ``worker`` or ``minion``; ``address`` is ``IP:port``, for
    an entry that of its peer listener. ``leaving`` is set once the platform means to
    stop the instance. Capacity is that of a worker; service, slots and connections
    are those of a minion.
    """

    name: str
    role: str
    address: str
    failure_domain: str
    rack: str = ""
    leaving: bool = False
    capacity: Capacity = Capacity(0, 0, 0)
    service: str = ""
    slots: int = 0
    connections: int = 0


class InstanceList(Protocol):
    """The call that the list answers."""

    async def list(self) -> Result[list[Instance], TableUnavailable]:
        """Return every instance that the platform counts as live or leaving."""
