"""Estimate of how long a job that is accepted now would wait for capacity.

A new job runs only when the work that goes before it leaves room, so that it waits
for as long as this work uses up a resource. Where tasks need many accelerators, these
are taken long before the processors are.
"""

from collections.abc import Iterable
from datetime import timedelta

from attrs import define

from almondspread.jobs.configuration import Configuration
from almondspread.jobs.demand import (
    ACCELERATORS,
    MEMORY,
    NOT_BUSY,
    PROCESSOR,
    BusyTime,
    Demand,
    ResourceRates,
)
from almondspread.jobs.expected_work import CLASS_BOUNDS, ExpectedWork
from almondspread.jobs.upstreams import Upstream
from almondspread.resources.capacity import Capacity

# A service of which less is in use is sent to nobody: each instance may fill it.
TOLD_PART = 0.5
# Waits of two classes that differ less are sent as one, and shorter ones not at all.
MIN_DIFFERENCE_SECONDS = 0.05
# Waiting lasting tasks may not find room, so that they never count for all of it.
MIN_CAPACITY_PART = 0.05


@define(frozen=True)
class ServiceWait:
    """How many seconds a job would wait whose queue has this service and priority.

    Waits depend on nothing else but the ``size_class``, while there may be thousands of
    queues. A class that is not named waits like the next lower one that is, and not at
    all if there is none. The wait begins ``starts_in`` some seconds, after which only
    longer jobs are under way. With ``accelerated``, jobs that need accelerators wait
    so long for these, or as long as all other jobs if that is more.
    """

    service: str
    priority: int
    seconds: float
    size_class: int = 0
    starts_in: float = 0.0
    accelerated: bool = False


@define(frozen=True)
class ServiceRoom:
    """The capacity of a service for tasks that end, and how much of it is not claimed.

    Amounts are in thousandths of a core, MiB and accelerators. After ``late_seconds``,
    also the work is done that is placed after the first group but still has value.
    """

    service: str
    cpu_millis: float
    memory_mib: float
    accelerators: float = 0.0
    free_cpu_millis: float = 0.0
    free_memory_mib: float = 0.0
    free_accelerators: float = 0.0
    late_seconds: float = 0.0


@define(frozen=True)
class ServiceSize:
    """The largest amount of each resource that any known upstream of a service has."""

    service: str
    cpu_millis: int
    memory_mib: int
    accelerators: int = 0


@define(frozen=True)
class Backlog:
    """The waits and the room of all services that are not nearly idle."""

    waits: tuple[ServiceWait, ...] = ()
    rooms: tuple[ServiceRoom, ...] = ()


# When processor or memory is all used, and when the accelerators are.
BusyTimes = tuple[BusyTime, BusyTime]


def _find_busy_times(demand: Demand, capacity: ResourceRates) -> BusyTimes:
    """Return when the resources are all used by a demand."""
    processor = demand.find_busy_time(PROCESSOR, capacity.processor)
    memory = demand.find_busy_time(MEMORY, capacity.memory)
    plain = max((processor, memory), key=lambda busy: busy.seconds)
    return plain, demand.find_busy_time(ACCELERATORS, capacity.accelerators)


def is_counted(upstream: Upstream, now: timedelta) -> bool:
    """Return whether the capacity of an upstream counts.

    One that has not reported to a new leader yet does: otherwise every change of the
    leader would look like an overload.
    """
    if upstream.is_usable(now):
        return True
    if upstream.has_reported or not upstream.listed:
        return False
    return upstream.lapse_at is None and not upstream.is_leaving


def sum_capacities(
    upstreams: Iterable[Upstream], works: Iterable[ExpectedWork], now: timedelta
) -> dict[str, ResourceRates]:
    """Return the capacity of each service without what lasting tasks hold or need."""
    whole: dict[str, list[float]] = {}
    for upstream in upstreams:
        if not is_counted(upstream, now):
            continue
        amounts = whole.setdefault(upstream.entry.service, [0.0, 0.0, 0.0])
        capacity = upstream.entry.capacity
        amounts[0] += capacity.cpu_millis
        amounts[1] += capacity.memory_mib
        amounts[2] += capacity.accelerators
    sums = {service: list(amounts) for service, amounts in whole.items()}
    for work in works:
        if not work.is_lasting or work.service not in sums:
            continue
        amounts = sums[work.service]
        amounts[0] -= work.rates.processor
        amounts[1] -= work.rates.memory
        amounts[2] -= work.rates.accelerators
    found: dict[str, ResourceRates] = {}
    for service, amounts in sums.items():
        least = [amount * MIN_CAPACITY_PART for amount in whole[service]]
        found[service] = ResourceRates(*map(max, amounts, least))
    return found


def list_sizes(upstreams: Iterable[Upstream]) -> tuple[ServiceSize, ...]:
    """Return the sizes of all services, also by upstreams that cannot be used now."""
    largest: dict[str, Capacity] = {}
    for upstream in upstreams:
        entry = upstream.entry
        known = largest.get(entry.service, entry.capacity)
        largest[entry.service] = known.take_larger(entry.capacity)
    return tuple(
        ServiceSize(name, size.cpu_millis, size.memory_mib, size.accelerators)
        for name, size in largest.items()
    )


def estimate_backlog(
    configuration: Configuration,
    works: list[ExpectedWork],
    capacities: dict[str, ResourceRates],
) -> Backlog:
    """Return how long new jobs wait, by service, priority and size class.

    Each service's work is added up once, in the order in which it is placed: what runs,
    then by priority and class, then what is late. All counted upstreams of the service
    share it. Services without capacity are left out.
    """
    priorities: dict[str, set[int]] = {}
    for queue in configuration.queues.values():
        priorities.setdefault(queue.service, set()).add(queue.priority)
    ended: dict[str, list[ExpectedWork]] = {}
    for work in works:
        if not work.is_lasting:
            ended.setdefault(work.service, []).append(work)
    waits: list[ServiceWait] = []
    rooms: list[ServiceRoom] = []
    for service, capacity in capacities.items():
        own = ended.get(service, [])
        if not own or not capacity.processor:
            continue
        demand = Demand()
        waits.extend(
            _estimate_waits(
                service, sorted(priorities.get(service, ())), own, capacity, demand
            )
        )
        room = _measure_room(service, own, capacity, demand)
        if room is not None:
            rooms.append(room)
    # An instance of an earlier release keeps the last wait of a service and priority,
    # and should rather admit too many jobs.
    return Backlog(tuple(reversed(waits)), tuple(rooms))


def _estimate_waits(
    service: str,
    priorities: list[int],
    works: list[ExpectedWork],
    capacity: ResourceRates,
    demand: Demand,
) -> list[ServiceWait]:
    """Return the waits of one service, and add its work that is not late."""
    by_place: dict[tuple[int, int], list[ExpectedWork]] = {}
    for work in works:
        if work.is_running:
            demand.add(work.starts_in, work.seconds, work.rates)
        elif not work.is_late:
            by_place.setdefault((work.priority, work.size_class), []).append(work)
    places = [
        (priority, size_class)
        for priority in sorted({*priorities, *(place[0] for place in by_place)})
        for size_class in range(len(CLASS_BOUNDS) + 1)
    ]
    waits: list[ServiceWait] = []
    busy_times = _find_busy_times(demand, capacity)
    told: dict[tuple[int, bool], BusyTime] = {}
    for place in places:
        if place in by_place:
            for work in by_place[place]:
                demand.add(work.starts_in, work.seconds, work.rates)
            busy_times = _find_busy_times(demand, capacity)
        for accelerated, busy in enumerate(busy_times):
            key = (place[0], bool(accelerated))
            last = told.get(key, NOT_BUSY)
            if place[0] not in priorities or not _differs(busy, last):
                continue
            told[key] = busy
            waits.append(
                ServiceWait(
                    service,
                    place[0],
                    round(busy.seconds, 2),
                    place[1],
                    round(busy.starts_in, 2),
                    bool(accelerated),
                )
            )
    return waits


def _differs(busy: BusyTime, other: BusyTime) -> bool:
    """Return whether a busy time is worth sending beside another."""
    return (
        abs(busy.seconds - other.seconds) > MIN_DIFFERENCE_SECONDS
        or abs(busy.starts_in - other.starts_in) > MIN_DIFFERENCE_SECONDS
    )


def _measure_room(
    service: str,
    works: list[ExpectedWork],
    capacity: ResourceRates,
    demand: Demand,
) -> ServiceRoom | None:
    """Add a service's late work; return its room, ``None`` if it is nearly idle."""
    free = ResourceRates(
        max(0.0, capacity.processor - demand.present[PROCESSOR]),
        max(0.0, capacity.memory - demand.present[MEMORY]),
        max(0.0, capacity.accelerators - demand.present[ACCELERATORS]),
    )
    parts = [
        (free.processor, capacity.processor),
        (free.memory, capacity.memory),
        (free.accelerators, capacity.accelerators),
    ]
    has_late = False
    for work in works:
        if work.is_late:
            demand.add(work.starts_in, work.seconds, work.rates)
            has_late = True
    is_idle = all(left >= (1.0 - TOLD_PART) * whole for left, whole in parts)
    if is_idle and not has_late:
        return None
    plain, accelerated = _find_busy_times(demand, capacity)
    return ServiceRoom(
        service,
        round(capacity.processor),
        round(capacity.memory),
        round(capacity.accelerators),
        round(free.processor),
        round(free.memory),
        round(free.accelerators),
        round(max(plain.seconds, accelerated.seconds), 2),
    )
