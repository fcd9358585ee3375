"""The changes of the jobs that one commit to the store holds."""

from collections.abc import Callable

from attrs import define, field

from almondspread.jobs.job_records import TERMINAL_STATES, JobRecord
from almondspread.jobs.job_table import JobTable
from almondspread.jobs.upstream_tracker import UpstreamTracker

AddRecord = Callable[[JobRecord], bool]
AddRemoval = Callable[[str], bool]


def accept_all(_: object) -> bool:
    """Return true, as where there is room for any number of changes."""
    return True


@define(frozen=True)
class PendingChanges:
    """Changes for one commit to the store.

    ``records`` are the job records to write. ``ends`` holds, by upstream, the number of
    the newest run end that may be acknowledged once the commit has succeeded. The
    commit deletes the stored progress of ``forgotten`` jobs.
    """

    records: list[JobRecord]
    ends: dict[str, int]
    forgotten: list[str] = field(factory=list)


@define(eq=False)
class ChangeQueue:
    """The changes of the jobs that are still to be stored, and the ends they hold."""

    job_table: JobTable
    tracker: UpstreamTracker

    def take(
        self,
        limit: int,
        add_record: AddRecord = accept_all,
        add_removal: AddRemoval = accept_all,
    ) -> PendingChanges:
        """Return the changes since the last call, to be stored in one commit.

        ``add_record`` and ``add_removal`` are called with each record and each
        forgotten job, and return false once there is no room for it. If more than
        ``limit`` jobs have changed, or more than there is room for, the rest stays for
        the next call, and no run ends may be acknowledged after this commit.
        """
        table = self.job_table
        records: list[JobRecord] = []
        for name in sorted(table.changed)[:limit]:
            record = table.jobs[name].make_record()
            if not add_record(record):
                break
            records.append(record)
        table.changed.difference_update(record.job for record in records)
        if table.changed:
            return PendingChanges(records, {})
        forgotten: list[str] = []
        for name in sorted(table.forgotten)[: limit - len(records)]:
            if not add_removal(name):
                break
            forgotten.append(name)
        table.forgotten.difference_update(forgotten)
        return PendingChanges(
            records, self.tracker.find_unacknowledged_ends(), forgotten
        )

    def requeue(self, changes: PendingChanges) -> None:
        """Queue changes again whose commit did not succeed."""
        for record in changes.records:
            if record.job in self.job_table.jobs:
                self.job_table.changed.add(record.job)
        self.job_table.forgotten.update(changes.forgotten)

    def abandon(self, job: str) -> None:
        """Give up storing the changes of one job, which the store will never take."""
        self.job_table.changed.discard(job)
        self.job_table.forgotten.discard(job)

    def confirm(self, changes: PendingChanges) -> None:
        """Record that changes are stored, and acknowledge their run ends."""
        for record in changes.records:
            if record.state in TERMINAL_STATES:
                self.job_table.mark_end_stored(record.job)
        self.tracker.acknowledge_ends(changes.ends)
