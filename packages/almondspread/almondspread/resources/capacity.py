"""Amounts of processor, memory and accelerators."""

from attrs import define

# The count of an empty amount, which any capacity has room for.
MAX_COUNT = 1_000_000


@define(frozen=True)
class Capacity:
    """An amount of each resource of a worker.

    Processor is in thousandths of a core, memory in MiB, accelerators in whole units.

    >>> Capacity(2000, 512, 1).plus(Capacity(500, 0, 0))
    Capacity(cpu_millis=2500, memory_mib=512, accelerators=1)
    """

    cpu_millis: int
    memory_mib: int
    accelerators: int = 0

    def plus(self, other: "Capacity") -> "Capacity":
        """Return the sum of two amounts."""
        return Capacity(
            self.cpu_millis + other.cpu_millis,
            self.memory_mib + other.memory_mib,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "Capacity") -> "Capacity":
        """Return what remains of this amount without the other."""
        return Capacity(
            self.cpu_millis - other.cpu_millis,
            self.memory_mib - other.memory_mib,
            self.accelerators - other.accelerators,
        )

    def times(self, count: int) -> "Capacity":
        """Return ``count`` times this amount."""
        return Capacity(
            self.cpu_millis * count,
            self.memory_mib * count,
            self.accelerators * count,
        )

    def take_smaller(self, other: "Capacity") -> "Capacity":
        """Return the smaller of two amounts of each resource."""
        return Capacity(
            min(self.cpu_millis, other.cpu_millis),
            min(self.memory_mib, other.memory_mib),
            min(self.accelerators, other.accelerators),
        )

    def take_larger(self, other: "Capacity") -> "Capacity":
        """Return the larger of two amounts of each resource."""
        return Capacity(
            max(self.cpu_millis, other.cpu_millis),
            max(self.memory_mib, other.memory_mib),
            max(self.accelerators, other.accelerators),
        )

    def count_in(self, other: "Capacity") -> int:
        """Return how many times this amount fits in the other, at most ``MAX_COUNT``.

        >>> Capacity(1000, 100).count_in(Capacity(2500, 900))
        2
        """
        counts = [MAX_COUNT]
        if self.cpu_millis:
            counts.append(other.cpu_millis // self.cpu_millis)
        if self.memory_mib:
            counts.append(other.memory_mib // self.memory_mib)
        if self.accelerators:
            counts.append(other.accelerators // self.accelerators)
        return min(counts)

    def share_of(self, whole: "Capacity") -> float:
        """Return the largest share that this amount has of any resource of the whole.

        >>> Capacity(1000, 100, 4).share_of(Capacity(64000, 1000, 8))
        0.5
        """
        return max(
            self.cpu_millis / max(whole.cpu_millis, 1),
            self.memory_mib / max(whole.memory_mib, 1),
            self.accelerators / max(whole.accelerators, 1),
        )

    def fits_in(self, other: "Capacity") -> bool:
        """Tell whether no resource of this amount is over that of the other."""
        return (
            self.cpu_millis <= other.cpu_millis
            and self.memory_mib <= other.memory_mib
            and self.accelerators <= other.accelerators
        )
