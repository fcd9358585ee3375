"""Which workspaces the leader tells the instances to be beyond their rate."""

from collections.abc import Mapping
from datetime import timedelta

from attrs import define, field

from almondspread.jobs.workspace_rates import WorkspaceRates
from almondspread.jobs.workspaces import Workspace

# While instances refuse the surplus of a workspace, the leader sees none of it. It goes
# on to tell of the workspace for this long, so that it does not flap.
EXCEEDED_TIME = timedelta(seconds=3)
# More names than this would make the message large; those seen last are told.
MAX_TOLD = 64


@define(eq=False)
class ExceededRates:
    """The workspaces of which a surplus job was accepted lately."""

    _rates: WorkspaceRates = field(factory=WorkspaceRates)
    _seen_at: dict[str, timedelta] = field(factory=dict)

    def record(self, workspace: Workspace, accepted: timedelta) -> None:
        """Record a job of a workspace that was accepted at a time."""
        if self._rates.record(workspace.name, workspace.weight, accepted):
            self._seen_at.pop(workspace.name, None)
            self._seen_at[workspace.name] = accepted

    def list_exceeded(
        self, workspaces: Mapping[str, Workspace] | None, now: timedelta
    ) -> tuple[str, ...]:
        """Return the workspaces that are beyond their rate; without any, none."""
        for name, seen_at in list(self._seen_at.items()):
            if now - seen_at > EXCEEDED_TIME or name not in (workspaces or {}):
                del self._seen_at[name]
        return tuple(self._seen_at)[-MAX_TOLD:]
