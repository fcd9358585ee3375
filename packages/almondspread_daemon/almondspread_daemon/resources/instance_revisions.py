"""The revision of the change log that each instance has applied.

The revisions are those that this instance has heard of.
"""

from attrs import define

from almondspread.clock import Clock
from almondspread_daemon.membership import Neighbours


@define(frozen=True)
class InstanceRevision:
    """The revision in force at an instance.

    ``reason`` says why the instance may be behind, empty if no cause is known.
    """

    name: str
    revision: int
    reason: str = ""


def list_instance_revisions(
    own: InstanceRevision, neighbours: Neighbours, clock: Clock
) -> list[InstanceRevision]:
    """Return the revisions of this and all other known instances.

    Others are known from their messages or from the list of instances. Members that
    are no longer listed are left out; a listed instance that was never heard from
    has revision 0.
    """
    now = clock.monotonic()
    live_names = {member.name for member in neighbours.list_live()}
    revisions = {own.name: own}
    for member in neighbours.members.list_all():
        if member.unlisted:
            continue
        reason = member.fault
        if member.name not in live_names:
            seconds = round((now - member.heard_at).total_seconds())
            reason = f"silent for {seconds} s: unreachable from here, paused or dead"
        revisions[member.name] = InstanceRevision(member.name, member.revision, reason)
    for instance in neighbours.listed.values():
        if instance.role != "entry" or instance.name in revisions:
            continue
        reason = "listed, but never heard from: starting, unreachable or dead"
        revisions[instance.name] = InstanceRevision(instance.name, 0, reason)
    return list(revisions.values())


def explain_lag(instance: InstanceRevision) -> str:
    """Describe why a later revision is not in force at an instance."""
    where = f"the instance is at revision {instance.revision}"
    if not instance.reason:
        return f"{where} and has not applied the change yet"
    return f"{where}: {instance.reason}"
