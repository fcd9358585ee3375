"""Grants of a team's quota to scheduling shards.

One table row for each team holds how much of the quota each shard may commit. A shard
raises its grant by compare-and-set and only while the sum of the grants stays within
the quota, and places tasks only within its own grant. The sum over all shards
therefore stays within the quota without messages between their owners. A shard lowers
the limit that it enforces before it writes a lower grant, and raises the limit only
after the write of the higher grant is confirmed.
"""

import random
from datetime import timedelta

from attrs import define, field

from almondspread.clock import Clock
from almondspread.codec import decode_message, encode_message
from almondspread.interfaces import (
    Condition,
    Row,
    TableService,
    Write,
)
from almondspread.resources import Capacity
from almondspread.scheduling.decisions import Decisions
from almondspread.scheduling.rules import TeamRule

# A shard returns the part of a grant that it has not used for this long.
UNUSED_GRANT_TIMEOUT = timedelta(seconds=2)
# The longest wait of a shard whose request was not met before it requests again.
MAX_RETRY_DELAY = timedelta(seconds=2)
NO_CAPACITY = Capacity(0, 0, 0)


@define(frozen=True)
class GrantRow:
    """The grants of one team, by shard.

    ``revision`` is the newest resource revision of the quota that a change of the
    grants was based on.
    """

    revision: int = 0
    grants: dict[str, Capacity] = field(factory=dict)

    def sum_other_grants(self, shard: str) -> Capacity:
        """Return the sum of the grants of all other shards."""
        total = NO_CAPACITY
        for name, granted in self.grants.items():
            if name != shard:
                total = total.plus(granted)
        return total


@define(frozen=True)
class QuotaDemand:
    """How much of a team's quota a shard could use.

    ``desired_grant`` covers what the tasks of the team use in the shard already and
    what its waiting tasks could use. ``min_increment`` is the smallest addition to
    the used amount with which a waiting task could start.
    """

    desired_grant: Capacity
    min_increment: Capacity = NO_CAPACITY


@define
class GrantState:
    """What a shard knows of its grant of one team.

    ``limit`` is the limit that the shard enforces. ``row_version`` is negative until
    the shard has read the row. ``confirmed`` is false after a write with an unknown
    outcome: that write may still take effect until a later write is confirmed.
    ``unused_since`` and ``next_request_at`` are monotonic times.
    """

    limit: Capacity = NO_CAPACITY
    row_version: int = -1
    row: GrantRow = GrantRow()
    confirmed: bool = True
    unused_since: timedelta | None = None
    next_request_at: timedelta = timedelta(0)


def make_grant_key(team: str) -> str:
    """Return the key of the row that holds a team's grants."""
    return f"quota/{team}"


def apply_grant_request(
    row: GrantRow, shard: str, requested: Capacity, rule: TeamRule
) -> GrantRow:
    """Return the row after a shard requested a grant.

    A request for less lowers the grant. A request for more raises the grant as far as
    the quota allows, unless ``rule`` is older than the quota that the row is based
    on.

    >>> row = GrantRow(1, {"a": Capacity(600, 10)})
    >>> rule = TeamRule(Capacity(1000, 100), 1.0, 1)
    >>> apply_grant_request(row, "b", Capacity(500, 10), rule).grants["b"]
    Capacity(cpu_millis=400, memory_mib=10, accelerators=0)
    """
    current = row.grants.get(shard, NO_CAPACITY)
    free = NO_CAPACITY
    if rule.revision >= row.revision:
        free = rule.quota.minus(row.sum_other_grants(shard))
    granted = Capacity(
        _compute_granted_amount(
            current.cpu_millis, requested.cpu_millis, free.cpu_millis
        ),
        _compute_granted_amount(
            current.memory_mib, requested.memory_mib, free.memory_mib
        ),
        _compute_granted_amount(
            current.accelerators, requested.accelerators, free.accelerators
        ),
    )
    grants = dict(row.grants)
    grants[shard] = granted
    if granted == NO_CAPACITY:
        del grants[shard]
    return GrantRow(max(row.revision, rule.revision), grants)


def _compute_granted_amount(current: int, requested: int, free: int) -> int:
    """Return the granted amount of one resource after a request."""
    if requested <= current:
        return requested
    return max(current, min(requested, free))


class TeamGrants:
    """The grants of one shard during one ownership epoch.

    ``row_errors`` holds an error message for each team whose row does not decode; the
    shard changes no grant of such a team.
    """

    def __init__(
        self,
        shard: str,
        owner_condition: Condition,
        table: TableService,
        clock: Clock,
        random_source: random.Random,
        decisions: Decisions,
    ) -> None:
        self._shard = shard
        self._owner_condition = owner_condition
        self._table = table
        self._clock = clock
        self._random = random_source
        self._decisions = decisions
        self._rules: dict[str, TeamRule] = {}
        self._grant_states: dict[str, GrantState] = {}
        self._removed_teams: set[str] = set()
        self.row_errors: dict[str, str] = {}

    def set_rules(self, teams: dict[str, TeamRule]) -> None:
        """Enforce a limit for each declared team and none for other teams.

        After a team is removed, an earlier write of its grant may still take effect.
        The grant of a team that is declared again is therefore unconfirmed at first.
        """
        for team in self._rules.keys() - teams.keys():
            del self._grant_states[team]
            self._removed_teams.add(team)
            self._decisions.teams.remove_team(team)
        self._rules = teams
        for team in teams:
            if team not in self._grant_states:
                self._grant_states[team] = GrantState(
                    confirmed=team not in self._removed_teams
                )
            self._apply_limit(team, self._grant_states[team].limit)

    def _apply_limit(self, team: str, limit: Capacity) -> None:
        """Enforce a limit of a team from now on."""
        state = self._grant_states[team]
        raised = not limit.fits_in(state.limit)
        state.limit = limit
        self._decisions.teams.set_team(team, limit, self._rules[team].weight)
        if raised:
            self._decisions.capacity_generation += 1

    async def update_grants(self, demands: dict[str, QuotaDemand]) -> bool:
        """Request needed grants and return unused ones; true if a limit rose."""
        generation = self._decisions.capacity_generation
        teams = [
            team for team in self._rules if self._is_update_due(team, demands.get(team))
        ]
        if not teams or not await self._read_rows(teams):
            return False
        for team in teams:
            if team in self._rules and team not in self.row_errors:
                await self._write_grant(team, demands.get(team))
        return self._decisions.capacity_generation != generation

    def _is_update_due(self, team: str, demand: QuotaDemand | None) -> bool:
        """Tell whether the shard should read and change a grant now."""
        state = self._grant_states[team]
        if state.row_version < 0 or not state.confirmed:
            return True
        now = self._clock.monotonic()
        target = self._compute_target(team, demand)
        if not target.fits_in(state.limit):
            state.unused_since = None
            return now >= state.next_request_at
        if target == state.limit:
            state.unused_since = None
            return False
        if state.unused_since is None:
            state.unused_since = now
        return now - state.unused_since >= UNUSED_GRANT_TIMEOUT

    def _compute_target(self, team: str, demand: QuotaDemand | None) -> Capacity:
        """Return the grant that the shard should have, at least the amount in use."""
        held = self._decisions.get_held_capacity(team)
        return held.take_larger(demand.desired_grant) if demand else held

    async def _read_rows(self, teams: list[str]) -> bool:
        """Read the grant rows of teams; false if the table is unavailable."""
        rows = await self._table.read([make_grant_key(team) for team in teams])
        if rows.is_error():
            return False
        found = {row.key: row for row in rows.ok}
        for team in teams:
            if team in self._grant_states:
                self._load_row(team, found.get(make_grant_key(team)))
        return True

    def _load_row(self, team: str, row: Row | None) -> None:
        """Update the state of a team from its row, unless the row does not decode."""
        state = self._grant_states[team]
        self.row_errors.pop(team, None)
        try:
            decoded = decode_message(row.value, GrantRow) if row else GrantRow()
        except ValueError as error:
            self.row_errors[team] = (
                f"row {make_grant_key(team)} does not decode: {error}"
            )
            return
        first = state.row_version < 0
        state.row_version = row.version if row else 0
        state.row = decoded
        if first and state.confirmed:
            # The row holds this shard's grant: no write of an earlier owner can take
            # effect once this owner has claimed the shard.
            self._apply_limit(team, decoded.grants.get(self._shard, NO_CAPACITY))

    async def _write_grant(self, team: str, demand: QuotaDemand | None) -> None:
        """Write the target grant of one team and enforce the result."""
        state = self._grant_states[team]
        target = self._compute_target(team, demand)
        if demand is not None and not target.fits_in(state.limit):
            target = self._avoid_partial_grant(team, demand, target)
        changed = apply_grant_request(state.row, self._shard, target, self._rules[team])
        if changed == state.row and state.confirmed:
            return
        granted = changed.grants.get(self._shard, NO_CAPACITY)
        self._apply_limit(team, state.limit.take_smaller(granted))
        outcome = await self._table.transact(
            [
                self._owner_condition,
                Condition(make_grant_key(team), state.row_version),
            ],
            [Write(make_grant_key(team), encode_message(changed))],
        )
        if self._grant_states.get(team) is not state:
            return
        if outcome.is_error():
            state.confirmed = False
            return
        state.row_version = outcome.ok
        state.row = changed
        state.confirmed = True
        state.unused_since = None
        self._apply_limit(team, granted)

    def _avoid_partial_grant(
        self, team: str, demand: QuotaDemand, target: Capacity
    ) -> Capacity:
        """Return the target, or the used amount if the obtainable grant starts no task.

        A shard that kept a grant too small for its tasks could block another shard
        that keeps the rest of the quota, too small for the tasks there. The next
        request waits for a random delay.
        """
        state = self._grant_states[team]
        obtainable = apply_grant_request(
            state.row, self._shard, target, self._rules[team]
        )
        granted = obtainable.grants.get(self._shard, NO_CAPACITY)
        delay = MAX_RETRY_DELAY * self._random.uniform(0.2, 1.0)
        state.next_request_at = self._clock.monotonic() + delay
        held = self._decisions.get_held_capacity(team)
        if held.plus(demand.min_increment).fits_in(granted):
            return target
        return held
