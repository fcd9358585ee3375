"""Team quotas: each team's limit, its committed capacity and its fair share."""

from attrs import define

from almondspread.resources.capacity import Capacity

OVER_PROCESSOR_QUOTA = "over team quota of processor"
OVER_MEMORY_QUOTA = "over team quota of memory"
OVER_ACCELERATOR_QUOTA = "over team quota of accelerators"


class OverQuota(Exception):
    """A task to be committed would exceed the quota of its team."""


@define
class TeamUsage:
    """The quota, weight and committed capacity of one team.

    A team without a quota is limited only by the capacity of the cell.
    """

    quota: Capacity | None = None
    weight: float = 1.0
    cpu_millis: int = 0
    memory_mib: int = 0
    accelerators: int = 0

    def find_exceeded_quota(self, size: Capacity) -> str | None:
        """Return which quota a task of this size would exceed, ``None`` if none."""
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
        """Add a size to the committed capacity, or subtract it if ``sign`` is -1."""
        self.cpu_millis += sign * size.cpu_millis
        self.memory_mib += sign * size.memory_mib
        self.accelerators += sign * size.accelerators


class TeamQuotas:
    """Committed capacity per team, kept within the team quotas.

    ``total`` is the capacity of the cell. A team's share is the largest fraction of any
    resource of the cell that is committed to the team, divided by the team's weight
    (weighted dominant-resource fairness).

    >>> quotas = TeamQuotas(Capacity(10_000, 10_000))
    >>> quotas.set_team("routes", Capacity(4_000, 4_000), weight=2.0)
    >>> quotas.commit("routes", Capacity(3_000, 1_000))
    >>> quotas.compute_share("routes")
    0.15
    >>> quotas.find_exceeded_quota("routes", Capacity(2_000, 1_000))
    'over team quota of processor'
    """

    def __init__(self, total: Capacity) -> None:
        self._total = total
        self._usages: dict[str, TeamUsage] = {}

    def set_total(self, total: Capacity) -> None:
        """Set the capacity of the cell."""
        self._total = total

    def set_team(self, team: str, quota: Capacity | None, weight: float) -> None:
        """Add or change a team; its committed capacity stays, even over the quota."""
        usage = self._get_or_add_usage(team)
        usage.quota = quota
        usage.weight = weight

    def remove_team(self, team: str) -> None:
        """Remove a team's quota and weight; its committed capacity stays counted."""
        if team not in self._usages:
            return
        self.set_team(team, None, 1.0)
        self._remove_unused(team)

    def find_exceeded_quota(self, team: str, size: Capacity) -> str | None:
        """Return which quota a task would exceed, ``None`` if it would exceed none."""
        usage = self._usages.get(team)
        return usage.find_exceeded_quota(size) if usage else None

    def find_insufficient_quota(self, team: str, size: Capacity) -> str | None:
        """Return which quota a task would exceed if it were the team's only task.

        Returns ``None`` if the quota is large enough.
        """
        usage = self._usages.get(team)
        if usage is None:
            return None
        return TeamUsage(usage.quota).find_exceeded_quota(size)

    def commit(self, team: str, size: Capacity) -> None:
        """Commit a new task, raising ``OverQuota`` if it exceeds the team's quota."""
        exceeded_quota = self.find_exceeded_quota(team, size)
        if exceeded_quota is not None:
            raise OverQuota(
                f"team {team!r} is {exceeded_quota}; release a task or raise the quota"
            )
        self.restore(team, size)

    def restore(self, team: str, size: Capacity) -> None:
        """Count a task that is already committed, whatever the quota is now."""
        self._get_or_add_usage(team).add_committed(size, 1)

    def release(self, team: str, size: Capacity) -> None:
        """Subtract a committed task that has ended or left."""
        self._get_or_add_usage(team).add_committed(size, -1)
        self._remove_unused(team)

    def get_usage(self, team: str) -> Capacity:
        """Return the committed capacity of a team."""
        usage = self._usages.get(team, TeamUsage())
        return Capacity(usage.cpu_millis, usage.memory_mib, usage.accelerators)

    def compute_share(self, team: str) -> float:
        """Return a team's weighted dominant share, 0 if it has no committed tasks."""
        usage = self._usages.get(team)
        if usage is None:
            return 0.0
        total = self._total
        share = 0.0
        if total.cpu_millis:
            share = usage.cpu_millis / total.cpu_millis
        if total.memory_mib:
            share = max(share, usage.memory_mib / total.memory_mib)
        if total.accelerators:
            share = max(share, usage.accelerators / total.accelerators)
        return share / usage.weight

    def _get_or_add_usage(self, team: str) -> TeamUsage:
        """Return the usage of a team, adding one without a quota if it has none."""
        usage = self._usages.get(team)
        if usage is None:
            usage = self._usages[team] = TeamUsage()
        return usage

    def _remove_unused(self, team: str) -> None:
        """Remove a team with no quota, default weight and no committed capacity."""
        usage = self._usages[team]
        if usage.quota is None and usage == TeamUsage():
            del self._usages[team]
