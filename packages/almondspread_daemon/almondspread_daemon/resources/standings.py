"""What each instance has in force of the change log, as far as it is known here."""

from collections.abc import Iterable
from datetime import timedelta

from attrs import define

from almondspread.interfaces import Instance
from almondspread.ownership import Member


@define(frozen=True)
class Standing:
    """The revision in force at an instance and why it may be behind."""

    name: str
    revision: int
    reason: str = ""


def list_standings(
    own: Standing,
    members: Iterable[Member],
    live: Iterable[Member],
    listed: Iterable[Instance],
    now: timedelta,
) -> list[Standing]:
    """Return how all instances stand, as heard from them and from the list."""
    standings = {own.name: own}
    live_names = {member.name for member in live}
    for member in members:
        if member.listed_gone:
            continue
        reason = member.fault
        if member.name not in live_names:
            seconds = round((now - member.heard).total_seconds())
            reason = f"silent for {seconds} s: cut off from here, paused or dead"
        standings[member.name] = Standing(member.name, member.revision, reason)
    for instance in listed:
        if instance.role != "entry" or instance.name in standings:
            continue
        reason = "listed, but never heard from: starting, cut off or dead"
        standings[instance.name] = Standing(instance.name, 0, reason)
    return list(standings.values())


def explain_lag(standing: Standing) -> str:
    """Return why a later revision is not in force at an instance."""
    where = f"the instance is at revision {standing.revision}"
    if not standing.reason:
        return f"{where} and has not taken in the change yet"
    return f"{where}: {standing.reason}"
