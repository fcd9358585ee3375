"""How far the store's version rises while a slow commit is under way."""

import math
from datetime import timedelta

from attrs import define

# A healthy store answers a commit sooner than this.
SLOW_COMMIT_THRESHOLD = timedelta(milliseconds=150)
MAX_MARGIN_TIME = timedelta(seconds=2)


@define(eq=False)
class CommitPace:
    """Predicts how far the store's version rises during slow commits.

    ``margin`` is the predicted rise until the commit after the next one is stored. It
    is 0 while commits are fast.
    """

    version: int
    recorded_at: timedelta
    margin: int = 0

    def record_commit(self, version: int, sent_at: timedelta, now: timedelta) -> None:
        """Update ``margin`` after a commit sent at ``sent_at`` and answered at ``now``.

        ``version`` is the version at which the commit was stored.
        """
        passed = max(now - self.recorded_at, timedelta(milliseconds=1))
        rate = (version - self.version) / passed.total_seconds()
        self.version, self.recorded_at = version, now
        self.margin = 0
        if now - sent_at > SLOW_COMMIT_THRESHOLD:
            ahead = min(2 * (now - sent_at), MAX_MARGIN_TIME)
            self.margin = math.ceil(rate * ahead.total_seconds())
