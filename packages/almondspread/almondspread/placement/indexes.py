"""An index of the workers that accept new tasks, by their free capacity."""

from bisect import bisect_left, insort
from collections.abc import Iterator

from almondspread.placement.orders import FreeOrder
from almondspread.placement.values import POLICY_PACKING
from almondspread.resources.capacity import Capacity


class _OrderPair:
    """The workers with the same number of free accelerators, sorted in two ways."""

    __slots__ = ("by_cpu", "by_memory", "count")

    def __init__(self) -> None:
        self.by_cpu = FreeOrder()
        self.by_memory = FreeOrder()
        self.count = 0


class FreeIndex:
    """An index of workers by free processor, memory and accelerators.

    All amounts are integers in the units of ``Capacity``.
    """

    def __init__(self) -> None:
        self._pairs: dict[int, _OrderPair] = {}
        self._accelerator_amounts: list[int] = []
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def add(self, name: str, cpu: int, memory: int, accelerators: int) -> None:
        """Add a worker, which must not be in the index yet."""
        pair = self._pairs.get(accelerators)
        if pair is None:
            pair = self._pairs[accelerators] = _OrderPair()
            insort(self._accelerator_amounts, accelerators)
        pair.by_cpu.add((cpu, memory, name))
        pair.by_memory.add((memory, cpu, name))
        pair.count += 1
        self._count += 1

    def remove(self, name: str, cpu: int, memory: int, accelerators: int) -> None:
        """Remove a worker; the amounts must be those that it was added with."""
        pair = self._pairs[accelerators]
        pair.by_cpu.remove((cpu, memory, name))
        pair.by_memory.remove((memory, cpu, name))
        pair.count -= 1
        self._count -= 1
        if not pair.count:
            del self._pairs[accelerators]
            del self._accelerator_amounts[
                bisect_left(self._accelerator_amounts, accelerators)
            ]

    def iterate_fitting(
        self, size: Capacity, policy: str, processor_first: bool
    ) -> Iterator[str]:
        """Yield the workers that ``size`` fits on, best first.

        Workers with fewer free accelerators come first, which keeps accelerators for
        the tasks that need them. Among workers with the same number, the packing
        policy prefers the least, and the waiting policy the greatest, free amount of
        the scarcer resource: processor if ``processor_first``, else memory.
        """
        amounts = self._accelerator_amounts
        for position in range(bisect_left(amounts, size.accelerators), len(amounts)):
            pair = self._pairs[amounts[position]]
            if processor_first:
                order, first, second = pair.by_cpu, size.cpu_millis, size.memory_mib
            else:
                order, first, second = pair.by_memory, size.memory_mib, size.cpu_millis
            if policy == POLICY_PACKING:
                yield from order.iterate_ascending(first, second)
            else:
                yield from order.iterate_descending(first, second)

    def count_short_of_cpu(self, cpu: int) -> int:
        """Return the number of workers with less free processor than ``cpu``."""
        count = 0
        for pair in self._pairs.values():
            count += pair.by_cpu.count_below(cpu)
        return count

    def count_short_of_memory(self, memory: int) -> int:
        """Return the number of workers with less free memory than ``memory``."""
        count = 0
        for pair in self._pairs.values():
            count += pair.by_memory.count_below(memory)
        return count

    def count_short_of_accelerators(self, accelerators: int) -> int:
        """Return the number of workers with fewer free accelerators than given."""
        count = 0
        for amount, pair in self._pairs.items():
            if amount < accelerators:
                count += pair.count
        return count
