"""Which workspaces submit more jobs a second than they are entitled to."""

from datetime import timedelta

from attrs import define, field

# Jobs that follow each other closely are within the rate of a workspace as long as they
# are not more than it may submit in this time.
BURST_TIME = timedelta(seconds=3)


@define(eq=False)
class TokenBucket:
    """How many jobs a workspace may submit now within its rate, as of ``at``."""

    tokens: float
    at: timedelta


@define(eq=False)
class WorkspaceRates:
    """Tells surplus jobs: those beyond ``weight`` jobs a second of their workspace.

    Each workspace has a token bucket that refills at its weight. A surplus job takes no
    token, so that a workspace far above its rate still has ``weight`` jobs a second
    within it.

    >>> rates = WorkspaceRates()
    >>> second = timedelta(seconds=1)
    >>> [rates.record("w", 1.0, second) for _ in range(4)]
    [False, False, False, True]
    >>> rates.is_exceeded("w", 1.0, second), rates.is_exceeded("w", 1.0, 2 * second)
    (True, False)
    """

    _buckets: dict[str, TokenBucket] = field(factory=dict)

    def record(self, workspace: str, weight: float, at: timedelta) -> bool:
        """Record a job accepted at a time; return whether it is surplus."""
        tokens = self._count_tokens(workspace, weight, at)
        is_surplus = tokens < 1
        known = self._buckets.get(workspace)
        if known is not None:
            # Jobs may be recorded out of order; the time never goes back.
            at = max(at, known.at)
        self._buckets[workspace] = TokenBucket(tokens - (not is_surplus), at)
        return is_surplus

    def is_exceeded(self, workspace: str, weight: float, at: timedelta) -> bool:
        """Return whether a job accepted at a time would be surplus."""
        return self._count_tokens(workspace, weight, at) < 1

    def _count_tokens(self, workspace: str, weight: float, at: timedelta) -> float:
        """Return how many jobs of a workspace are within its rate at a time."""
        if weight <= 0:
            return 0.0
        most = max(1.0, weight * BURST_TIME.total_seconds())
        known = self._buckets.get(workspace)
        if known is None:
            return most
        passed = max((at - known.at).total_seconds(), 0.0)
        return min(most, known.tokens + weight * passed)
