"""Errors that a cell raises when a caller requests an invalid change."""


class PlacementError(Exception):
    """The cell refused a change; its state is unchanged."""

    def __init__(self, message: str, remedy: str) -> None:
        super().__init__(f"{message}; {remedy}")
        self.message = message
        self.remedy = remedy


class OverCapacity(PlacementError):
    """The task does not fit in the free capacity of the worker."""


class UnknownWorker(PlacementError):
    """The cell has no worker of this name."""


class DuplicateWorker(PlacementError):
    """The cell already has a worker of this name."""


class UnknownCommitment(PlacementError):
    """The worker has no committed task of this workload and size to release."""
