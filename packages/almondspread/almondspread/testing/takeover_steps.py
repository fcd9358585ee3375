"""What the steps of leaders, executors and upstreams have in common."""

from attrs import define

from almondspread.testing.state_search import Step
from almondspread.testing.takeover_state import (
    TakeoverProtection,
    TakeoverUpstream,
    TakeoverWorld,
)

WorldStep = Step[TakeoverWorld]


@define(frozen=True)
class TakeoverSteps:
    """The bounds of the model, and the protections that are ``removed`` from it.

    There are leaders of up to ``max_epoch``; the first one starts the task up to
    ``first_starts`` times.
    """

    removed: frozenset[TakeoverProtection]
    max_epoch: int
    first_starts: int

    def has(self, protection: TakeoverProtection) -> bool:
        """Tell whether the model has a protection."""
        return protection not in self.removed

    def refuses(self, upstream: TakeoverUpstream, token: int) -> bool:
        """Return whether an upstream refuses a call with a token."""
        return self.has(TakeoverProtection.FENCING) and token < upstream.token
