"""The usable upstreams of one service, in the order in which a pass looks for room."""

from bisect import bisect_right
from collections.abc import Collection, Iterable, Iterator

from attrs import define, field

from almondspread.jobs.upstreams import Upstream
from almondspread.resources.capacity import Capacity


@define(eq=False)
class ServiceUpstreams:
    """The upstreams of a service to which a scheduling pass may bind runs.

    ``by_free`` has them by the processor time that was free when the pass began, the
    most first. During a pass no upstream gains room, so that a search for room ends at
    the first upstream that had too little.
    """

    by_free: list[tuple[int, Upstream]] = field(factory=list)
    by_name: dict[str, Upstream] = field(factory=dict)

    def __len__(self) -> int:
        return len(self.by_free)

    def extend(self, upstreams: Iterable[Upstream]) -> "ServiceUpstreams":
        """Return these upstreams with others of the same service."""
        extended = ServiceUpstreams()
        for upstream in (*self.by_name.values(), *upstreams):
            extended.add(upstream)
        extended.sort()
        return extended

    def add(self, upstream: Upstream) -> None:
        """Add an upstream; ``sort`` must be called before any is looked for."""
        self.by_free.append((upstream.free.cpu_millis, upstream))
        self.by_name[upstream.name] = upstream

    def sort(self) -> None:
        """Put the upstreams in the order in which they are searched."""
        self.by_free.sort(key=lambda row: -row[0])

    def list_with_room(self, claim: Capacity) -> Iterator[Upstream]:
        """Return the upstreams that have room for a task, the most free first."""
        for free_millis, upstream in self.by_free:
            if free_millis < claim.cpu_millis:
                return
            if claim.fits_in(upstream.free):
                yield upstream

    def list_named(self, names: Iterable[str]) -> list[Upstream]:
        """Return the upstreams among those named."""
        return [self.by_name[name] for name in names if name in self.by_name]

    def list_named_with_room(
        self, names: Collection[str], claim: Capacity
    ) -> list[Upstream]:
        """Return those of the named upstreams that have room for a task.

        In a full cell fewer upstreams have room than are named, and the other way round
        in an idle one; the shorter list is searched.
        """
        count = bisect_right(self.by_free, -claim.cpu_millis, key=lambda row: -row[0])
        if count < len(names):
            named = set(names)
            return [each for each in self.list_with_room(claim) if each.name in named]
        return [each for each in self.list_named(names) if claim.fits_in(each.free)]


def group_by_service(upstreams: Iterable[Upstream]) -> dict[str, ServiceUpstreams]:
    """Return usable upstreams by the name of their service."""
    services: dict[str, ServiceUpstreams] = {}
    for upstream in upstreams:
        service = services.setdefault(upstream.entry.service, ServiceUpstreams())
        service.add(upstream)
    for service in services.values():
        service.sort()
    return services
