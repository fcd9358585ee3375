"""An index of the workers that take new tasks, by what they have free."""

from bisect import bisect_left, insort
from collections.abc import Iterator

from almondspread.placement.orders import FreeOrder
from almondspread.placement.values import POLICY_PACKING
from almondspread.resources.capacity import Capacity


class _OrderPair:
    """The workers with one number of free accelerators, in two orders."""

    __slots__ = ("by_cpu", "by_memory", "count")

    def __init__(self) -> None:
        self.by_cpu = FreeOrder()
        self.by_memory = FreeOrder()
        self.count = 0


class FreeIndex:
    """Finds workers by free processor, memory and accelerators.

    Amounts are plain integers in the units of ``Capacity``.
    """

    def __init__(self) -> None:
        self._pairs: dict[int, _OrderPair] = {}
        self._accelerator_amounts: list[int] = []
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def add(self, name: str, cpu: int, memory: int, accelerators: int) -> None:
        """Add a worker that is not in the index."""
        pair = self._pairs.get(accelerators)
        if pair is None:
            pair = self._pairs[accelerators] = _OrderPair()
            insort(self._accelerator_amounts, accelerators)
        pair.by_cpu.add((cpu, memory, name))
        pair.by_memory.add((memory, cpu, name))
        pair.count += 1
        self._count += 1

    def remove(self, name: str, cpu: int, memory: int, accelerators: int) -> None:
        """Remove a worker, given the amounts that it was added with."""
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
        """Yield the workers with room for ``size``, best first.

        The fewest free accelerators that suffice come first. Among equals the
        packing policy takes the least free amount of the scarcer of processor and
        memory, the waiting policy the greatest.
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
        """Return how many workers have less processor free."""
        count = 0
        for pair in self._pairs.values():
            count += pair.by_cpu.count_below(cpu)
        return count

    def count_short_of_memory(self, memory: int) -> int:
        """Return how many workers have less memory free."""
        count = 0
        for pair in self._pairs.values():
            count += pair.by_memory.count_below(memory)
        return count

    def count_short_of_accelerators(self, accelerators: int) -> int:
        """Return how many workers have fewer accelerators free."""
        count = 0
        for amount, pair in self._pairs.items():
            if amount < accelerators:
                count += pair.count
        return count
