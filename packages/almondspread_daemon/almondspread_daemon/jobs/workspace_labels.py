"""The names of workspaces as labels of metrics, of which there is a bounded number."""

# Each label is a time series that the operators' monitoring keeps.
MAX_LABELLED_WORKSPACES = 64
OTHER_WORKSPACES = "other"


class WorkspaceLabels:
    """Chooses which workspaces metrics name; the first ones that are counted.

    >>> labels = WorkspaceLabels(limit=1)
    >>> labels.choose("w-1"), labels.choose("w-2"), labels.choose("w-1")
    ('w-1', 'other', 'w-1')
    """

    def __init__(self, limit: int = MAX_LABELLED_WORKSPACES) -> None:
        self._limit = limit
        self._named: set[str] = set()

    def choose(self, workspace: str) -> str:
        """Return the label of a workspace: its name, or that of all others."""
        if workspace in self._named:
            return workspace
        if len(self._named) >= self._limit:
            return OTHER_WORKSPACES
        self._named.add(workspace)
        return workspace
