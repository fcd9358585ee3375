"""The times that bound how long an instance takes to hear of a new configuration."""

from datetime import timedelta

from attrs import define

# Shares of the time within which a configuration has to be in force everywhere.
WAIT_SHARE = 0.225
ANSWER_SHARE = 0.1
READ_SHARE = 0.2
RETRY_SHARE = 0.025
# So many failures in a row are followed by a quick retry.
QUICK_RETRIES = 3
SLOW_RETRY_DELAY = timedelta(milliseconds=300)


@define(frozen=True)
class ApplyBudget:
    """The times of an instance's calls that ask for new configurations.

    A configuration has to be in force within ``limit`` of its acknowledgement. Shorter
    waits cost the store more calls.
    """

    limit: timedelta = timedelta(seconds=2)

    @property
    def wait(self) -> timedelta:
        """How long one call waits for a change."""
        return self.limit * WAIT_SHARE

    @property
    def answer_time(self) -> timedelta:
        """How long after its wait an unanswered call for changes counts as lost."""
        return self.limit * ANSWER_SHARE

    @property
    def read_time(self) -> timedelta:
        """After which time an unanswered call that does not wait counts as lost."""
        return self.limit * READ_SHARE

    def choose_retry_delay(self, failures: int) -> timedelta:
        """Return the pause after ``failures`` calls in a row have failed."""
        if failures <= QUICK_RETRIES:
            return self.limit * RETRY_SHARE
        return SLOW_RETRY_DELAY

    def compute_longest_time(self) -> timedelta:
        """Return the time from a change until it is known, after three failures.

        These are, in this order: a wait on a connection that has fallen silent, a call
        that the store refuses, and a call whose answer is lost. The call after them is
        answered as late as it may be.

        >>> ApplyBudget(timedelta(seconds=2)).compute_longest_time()
        datetime.timedelta(seconds=1, microseconds=600000)
        """
        silent = self.wait + self.answer_time
        pauses = sum(
            (self.choose_retry_delay(failures) for failures in (1, 2, 3)), timedelta(0)
        )
        lost = self.read_time
        return silent + lost + pauses + self.read_time
