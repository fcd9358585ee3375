"""How long the owner of a shard may act for it, by its own monotonic clock."""

from datetime import timedelta

from attrs import define


@define
class Authority:
    """A time-limited right of a shard's owner to act for the shard.

    ``confirmed_at`` is the start of the latest read that showed the owner's claim. It
    is the start and not the end of the read, so that a pause between the read and its
    use shortens the authority and never extends it. The authority is valid for
    ``horizon`` after that, or until it is superseded. ``previous_stopped_at`` is when
    this instance had evidence that the previous owner has stopped, ``None`` before.
    """

    horizon: timedelta
    confirmed_at: timedelta
    superseded: bool = False
    previous_stopped_at: timedelta | None = None

    def confirm(self, read_started: timedelta) -> None:
        """Extend the authority after a read that showed the owner's claim.

        ``read_started`` is the monotonic time at which the read began.
        """
        self.confirmed_at = max(self.confirmed_at, read_started)

    def supersede(self) -> None:
        """End the authority: another owner has the shard, or this one stops acting."""
        self.superseded = True

    def is_valid(self, now: timedelta) -> bool:
        """Tell whether the owner may act; callers must check again after each wait.

        >>> authority = Authority(timedelta(hours=2), timedelta(0))
        >>> authority.is_valid(timedelta(hours=1))
        True
        >>> authority.is_valid(timedelta(hours=3))
        False
        """
        return not self.superseded and now - self.confirmed_at <= self.horizon

    def record_previous_stopped(self, now: timedelta) -> None:
        """Record the time of the first evidence that the previous owner has stopped."""
        if self.previous_stopped_at is None:
            self.previous_stopped_at = now
