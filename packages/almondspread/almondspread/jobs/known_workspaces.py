"""The workspaces of the newest configuration, and those that it no longer has."""

from attrs import define, field

from almondspread.jobs.configuration import Configuration
from almondspread.jobs.workspaces import Workspace


@define(eq=False)
class KnownWorkspaces:
    """The workspaces as the configurations that this leader has seen last had them.

    The jobs of one that is removed go on with its last limit and weight. The cell
    ``has_any`` once a configuration has had workspaces.
    """

    has_any: bool = False
    _by_name: dict[str, Workspace] = field(factory=dict)

    def configure(self, configuration: Configuration) -> None:
        """Apply the workspaces of a configuration."""
        if configuration.workspaces is None:
            return
        self.has_any = True
        self._by_name.update(configuration.workspaces)

    def find(self, name: str) -> Workspace | None:
        """Return a workspace, ``None`` if no configuration had it."""
        return self._by_name.get(name)
