"""Until when an owner may act for a shard, by its own monotonic time."""

from datetime import timedelta

from attrs import define


@define
class Authority:
    """An owner's knowledge that a shard is still its own.

    ``confirmed_at`` is when the latest read that showed its claim began, so that a
    pause between the read and its use makes the authority older, never younger. It
    is good for ``horizon`` after that, until another claim is seen.
    ``previous_stopped_at`` is when evidence came that the previous owner has stopped.
    """

    horizon: timedelta
    confirmed_at: timedelta
    superseded: bool = False
    previous_stopped_at: timedelta | None = None

    def confirm(self, began: timedelta) -> None:
        """Note that a read which began at a moment showed the owner's claim."""
        self.confirmed_at = max(self.confirmed_at, began)

    def supersede(self) -> None:
        """Note that the shard has another owner, or is being given up."""
        self.superseded = True

    def is_valid(self, now: timedelta) -> bool:
        """Tell whether the owner may act; to be asked after every wait.

        >>> authority = Authority(timedelta(hours=2), timedelta(0))
        >>> authority.is_valid(timedelta(hours=1)), authority.is_valid(timedelta(hours=3))
        (True, False)
        """
        return not self.superseded and now - self.confirmed_at <= self.horizon

    def record_previous_stopped(self, now: timedelta) -> None:
        """Note evidence that the previous owner acts no more."""
        if self.previous_stopped_at is None:
            self.previous_stopped_at = now
