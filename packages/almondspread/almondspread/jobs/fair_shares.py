"""Weighted max-min fair shares of a service by dominant resource.

The dominant share of a workspace is the largest share that it has of any resource of a
service. Where the workspaces want more than there is, their dominant shares rise in
proportion to their weights until each has what it wants or a resource that it uses is
given away (dominant resource fairness, Ghodsi et al., NSDI 2011).
"""

from collections.abc import Iterable

from attrs import define

from almondspread.resources.capacity import Capacity

# Shares that differ by less are equal: they come from sums of fractions.
EPSILON = 1e-9


@define(frozen=True)
class Demand:
    """What a workspace has running and wants to run in a service."""

    workspace: str
    weight: float
    amount: Capacity


@define(eq=False)
class _Claimant:
    """A workspace whose share still rises.

    For each unit of its dominant share it takes ``profile`` of the resources. At the
    level ``full_at`` it has all that it wants.
    """

    workspace: str
    weight: float
    profile: tuple[float, ...]
    full_at: float


def compute_shares(capacity: Capacity, demands: Iterable[Demand]) -> dict[str, float]:
    """Return the fair dominant share of each workspace that may not get all it wants.

    A workspace that is not in the result has no bound: nothing that it uses is short.

    >>> shares = compute_shares(
    ...     Capacity(9000, 18000),
    ...     [
    ...         Demand("a", 1.0, Capacity(9000, 36000)),
    ...         Demand("b", 1.0, Capacity(27000, 9000)),
    ...     ],
    ... )
    >>> {name: round(share, 3) for name, share in shares.items()}
    {'a': 0.667, 'b': 0.667}
    """
    rising = _make_claimants(capacity, demands)
    left = [1.0] * len(_list_amounts(capacity))
    level = 0.0
    shares: dict[str, float] = {}
    full: list[_Claimant] = []
    while rising:
        rates = [
            sum(each.weight * each.profile[resource] for each in rising)
            for resource in range(len(left))
        ]
        until_short = min(
            (max(left[resource], 0.0) / rate)
            for resource, rate in enumerate(rates)
            if rate > 0
        )
        risen = min(until_short, rising[0].full_at - level)
        level += risen
        left = [each - rate * risen for each, rate in zip(left, rates, strict=True)]
        if risen < until_short:
            full.append(rising.pop(0))
            continue
        short = [resource for resource, each in enumerate(left) if each <= EPSILON]
        for each in [*full, *rising]:
            if any(each.profile[resource] > 0 for resource in short):
                shares.setdefault(each.workspace, each.weight * level)
        rising = [each for each in rising if each.workspace not in shares]
    return shares


def _make_claimants(capacity: Capacity, demands: Iterable[Demand]) -> list[_Claimant]:
    """Return the workspaces that want anything, the first to be satisfied first."""
    whole = _list_amounts(capacity)
    found = []
    for demand in demands:
        wanted = []
        for amount, total in zip(_list_amounts(demand.amount), whole, strict=True):
            wanted.append(max(amount, 0) / total if total > 0 else 0.0)
        dominant = max(wanted)
        if dominant <= 0 or demand.weight <= 0:
            continue
        profile = tuple(each / dominant for each in wanted)
        full_at = dominant / demand.weight
        found.append(_Claimant(demand.workspace, demand.weight, profile, full_at))
    found.sort(key=lambda each: each.full_at)
    return found


def _list_amounts(capacity: Capacity) -> tuple[int, ...]:
    """Return the amounts of a capacity, resource by resource."""
    return (capacity.cpu_millis, capacity.memory_mib, capacity.accelerators)


def count_within_share(
    claim: Capacity, used: Capacity, capacity: Capacity, share: float
) -> int:
    """Return how many tasks start until a workspace has at least its share.

    It is 0 where it has that already, so that the last task may exceed the share.

    >>> count_within_share(Capacity(1000, 0), Capacity(1500, 0), Capacity(8000, 0), 0.5)
    3
    """
    if used.share_of(capacity) >= share - EPSILON:
        return 0
    counts = []
    amounts = (_list_amounts(each) for each in (claim, used, capacity))
    for size, taken, total in zip(*amounts, strict=True):
        if size > 0 and total > 0:
            missing = share * total - taken - EPSILON * total
            counts.append(max(1, -int(-missing // size)))
    return min(counts, default=1)
