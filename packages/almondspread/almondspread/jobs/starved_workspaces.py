"""Workspaces that have work and room in their limit, but get no task started."""

from collections.abc import Iterable
from datetime import timedelta

from attrs import define, field

from almondspread.jobs.cell_state import CellState
from almondspread.jobs.workspace_limits import WorkspaceLimits
from almondspread.jobs.workspace_loads import find_limit_share

# A workspace is to get a task started within 3 s. Tasks of other workspaces that end in
# the rest of that time make the room.
STARVATION_TIME = timedelta(milliseconds=1_500)
# Only a workspace that uses less than this part of its limit is starved.
LOW_SHARE = 0.5


@define(eq=False)
class StarvedWorkspaces:
    """Remembers since when workspaces wait without the start of a task."""

    cell_state: CellState
    limits: WorkspaceLimits
    _since: dict[str, timedelta] = field(factory=dict)

    def update(self, waiting: Iterable[str], now: timedelta) -> None:
        """Set which workspaces have tasks waiting that their limits let start."""
        names = set(waiting) - {""}
        self._since = {name: self._since.get(name, now) for name in names}

    def record_start(self, workspace: str, now: timedelta) -> None:
        """Record that a task of a workspace starts."""
        if workspace in self._since:
            self._since[workspace] = now

    def is_starved(self, workspace: str, now: timedelta) -> bool:
        """Return whether the next task of a workspace is to be placed first.

        A workspace without a limit, or whose limit is not known, uses no part of it.
        """
        since = self._since.get(workspace)
        if since is None or now - since < STARVATION_TIME:
            return False
        used = self.cell_state.usage.find(workspace)
        limit = self.limits.find_limit(workspace)
        return find_limit_share(used, limit) < LOW_SHARE
