"""The platform's object store: whole objects under a name, never changed."""

from typing import Protocol

from expression import Result

from almondspread.interfaces.table import TableUnavailable


class ObjectStore(Protocol):
    """The calls that the object store answers."""

    async def put(self, name: str, data: bytes) -> Result[None, TableUnavailable]:
        """Keep an object."""

    async def get(self, name: str) -> Result[bytes | None, TableUnavailable]:
        """Return an object, ``None`` where there is none of that name."""

    async def delete(self, name: str) -> Result[None, TableUnavailable]:
        """Forget an object."""
