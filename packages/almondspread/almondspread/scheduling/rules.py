"""Cell-wide scheduling rules, as declared by operators in resources."""

from attrs import define, field

from almondspread.changes import ResourceCache
from almondspread.placement.values import POLICY_WAITING
from almondspread.resources import Capacity, Configuration, Team, Worker

# Only the configuration of this name applies; others are stored without effect.
CELL_CONFIGURATION = "cell"
DEFAULT_QUARANTINE_SHARE = 0.1


@define(frozen=True)
class TeamRule:
    """A team's quota in the whole cell and its weight in fair sharing.

    ``revision`` is the revision of the latest change of the team resource.
    """

    quota: Capacity
    weight: float
    revision: int


@define(frozen=True)
class CellRules:
    """The scheduling policy, drained workers and team rules of the cell.

    All of them are read from the resources as of one revision. ``quarantine_share`` is
    the largest share of the cell's workers that may be in quarantine at once.
    ``teams`` maps the name of each declared team to its rule.
    """

    policy: str = POLICY_WAITING
    quarantine_share: float = DEFAULT_QUARANTINE_SHARE
    drained: frozenset[str] = frozenset()
    teams: dict[str, TeamRule] = field(factory=dict)


def read_rules(cache: ResourceCache) -> CellRules:
    """Return the rules that the cached resources currently declare."""
    policy = POLICY_WAITING
    share = DEFAULT_QUARANTINE_SHARE
    item = cache.find("configuration", CELL_CONFIGURATION)
    if item is not None and isinstance(item.resource, Configuration):
        policy = item.resource.policy
        share = item.resource.quarantine_share
    drained = set()
    for item in cache.list_items("worker"):
        if isinstance(item.resource, Worker) and item.resource.drain:
            drained.add(item.name)
    teams = {}
    for item in cache.list_items("team"):
        team = item.resource
        if isinstance(team, Team):
            teams[item.name] = TeamRule(team.quota, team.weight, item.resource_version)
    return CellRules(policy, share, frozenset(drained), teams)
