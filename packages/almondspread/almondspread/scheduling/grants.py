"""Shares of a team's quota that are granted to scheduling shards.

One table row for each team says how much of its quota each shard may commit. The sum
of the grants is only raised within the quota, by compare-and-set, and a shard places
within its own grant; so the sum over all shards keeps to the quota, with no message
between their owners. A shard lowers what it goes by before it writes a lower grant,
and raises it after the higher grant is known to be written.
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

# How long a grant stays unused before it is returned.
UNUSED_GRANT_TIMEOUT = timedelta(seconds=2)
# How long a shard whose ask was not met waits before it asks again, at most.
MAX_RETRY_DELAY = timedelta(seconds=2)
NO_CAPACITY = Capacity(0, 0, 0)


@define(frozen=True)
class GrantRow:
    """The grants of one team; ``revision`` is that of the quota last gone by."""

    revision: int = 0
    grants: dict[str, Capacity] = field(factory=dict)

    def sum_other_grants(self, shard: str) -> Capacity:
        """Return what all other shards are granted."""
        total = NO_CAPACITY
        for name, granted in self.grants.items():
            if name != shard:
                total = total.plus(granted)
        return total


@define(frozen=True)
class QuotaDemand:
    """What a shard holds of a team, wants to hold, and the least that would help."""

    desired_grant: Capacity
    min_increment: Capacity = NO_CAPACITY


@define
class GrantState:
    """What a shard knows of its grant of one team.

    ``limit`` is what it goes by. ``certain`` is unset after a write that is not known
    to have taken effect: it still may, until a later write is known to have done so.
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
    row: GrantRow, shard: str, wanted: Capacity, rule: TeamRule
) -> GrantRow:
    """Return the row after a shard asked for a grant.

    A grant is lowered as asked and raised as far as the quota allows. Who knows only
    an older quota than the row went by raises nothing.

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
        _compute_granted_amount(current.cpu_millis, wanted.cpu_millis, free.cpu_millis),
        _compute_granted_amount(current.memory_mib, wanted.memory_mib, free.memory_mib),
        _compute_granted_amount(
            current.accelerators, wanted.accelerators, free.accelerators
        ),
    )
    grants = dict(row.grants)
    grants[shard] = granted
    if granted == NO_CAPACITY:
        del grants[shard]
    return GrantRow(max(row.revision, rule.revision), grants)


def _compute_granted_amount(current: int, wanted: int, free: int) -> int:
    """Return one amount of a grant after it was asked for."""
    if wanted <= current:
        return wanted
    return max(current, min(wanted, free))


class TeamGrants:
    """The grants of one shard under one epoch of its ownership."""

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
        """Go by the declared teams; one that is not declared has no limit."""
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
        """Go by a limit from now on."""
        holding = self._grant_states[team]
        raised = not limit.fits_in(holding.limit)
        holding.limit = limit
        self._decisions.teams.set_team(team, limit, self._rules[team].weight)
        if raised:
            self._decisions.capacity_generation += 1

    async def update_grants(self, needs: dict[str, QuotaDemand]) -> bool:
        """Ask for what is needed and return what is not; true if a limit rose."""
        opened = self._decisions.capacity_generation
        teams = [
            team for team in self._rules if self._is_update_due(team, needs.get(team))
        ]
        if not teams or not await self._read_rows(teams):
            return False
        for team in teams:
            if team in self._rules and team not in self.row_errors:
                await self._write_grant(team, needs.get(team))
        return self._decisions.capacity_generation != opened

    def _is_update_due(self, team: str, need: QuotaDemand | None) -> bool:
        """Tell whether a grant is to be changed now."""
        holding = self._grant_states[team]
        if holding.row_version < 0 or not holding.confirmed:
            return True
        now = self._clock.monotonic()
        target = self._compute_target(team, need)
        if not target.fits_in(holding.limit):
            holding.unused_since = None
            return now >= holding.next_request_at
        if target == holding.limit:
            holding.unused_since = None
            return False
        if holding.unused_since is None:
            holding.unused_since = now
        return now - holding.unused_since >= UNUSED_GRANT_TIMEOUT

    def _compute_target(self, team: str, need: QuotaDemand | None) -> Capacity:
        """Return the grant that the shard would have: never less than it holds."""
        held = self._decisions.get_held_capacity(team)
        return held.take_larger(need.desired_grant) if need else held

    async def _read_rows(self, teams: list[str]) -> bool:
        """Read the rows of teams; false while the table cannot be reached."""
        rows = await self._table.read([make_grant_key(team) for team in teams])
        if rows.is_error():
            return False
        found = {row.key: row for row in rows.ok}
        for team in teams:
            if team in self._grant_states:
                self._load_row(team, found.get(make_grant_key(team)))
        return True

    def _load_row(self, team: str, row: Row | None) -> None:
        """Take in the row of a team; one that does not decode is left alone."""
        holding = self._grant_states[team]
        self.row_errors.pop(team, None)
        try:
            decoded = decode_message(row.value, GrantRow) if row else GrantRow()
        except ValueError as error:
            self.row_errors[team] = (
                f"row {make_grant_key(team)} does not decode: {error}"
            )
            return
        first = holding.row_version < 0
        holding.row_version = row.version if row else 0
        holding.row = decoded
        if first and holding.confirmed:
            # No write of an earlier owner can take effect after the claim.
            self._apply_limit(team, decoded.grants.get(self._shard, NO_CAPACITY))

    async def _write_grant(self, team: str, need: QuotaDemand | None) -> None:
        """Write the grant of one team as it is needed."""
        holding = self._grant_states[team]
        target = self._compute_target(team, need)
        if need is not None and not target.fits_in(holding.limit):
            target = self._avoid_partial_grant(team, need, target)
        changed = apply_grant_request(
            holding.row, self._shard, target, self._rules[team]
        )
        if changed == holding.row and holding.confirmed:
            return
        granted = changed.grants.get(self._shard, NO_CAPACITY)
        self._apply_limit(team, holding.limit.take_smaller(granted))
        outcome = await self._table.transact(
            [
                self._owner_condition,
                Condition(make_grant_key(team), holding.row_version),
            ],
            [Write(make_grant_key(team), encode_message(changed))],
        )
        if self._grant_states.get(team) is not holding:
            return
        if outcome.is_error():
            holding.confirmed = False
            return
        holding.row_version = outcome.ok
        holding.row = changed
        holding.confirmed = True
        holding.unused_since = None
        self._apply_limit(team, granted)

    def _avoid_partial_grant(
        self, team: str, need: QuotaDemand, target: Capacity
    ) -> Capacity:
        """Ask for nothing, and return what is unused, where the rest helps no task.

        Otherwise two shards could each keep a part that suffices for neither.
        """
        holding = self._grant_states[team]
        asked = apply_grant_request(holding.row, self._shard, target, self._rules[team])
        granted = asked.grants.get(self._shard, NO_CAPACITY)
        pause = MAX_RETRY_DELAY * self._random.uniform(0.2, 1.0)
        holding.next_request_at = self._clock.monotonic() + pause
        held = self._decisions.get_held_capacity(team)
        if held.plus(need.min_increment).fits_in(granted):
            return target
        return held
