"""What each instance has in force of the change log, as far as it is known here."""

from attrs import define

from almondspread.clock import Clock
from almondspread_daemon.membership import Neighbours


@define(frozen=True)
class InstanceRevision:
    """The revision in force at an instance and why it may be behind."""

    name: str
    revision: int
    reason: str = ""


def list_instance_revisions(
    own: InstanceRevision, neighbours: Neighbours, clock: Clock
) -> list[InstanceRevision]:
    """Return how all instances stand, as heard from them and from the list."""
    now = clock.monotonic()
    live_names = {member.name for member in neighbours.list_live()}
    standings = {own.name: own}
    for member in neighbours.members.list_all():
        if member.unlisted:
            continue
        reason = member.fault
        if member.name not in live_names:
            seconds = round((now - member.heard_at).total_seconds())
            reason = f"silent for {seconds} s: cut off from here, paused or dead"
        standings[member.name] = InstanceRevision(member.name, member.revision, reason)
    for instance in neighbours.listed.values():
        if instance.role != "entry" or instance.name in standings:
            continue
        reason = "listed, but never heard from: starting, cut off or dead"
        standings[instance.name] = InstanceRevision(instance.name, 0, reason)
    return list(standings.values())


def explain_lag(standing: InstanceRevision) -> str:
    """Return why a later revision is not in force at an instance."""
    where = f"the instance is at revision {standing.revision}"
    if not standing.reason:
        return f"{where} and has not taken in the change yet"
    return f"{where}: {standing.reason}"
