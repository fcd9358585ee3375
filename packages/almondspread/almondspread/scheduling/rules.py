"""What operators have set for the whole cell, as shards go by it."""

from attrs import define, field

from almondspread.changes import ResourceCache
from almondspread.placement.values import POLICY_WAITING
from almondspread.resources import Capacity, Configuration, Team, Worker

# The configuration by this name holds for the cell; others are kept unused.
CELL_CONFIGURATION = "cell"
DEFAULT_QUARANTINE_SHARE = 0.1


@define(frozen=True)
class TeamRule:
    """A team's quota over the whole cell and its weight in fair share."""

    quota: Capacity
    weight: float
    revision: int


@define(frozen=True)
class CellRules:
    """The policy in force, the drained workers and the teams, as of one revision."""

    policy: str = POLICY_WAITING
    quarantine_share: float = DEFAULT_QUARANTINE_SHARE
    drained: frozenset[str] = frozenset()
    teams: dict[str, TeamRule] = field(factory=dict)


def read_rules(cache: ResourceCache) -> CellRules:
    """Return the rules that the resources declare now."""
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
