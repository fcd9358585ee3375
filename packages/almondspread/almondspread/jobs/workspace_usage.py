"""What each workspace has running, by the runs that are bound to upstreams."""

from attrs import define, field

from almondspread.resources.capacity import Capacity

NOTHING = Capacity(0, 0, 0)


@define(eq=False)
class ServiceUsage:
    """What the bound runs of each workspace reserve of the upstreams of each service.

    Runs without a workspace count under the empty name.
    """

    _amounts: dict[tuple[str, str], Capacity] = field(factory=dict)

    def add(self, service: str, workspace: str, claim: Capacity) -> None:
        """Add a run."""
        self._amounts[service, workspace] = self.find(service, workspace).plus(claim)

    def remove(self, service: str, workspace: str, claim: Capacity) -> None:
        """Remove a run that ``add`` has counted."""
        left = self.find(service, workspace).minus(claim)
        if left == NOTHING:
            self._amounts.pop((service, workspace), None)
        else:
            self._amounts[service, workspace] = left

    def find(self, service: str, workspace: str) -> Capacity:
        """Return what a workspace reserves of a service."""
        return self._amounts.get((service, workspace), NOTHING)

    def list_users(self) -> list[tuple[str, str]]:
        """Return the services and the workspaces that reserve anything of them."""
        return list(self._amounts)


@define(eq=False)
class WorkspaceUsage:
    """The sum of the sizes of the bound runs of each workspace.

    A run counts until it is known to have ended, so that the sums are upper bounds.

    >>> usage = WorkspaceUsage()
    >>> usage.add("w", Capacity(500, 256))
    >>> usage.find("w").cpu_millis, usage.find("other").cpu_millis
    (500, 0)
    """

    _amounts: dict[str, Capacity] = field(factory=dict)

    def add(self, workspace: str, size: Capacity) -> None:
        """Add a run of a workspace; runs without a workspace are not counted."""
        if workspace:
            self._amounts[workspace] = self.find(workspace).plus(size)

    def remove(self, workspace: str, size: Capacity) -> None:
        """Remove a run that ``add`` has counted."""
        if not workspace:
            return
        left = self.find(workspace).minus(size)
        if left == NOTHING:
            self._amounts.pop(workspace, None)
        else:
            self._amounts[workspace] = left

    def find(self, workspace: str) -> Capacity:
        """Return what a workspace has running."""
        return self._amounts.get(workspace, NOTHING)

    def list_workspaces(self) -> list[str]:
        """Return the workspaces that have anything running."""
        return list(self._amounts)
