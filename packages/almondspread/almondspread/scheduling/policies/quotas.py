"""What each team may hold, what it holds, and its share of the cell."""

from attrs import define

from almondspread.resources.capacity import Capacity

OVER_PROCESSOR_QUOTA = "over team quota of processor"
OVER_MEMORY_QUOTA = "over team quota of memory"
OVER_ACCELERATOR_QUOTA = "over team quota of accelerators"


class OverQuota(Exception):
    """A commitment would exceed the quota of its team."""


@define
class TeamUsage:
    """One team's quota, weight and committed amounts.

    A team without a quota is limited only by the cell.
    """

    quota: Capacity | None = None
    weight: float = 1.0
    cpu_millis: int = 0
    memory_mib: int = 0
    accelerators: int = 0

    def find_exceeded_quota(self, size: Capacity) -> str | None:
        """Return which quota a task of this size would exceed."""
        quota = self.quota
        if quota is None:
            return None
        if self.cpu_millis + size.cpu_millis > quota.cpu_millis:
            return OVER_PROCESSOR_QUOTA
        if self.memory_mib + size.memory_mib > quota.memory_mib:
            return OVER_MEMORY_QUOTA
        if self.accelerators + size.accelerators > quota.accelerators:
            return OVER_ACCELERATOR_QUOTA
        return None

    def add_committed(self, size: Capacity, sign: int) -> None:
        """Add ``sign`` times a size to what is committed."""
        self.cpu_millis += sign * size.cpu_millis
        self.memory_mib += sign * size.memory_mib
        self.accelerators += sign * size.accelerators


class TeamQuotas:
    """The aggregate that keeps teams within their quotas.

    ``total`` is what the cell has; a team's share is its largest committed part of
    any resource, divided by its weight (weighted dominant-resource fairness).

    >>> ledger = TeamQuotas(Capacity(10_000, 10_000))
    >>> ledger.set_team("routes", Capacity(4_000, 4_000), weight=2.0)
    >>> ledger.commit("routes", Capacity(3_000, 1_000))
    >>> ledger.compute_share("routes")
    0.15
    >>> ledger.find_exceeded_quota("routes", Capacity(2_000, 1_000))
    'over team quota of processor'
    """

    def __init__(self, total: Capacity) -> None:
        self._total = total
        self._usages: dict[str, TeamUsage] = {}

    def set_total(self, total: Capacity) -> None:
        """Note a change of what the cell has."""
        self._total = total

    def set_team(self, team: str, quota: Capacity | None, weight: float) -> None:
        """Declare a team or change it; what it holds stays, also over the quota."""
        use = self._get_or_add_usage(team)
        use.quota = quota
        use.weight = weight

    def remove_team(self, team: str) -> None:
        """Take a team's quota away; what it holds stays counted."""
        if team not in self._usages:
            return
        self.set_team(team, None, 1.0)
        self._remove_unused(team)

    def find_exceeded_quota(self, team: str, size: Capacity) -> str | None:
        """Return which quota a task would exceed, ``None`` when it would not."""
        use = self._usages.get(team)
        return use.find_exceeded_quota(size) if use else None

    def find_insufficient_quota(self, team: str, size: Capacity) -> str | None:
        """Return which quota a task would exceed even if the team held nothing."""
        use = self._usages.get(team)
        if use is None:
            return None
        return TeamUsage(use.quota).find_exceeded_quota(size)

    def commit(self, team: str, size: Capacity) -> None:
        """Count a new task, which must be within the quota."""
        shortage = self.find_exceeded_quota(team, size)
        if shortage is not None:
            raise OverQuota(
                f"team {team!r} is {shortage}; release a task or raise the quota"
            )
        self.restore(team, size)

    def restore(self, team: str, size: Capacity) -> None:
        """Count a task that is already committed, whatever the quota is by now."""
        self._get_or_add_usage(team).add_committed(size, 1)

    def release(self, team: str, size: Capacity) -> None:
        """Count a committed task no more."""
        self._get_or_add_usage(team).add_committed(size, -1)
        self._remove_unused(team)

    def get_usage(self, team: str) -> Capacity:
        """Return what a team holds."""
        use = self._usages.get(team, TeamUsage())
        return Capacity(use.cpu_millis, use.memory_mib, use.accelerators)

    def compute_share(self, team: str) -> float:
        """Return a team's weighted dominant share, 0 for one that holds nothing."""
        use = self._usages.get(team)
        if use is None:
            return 0.0
        total = self._total
        share = 0.0
        if total.cpu_millis:
            share = use.cpu_millis / total.cpu_millis
        if total.memory_mib:
            share = max(share, use.memory_mib / total.memory_mib)
        if total.accelerators:
            share = max(share, use.accelerators / total.accelerators)
        return share / use.weight

    def _get_or_add_usage(self, team: str) -> TeamUsage:
        """Return a team's record, a new one without quota where it has none."""
        use = self._usages.get(team)
        if use is None:
            use = self._usages[team] = TeamUsage()
        return use

    def _remove_unused(self, team: str) -> None:
        """Drop the record of a team that has no quota and holds nothing."""
        use = self._usages[team]
        if use.quota is None and use == TeamUsage():
            del self._usages[team]
