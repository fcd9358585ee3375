"""The incarnations of each upstream, of which only the latest can be running.

An upstream may be started again under its identity. What is kept of it, such as its
runs, the numbers of its ends and its permits, belongs to one incarnation.
"""

from collections.abc import Mapping
from datetime import timedelta

from attrs import define, field

from almondspread.jobs.messages import UpstreamEntry
from almondspread.jobs.upstreams import Upstream

# Fencing tokens of one epoch must stay below those of the next.
GENERATIONS_PER_EPOCH = 10_000


def compute_fencing_token(epoch: int, generation: int) -> int:
    """Return the token under which orders for one incarnation are given.

    A later incarnation has seen no token yet. Once it has seen that of its own
    generation, it refuses late calls that were meant for an earlier incarnation.

    >>> compute_fencing_token(3, 0) < compute_fencing_token(3, 1)
    True
    >>> compute_fencing_token(3, 20_000) < compute_fencing_token(4, 0)
    True
    """
    return epoch * GENERATIONS_PER_EPOCH + min(generation, GENERATIONS_PER_EPOCH - 1)


def find_next_token(token: int) -> int:
    """Return the token of the incarnation after the one that a token is for.

    >>> find_next_token(compute_fencing_token(3, 0)) == compute_fencing_token(3, 1)
    True
    >>> last = compute_fencing_token(3, GENERATIONS_PER_EPOCH - 1)
    >>> find_next_token(last) == last
    True
    """
    epoch, generation = divmod(token, GENERATIONS_PER_EPOCH)
    return compute_fencing_token(epoch, generation + 1)


def is_earlier(entry: UpstreamEntry, other: UpstreamEntry) -> bool:
    """Return whether an entry is of an earlier incarnation than another one.

    An entry that does not tell its start is earlier than one that does.
    """
    if other.started_at is None:
        return False
    return entry.started_at is None or entry.started_at < other.started_at


@define(eq=False)
class Incarnations:
    """The latest incarnation of each upstream, by the upstream's identity.

    ``_latest`` has its name, and ``_counts`` how many generations of tokens there are.
    """

    _latest: dict[str, str] = field(factory=dict)
    _counts: dict[str, int] = field(factory=dict)

    def add(self, entry: UpstreamEntry) -> int:
        """Record an entry as the latest incarnation, and return its generation."""
        self._latest[entry.identity] = entry.name
        return self.begin_generation(entry.identity)

    def begin_generation(self, identity: str) -> int:
        """Return a generation of tokens above all that were used for an upstream."""
        generation = self._counts.get(identity, 0)
        self._counts[identity] = generation + 1
        return generation

    def find_latest(self, identity: str) -> str:
        """Return the name of the latest incarnation, or the identity if unknown."""
        return self._latest.get(identity, identity)

    def choose_entry(
        self, entry: UpstreamEntry, upstreams: Mapping[str, Upstream], now: timedelta
    ) -> UpstreamEntry:
        """Return an entry, or the known one of a later incarnation.

        An upstream may write its last entry late, after the next incarnation has
        written its own. A start that goes back only counts once the known incarnation
        has certainly ended.
        """
        latest = upstreams.get(self.find_latest(entry.identity))
        if latest is None or latest.has_ended(now):
            return entry
        return latest.entry if is_earlier(entry, latest.entry) else entry
