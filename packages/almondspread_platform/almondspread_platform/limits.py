"""Bounds on how many calls are open at once, overall and to one address."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from attrs import define


@define
class _Gate:
    """The permits of one address and how many calls hold or await one."""

    permits: asyncio.Semaphore
    users: int = 0


class ConnectionLimits:
    """Hands out permits to call an address; the longest waiting call goes first.

    An address that nobody calls takes no memory, so that the limits can outlive
    any number of instances.
    """

    def __init__(self, per_address: int, overall: int) -> None:
        self._per_address = per_address
        self._overall = asyncio.Semaphore(overall)
        self._gates: dict[str, _Gate] = {}

    @asynccontextmanager
    async def hold_permit(self, address: str) -> AsyncIterator[None]:
        """Wait for a permit to call ``address`` and hold it for the block."""
        gate = self._gates.get(address)
        if gate is None:
            gate = _Gate(asyncio.Semaphore(self._per_address))
            self._gates[address] = gate
        gate.users += 1
        try:
            async with gate.permits, self._overall:
                yield
        finally:
            gate.users -= 1
            if gate.users == 0:
                del self._gates[address]
