"""Liveness of the recorded owners of shards: whether they are silent or have ended."""

from datetime import timedelta

from attrs import define

from almondspread.clock import Clock
from almondspread.ownership import Claimant, Members, OwnerRecord


@define(frozen=True)
class ObservedOwner:
    """A shard's owner record, and when this instance first read this record."""

    record: OwnerRecord | None
    first_seen_at: timedelta


class OwnerLiveness:
    """Judges recorded owners by heartbeats, the platform's list and addresses.

    An owner is silent if it has sent no heartbeat for ``instance_lease``.
    """

    def __init__(
        self,
        claimant: Claimant,
        members: Members,
        clock: Clock,
        instance_lease: timedelta,
    ) -> None:
        self._claimant = claimant
        self._members = members
        self._clock = clock
        self._instance_lease = instance_lease
        self._observed: dict[str, ObservedOwner] = {}

    def may_claim(self, shard: str, record: OwnerRecord | None) -> bool:
        """Tell whether the recorded owner has released the shard, ended or is silent.

        Silence is counted at the earliest from when this instance first read the
        record, because an owner without a heartbeat so far may have just started.
        """
        now = self._clock.monotonic()
        observed = self._observed.get(shard)
        if observed is None or observed.record != record:
            observed = ObservedOwner(record, now)
            self._observed[shard] = observed
        if record is None or self.has_stopped(record):
            return True
        last_heard = observed.first_seen_at
        member = self._members.find(record.instance)
        if member is not None and member.incarnation == record.incarnation:
            last_heard = max(last_heard, member.heard_at)
        return now - last_heard > self._instance_lease

    def has_stopped(self, record: OwnerRecord | None) -> bool:
        """Tell whether a recorded owner is known to renew no more leases."""
        if record is None or record.is_released:
            return True
        if record.incarnation == self._claimant.incarnation:
            return True
        if record.address and record.address == self._claimant.address:
            # This process listens on the address, so the earlier process has ended.
            return True
        return self._members.has_ended(
            record.instance,
            record.incarnation,
            record.address,
            self._clock.monotonic(),
        )
