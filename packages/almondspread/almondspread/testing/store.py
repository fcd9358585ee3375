"""An object store in memory that can be down."""

from expression import Error, Ok, Result

from almondspread.interfaces.table import TableUnavailable


class MemoryStore:
    """Keeps objects in memory; while ``down`` is set every call fails."""

    def __init__(self) -> None:
        self.objects: dict[str, bytes] = {}
        self.down = False

    async def put(self, name: str, data: bytes) -> Result[None, TableUnavailable]:
        """Keep an object."""
        if self.down:
            return Error(TableUnavailable("the object store is down"))
        self.objects[name] = data
        return Ok(None)

    async def get(self, name: str) -> Result[bytes | None, TableUnavailable]:
        """Return an object, ``None`` where there is none of that name."""
        if self.down:
            return Error(TableUnavailable("the object store is down"))
        return Ok(self.objects.get(name))

    async def delete(self, name: str) -> Result[None, TableUnavailable]:
        """Forget an object."""
        if self.down:
            return Error(TableUnavailable("the object store is down"))
        self.objects.pop(name, None)
        return Ok(None)
