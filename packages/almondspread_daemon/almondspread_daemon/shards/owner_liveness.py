"""What is known of a shard's recorded owner: whether it is silent, or has ended."""

from datetime import timedelta

from attrs import define

from almondspread.clock import Clock
from almondspread.ownership import Claimant, Members, OwnerRecord


@define(frozen=True)
class ObservedOwner:
    """A shard's owner record, and when this instance first saw it."""

    record: OwnerRecord | None
    first_seen_at: timedelta


class OwnerLiveness:
    """Judges recorded owners by heartbeats, the platform's list and addresses."""

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
        """Tell whether the recorded owner has released the shard or is silent.

        Silence is counted from when this instance first saw the record: an owner of
        which it has not heard yet may be one that has just started.
        """
        now = self._clock.monotonic()
        seen = self._observed.get(shard)
        if seen is None or seen.record != record:
            seen = ObservedOwner(record, now)
            self._observed[shard] = seen
        if record is None or self.has_stopped(record):
            return True
        heard = seen.first_seen_at
        member = self._members.find(record.instance)
        if member is not None and member.incarnation == record.incarnation:
            heard = max(heard, member.heard_at)
        return now - heard > self._instance_lease

    def has_stopped(self, record: OwnerRecord | None) -> bool:
        """Tell whether a recorded owner surely renews no leases any more."""
        if record is None or record.is_released:
            return True
        if record.incarnation == self._claimant.incarnation:
            return True
        if record.address and record.address == self._claimant.address:
            # This process holds the address, so the earlier one has ended.
            return True
        return self._members.has_ended(
            record.instance,
            record.incarnation,
            record.address,
            self._clock.monotonic(),
        )
