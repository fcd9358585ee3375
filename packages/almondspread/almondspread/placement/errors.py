"""Errors of a cell whose rules a caller broke."""


class PlacementError(Exception):
    """A change that the cell refused and left undone."""

    def __init__(self, message: str, remedy: str) -> None:
        super().__init__(f"{message}; {remedy}")
        self.message = message
        self.remedy = remedy


class OverCapacity(PlacementError):
    """A commitment would exceed the capacity of its worker."""


class UnknownWorker(PlacementError):
    """The cell holds no worker of this name."""


class DuplicateWorker(PlacementError):
    """The cell already holds a worker of this name."""


class UnknownCommitment(PlacementError):
    """The worker holds no such commitment to release."""
