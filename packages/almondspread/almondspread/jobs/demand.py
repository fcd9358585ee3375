"""How the resources of a service will be used over time, and when one is all used."""

from attrs import define, field

# Below each bound in seconds, times lie on a grid with the resolution beside it, which
# bounds the time that a sweep takes for any number of tasks.
RESOLUTIONS = ((2.0, 0.125), (8.0, 0.5), (32.0, 2.0), (128.0, 8.0), (608.0, 40.0))
HORIZON = 608.0
# Demand that fills a resource up to this part of it leaves no room for further tasks.
FULL_PART = 0.999
# The places of the resources in lists of amounts.
PROCESSOR, MEMORY, ACCELERATORS = range(3)


@define(frozen=True)
class BusyTime:
    """When a resource is all used: first ``starts_in`` some seconds, for ``seconds``.

    Later periods in which it is all used add to ``seconds``.
    """

    starts_in: float = 0.0
    seconds: float = 0.0

    def find_delay(self, path: float) -> float:
        """Return how long work with a critical path of some seconds is delayed.

        >>> BusyTime(2.0, 5.0).find_delay(1.0), BusyTime(2.0, 5.0).find_delay(3.0)
        (0.0, 5.0)
        """
        return self.seconds if self.starts_in < max(path, 1e-9) else 0.0


NOT_BUSY = BusyTime()


def split_time(seconds: float) -> tuple[float, float, float]:
    """Return the times of the grid around a time, and the part of the later one.

    The parts make up the time again: an amount that ends at both, in these parts, is
    held as long in all as if it ended in between.

    >>> split_time(0.1875), split_time(4.0), split_time(10_000.0)
    ((0.125, 0.25, 0.5), (4.0, 4.5, 0.0), (608.0, 608.0, 0.0))
    """
    for bound, resolution in RESOLUTIONS:
        if seconds < bound:
            earlier = seconds // resolution * resolution
            return earlier, earlier + resolution, (seconds - earlier) / resolution
    return HORIZON, HORIZON, 0.0


@define(frozen=True)
class ResourceRates:
    """Amounts of each resource that are held at the same time.

    Units are thousandths of a core, MiB and accelerators.
    """

    processor: float = 0.0
    memory: float = 0.0
    accelerators: float = 0.0


@define(eq=False)
class Demand:
    """The demand for the resources of a service over time, if nothing had to wait.

    ``present`` sums what is held from the beginning on.

    >>> demand = Demand()
    >>> demand.add(0.0, 4.0, ResourceRates(processor=5.0))
    >>> demand.find_busy_time(PROCESSOR, 1.0)
    BusyTime(starts_in=0.0, seconds=20.0)
    """

    present: list[float] = field(factory=lambda: [0.0, 0.0, 0.0])
    _changes: dict[float, list[float]] = field(factory=dict)

    def add(self, starts_in: float, seconds: float, rates: ResourceRates) -> None:
        """Add amounts that are held for some seconds from a time on."""
        amounts = (rates.processor, rates.memory, rates.accelerators)
        self._change(starts_in, amounts, 1.0)
        self._change(starts_in + seconds, amounts, -1.0)
        if starts_in <= 0.0:
            _add(self.present, amounts, 1.0)

    def _change(
        self, at: float, amounts: tuple[float, float, float], sign: float
    ) -> None:
        """Raise or lower the demand around a time."""
        earlier, later, part = split_time(at)
        _add(self._find_changes(earlier), amounts, sign * (1.0 - part))
        if part:
            _add(self._find_changes(later), amounts, sign * part)

    def _find_changes(self, at: float) -> list[float]:
        """Return the changes at a time of the grid."""
        found = self._changes.get(at)
        if found is None:
            found = self._changes[at] = [0.0, 0.0, 0.0]
        return found

    def find_busy_time(self, resource: int, capacity: float) -> BusyTime:
        """Return when no room is left for work that everything here goes before."""
        full = capacity * FULL_PART
        if full <= 0.0:
            return NOT_BUSY
        backlog = rate = at = busy = 0.0
        starts_in: float | None = None
        for time in sorted(self._changes):
            length = time - at
            if length > 0.0 and (backlog > 0.0 or rate >= full):
                starts_in = at if starts_in is None else starts_in
                left = backlog + (rate - capacity) * length
                if rate >= full or left > 0.0:
                    busy += length
                else:
                    busy += backlog / (capacity - rate)
                backlog = max(0.0, left)
            at = time
            rate += self._changes[time][resource]
        busy += backlog / capacity
        return BusyTime(starts_in or 0.0, busy)


def _add(sums: list[float], amounts: tuple[float, float, float], weight: float) -> None:
    """Add amounts, times a weight, to the sums of all resources."""
    sums[PROCESSOR] += amounts[PROCESSOR] * weight
    sums[MEMORY] += amounts[MEMORY] * weight
    sums[ACCELERATORS] += amounts[ACCELERATORS] * weight
