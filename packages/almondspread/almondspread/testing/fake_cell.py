"""A scheduler with fake upstreams; a test may execute, delay or drop its orders."""

from collections.abc import Callable, Collection
from datetime import UTC, datetime, timedelta

from attrs import define, field

from almondspread.jobs.configuration import Configuration
from almondspread.jobs.incarnations import compute_fencing_token, find_next_token
from almondspread.jobs.job_records import JobRecord, JobState
from almondspread.jobs.leases import DEFAULT_MAX_LEASE, compute_orphaned_lease_time
from almondspread.jobs.messages import (
    FENCED,
    NO_ASSIGNMENT,
    REFUSED,
    STARTED,
    UNKNOWN,
    AcknowledgeEnds,
    AskPermits,
    Assignment,
    EpochFenced,
    PermitsAnswered,
    StartRun,
    StartSettled,
    StopRun,
    StopSettled,
    UpstreamOrder,
    UpstreamReport,
    UpstreamRestarted,
    UpstreamSilent,
    WatchUpstream,
)
from almondspread.jobs.scheduler import Scheduler
from almondspread.jobs.submissions import Submission, TaskId
from almondspread.resources.capacity import Capacity
from almondspread.testing.cell_input import make_configuration, make_entry
from almondspread.testing.executor_memories import LEASE, ExecutorMemories
from almondspread.testing.fake_upstream import FakeUpstream, History

WALL_CLOCK_START = datetime(2026, 1, 1, tzinfo=UTC)
START_EXPIRY = timedelta(seconds=2)
# The clock of an upstream that has run for a while is this far ahead of a new one.
OLD_CLOCK_AHEAD = timedelta(seconds=60)
MAX_RECORDS = 90
# No leader may start a task that crashes its upstreams more often than this.
MAX_CRASHING_STARTS = 5
Order = UpstreamOrder | AskPermits


@define(frozen=True)
class HeldOrder:
    """An order that is delivered late, under the token that it was given with."""

    token: int
    order: StartRun | StopRun
    held_at: timedelta


@define(eq=False)
class FakeCell:
    """The scheduler of one leader and all upstreams, with a clock that tests advance.

    Upstreams named in ``silent`` do not answer. For each order, ``lose_answer`` decides
    whether it is executed without an answer, ``hold_back`` whether it is kept in
    ``held_orders`` for a later execution, and ``drop_order`` whether it is lost
    together with its executor. The advice service permits no upstream of ``denied``.
    A task of ``crashing`` crashes each upstream that starts it, and ``crashes`` counts
    these. Such an upstream is back, as a new incarnation, after ``restart_time``, and
    ``keeps_identity`` or has a new one. ``hears_restarts`` tells whether calls for an
    earlier incarnation find out that another one answers. The list of upstreams does
    not show those of ``unlisted`` yet, but the earlier incarnation that it names, if it
    names one. Leaders take tasks to last ``remote_factor`` times as long far from their
    data. Upstreams grant no longer leases than ``max_lease``.
    """

    history: History = field(factory=History)
    upstreams: dict[str, FakeUpstream] = field(factory=dict)
    scheduler: Scheduler = field(init=False)
    configuration: Configuration = field(factory=make_configuration)
    now: timedelta = timedelta(seconds=100)
    silent: set[str] = field(factory=set)
    draining: set[str] = field(factory=set)
    unlisted: dict[str, FakeUpstream | None] = field(factory=dict)
    records: dict[str, JobRecord] = field(factory=dict)
    held_orders: list[HeldOrder] = field(factory=list)
    lose_answer: Callable[[Order], bool] = lambda _: False
    hold_back: Callable[[Order], bool] = lambda _: False
    drop_order: Callable[[Order], bool] = lambda _: False
    denied: set[str] = field(factory=set)
    crashing: set[TaskId] = field(factory=set)
    crashes: dict[TaskId, int] = field(factory=dict)
    restart_time: timedelta = timedelta(seconds=3)
    remote_factor: float = 1.0
    max_lease: timedelta = DEFAULT_MAX_LEASE
    keeps_identity: bool = False
    hears_restarts: bool = True
    permit_requests: list[AskPermits] = field(factory=list)
    store_is_up: bool = True
    lease_holds: bool = True
    submissions_are_readable: bool = True
    directory_is_up: bool = True
    versions: dict[str, int] = field(factory=dict)
    started_version: int = 0
    memories: ExecutorMemories = field(factory=ExecutorMemories)
    stored_assignments: dict[str, Assignment] = field(factory=dict)
    _acknowledged: dict[str, int] = field(factory=dict)
    _forwarded: dict[str, int] = field(factory=dict)
    _query_counts: dict[str, int] = field(factory=dict)
    _last_reports: dict[str, UpstreamReport] = field(factory=dict)
    _restarts: dict[str, timedelta] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.scheduler = Scheduler(
            1,
            self.configuration,
            max_lease=self.max_lease,
            lease=LEASE,
            remote_factor=self.remote_factor,
        )

    def add_upstream(self, name: str, cpu_millis: int = 4_000) -> FakeUpstream:
        """Add an upstream with one MiB of memory for each thousandth of a core."""
        capacity = Capacity(cpu_millis, cpu_millis, 0)
        upstream = FakeUpstream(name, capacity, self.history, max_lease=self.max_lease)
        self.upstreams[name] = upstream
        return upstream

    def submit(self, submission: Submission) -> None:
        """Store a job, and have the scheduler accept it."""
        self.history.submissions[submission.job] = submission
        version = len(self.versions) + 1
        self.versions[submission.job] = version
        self.scheduler.accept_job(
            submission, self.now, WALL_CLOCK_START + self.now, version=version
        )

    def report_upstream_list(self) -> None:
        """Send the list of all upstreams to the scheduler."""
        entries = []
        for number, upstream in enumerate(self.upstreams.values()):
            listed = self.unlisted.get(upstream.name, upstream)
            if listed is not None:
                is_draining = listed.name in self.draining
                entries.append(make_entry(listed, number, is_draining))
        self.scheduler.update_upstreams(entries, self.now)

    def _assign_upstreams(self) -> None:
        """Assign each upstream that has no executor under this leader yet."""
        for name, upstream in self.scheduler.cell_state.upstreams.items():
            if not upstream.assignment.number:
                self.scheduler.begin_assignment(name)
                self._send_watch_order(name)

    def assign(self, name: str, instance: str = "", process: str = "") -> None:
        """Assign an upstream to another executor than before."""
        until = self.now + compute_orphaned_lease_time(LEASE)
        self.scheduler.begin_assignment(name, instance, process, until)
        self._send_watch_order(name)

    def _send_watch_order(self, name: str) -> None:
        """Have the executor of a new assignment watch the upstream."""
        order = self.scheduler.make_watch_order(name, self.now)
        self.memories.watch(order, self.now)

    def _find_assignment(self, name: str) -> int:
        """Return the present assignment of an upstream, 0 for an unknown one."""
        upstream = self.scheduler.cell_state.upstreams.get(name)
        return upstream.assignment.number if upstream is not None else 0

    def find_running(self, name: str) -> FakeUpstream | None:
        """Return the upstream that answers calls for a name, of any incarnation."""
        identity = name.partition("@")[0]
        for upstream in self.upstreams.values():
            if upstream.identity == identity:
                return upstream
        return None

    def find_token(self, order: Order) -> int:
        """Return the fencing token with which the leader gives an order."""
        if isinstance(order, AskPermits):
            return 0
        return self.find_token_for(order.upstream)

    def find_token_for(self, name: str) -> int:
        """Return the fencing token of the leader's calls to an upstream."""
        upstream = self.scheduler.cell_state.upstreams.get(name)
        if upstream is None:
            return compute_fencing_token(self.scheduler.epoch, 0)
        return self.scheduler.cell_state.find_fencing_token(upstream)

    def _report_restarts(self) -> None:
        """Report which of the leader's upstreams answer as another incarnation."""
        for name in list(self.scheduler.cell_state.upstreams):
            running = self.find_running(name)
            if running is None or running.name == name:
                continue
            if running.name in self.silent:
                self.report_silence(name)
                continue
            token = self.find_token_for(name)
            # Executors renew nothing before this incarnation has told its start.
            answer = running.renew_leases(token, 0, None, self.now)
            running.renew_leases(find_next_token(token), 0, None, self.now)
            if answer is None:
                self.check_fenced(name)
                continue
            self.report_restart(name)

    def _report_replacements(self) -> None:
        """Report which of the leader's upstreams others answer for at their address."""
        answering = {}
        for number, upstream in enumerate(self.upstreams.values()):
            if upstream.name not in self.silent:
                answering[make_entry(upstream, number).address] = upstream.identity
        epoch = self.scheduler.epoch
        for name, known in list(self.scheduler.cell_state.upstreams.items()):
            found = answering.get(known.entry.address)
            if found in (None, known.entry.identity) or self.find_running(name):
                continue
            report = UpstreamSilent(name, epoch, timedelta(0), replaced=True)
            self.scheduler.handle_report(report, self.now)

    def report_silence(self, name: str, earlier: timedelta = timedelta(0)) -> None:
        """Report that the executor of an upstream gets no answer for its name.

        Of one that has ended, it renewed the last lease some time ``earlier`` than now.
        """
        lapse_in = self.memories.find_lapse(self._find_assignment(name), self.now)
        lapse_in = max(timedelta(0), lapse_in - earlier)
        silence = UpstreamSilent(name, self.scheduler.epoch, lapse_in)
        self.scheduler.handle_report(silence, self.now)

    def report_restart(self, name: str) -> None:
        """Report that another incarnation answers instead of an upstream."""
        self.memories.record_restart(self._find_assignment(name))
        self.scheduler.handle_report(
            UpstreamRestarted(name, self.scheduler.epoch), self.now
        )

    def check_fenced(self, name: str) -> None:
        """Record a violation if a fenced call would end the only leader."""
        if self.scheduler.is_superseded_by(EpochFenced(name, self.scheduler.epoch)):
            self.history.violations.append(f"the leader is fenced by {name}")

    def poll_upstream(self, name: str) -> None:
        """Renew the leases of an upstream, where allowed, and report its answer."""
        upstream = self.upstreams[name]
        epoch = self.scheduler.epoch
        upstream.advance(self.now)
        self._assign_upstreams()
        assignment = self._find_assignment(name)
        if name in self.silent:
            self.report_silence(name)
            return
        self._query_counts[name] = self._query_counts.get(name, 0) + 1
        answer = upstream.renew_leases(
            self.find_token_for(name),
            self._acknowledged.get(name, 0),
            self.memories.renew(assignment, self.now),
            self.now,
        )
        if answer is None:
            self.check_fenced(name)
            return
        self.memories.record_answer(assignment, answer, self.now)
        after = self._forwarded.get(name, 0)
        ends = tuple(end for end in answer.ends if end.number > after)
        for end in ends:
            self._forwarded[name] = end.number
        report = UpstreamReport(
            name,
            epoch,
            self._query_counts[name],
            after,
            ends,
            answer.running,
            answer.lists_all_ends,
            self.find_token_for(name),
        )
        self._last_reports[name] = report
        self.scheduler.handle_report(report, self.now)

    def repeat_report(self, name: str) -> None:
        """Deliver the last report of an upstream once more, later than others."""
        report = self._last_reports.get(name)
        if report is not None:
            self.scheduler.handle_report(report, self.now)

    def step(self, duration: timedelta = timedelta(milliseconds=100)) -> None:
        """Advance the clock, poll all upstreams, schedule, and execute the orders."""
        self.now += duration
        for upstream in self.upstreams.values():
            # Also one of which the leader knows nothing ends its runs in time.
            upstream.advance(self.now)
        self._restart_crashed()
        if self.submissions_are_readable:
            self.scheduler.record_read(self.now)
        if self.directory_is_up:
            self.report_upstream_list()
        self._assign_upstreams()
        if self.hears_restarts:
            self._report_restarts()
            self._report_replacements()
        for name in list(self.upstreams):
            if name in self.scheduler.cell_state.upstreams:
                self.poll_upstream(name)
        self.commit()
        orders = self.scheduler.schedule(
            self.now, WALL_CLOCK_START + self.now, 16, self.lease_holds
        )
        for order in orders:
            if self.drop_order(order):
                continue
            if isinstance(order, StartRun):
                self.memories.record_order(self._find_assignment(order.upstream), order)
            if isinstance(order, StartRun | StopRun) and self.hold_back(order):
                held = HeldOrder(self.find_token(order), order, self.now)
                self.held_orders.append(held)
                if isinstance(order, StartRun):
                    self._report_start(order, UNKNOWN, "")
                continue
            self.execute_order(self.find_token(order), order)

    def run_for(self, duration: timedelta) -> None:
        """Step for a duration."""
        end = self.now + duration
        while self.now < end:
            self.step()

    def commit(self) -> None:
        """Store the pending changes, if the store is up."""
        changes = self.scheduler.changes.take(MAX_RECORDS)
        if not self.store_is_up:
            self.scheduler.changes.requeue(changes)
            return
        for record in changes.records:
            self.records[record.job] = record
        self.started_version = self.scheduler.newest_version
        self.scheduler.allow_starts(self.started_version)
        watched = self.scheduler.list_watched()
        stored = {}
        assignments = {}
        for each in watched:
            stored[each.name] = self.scheduler.find_stored_assignment(each)
            if each.lapse_at is None:
                assignments[each.name] = stored[each.name].number
        self.stored_assignments = stored
        self.scheduler.update_recorded(assignments, self.now)
        self.scheduler.changes.confirm(changes)

    def execute_order(self, token: int, order: Order) -> None:
        """Execute an order under the fencing token that it was given with."""
        if isinstance(order, AskPermits):
            self._answer_request(order)
            return
        upstream = self.find_running(order.upstream)
        if isinstance(order, AcknowledgeEnds):
            self._acknowledged[order.upstream] = order.number
        if isinstance(order, WatchUpstream):
            # The executor reports all ends again that are not acknowledged.
            self._forwarded.pop(order.upstream, None)
            self.memories.watch(order, self.now)
        if upstream is None or not isinstance(order, StartRun | StopRun):
            return
        unreachable = upstream.name in self.silent
        if isinstance(order, StartRun):
            self._execute_start(token, order, upstream, unreachable)
            return
        # Executors send nothing else to an incarnation that an order is not for.
        unreachable = unreachable or upstream.name != order.upstream
        if not unreachable:
            upstream.stop(token, order.task, order.run, self.now)
        answered = not unreachable and not self.lose_answer(order)
        if answered:
            self.memories.record_stop(order, self.now)
        number = self._query_counts.get(order.upstream, 0) + 1
        self.scheduler.handle_report(
            StopSettled(order.upstream, order.task, order.run, answered, number),
            self.now,
        )

    def _execute_start(
        self, token: int, order: StartRun, upstream: FakeUpstream, unreachable: bool
    ) -> None:
        """Have an upstream start a run, and report the outcome."""
        reason = ""
        if not unreachable:
            until = self.now + START_EXPIRY
            assignment = self._find_assignment(order.upstream)
            self.memories.record_start(assignment, self.now, START_EXPIRY)
            reason = upstream.start(token, order.task, order.run, until, self.now)
        if unreachable or self.lose_answer(order):
            self._report_start(order, UNKNOWN, "")
        elif reason == "fence":
            self._report_start(order, FENCED, reason)
        else:
            if reason:
                self.memories.record_refusal(order)
            self._report_start(order, REFUSED if reason else STARTED, reason)
        if order.task in self.crashing and not reason and not unreachable:
            self._crash(upstream.name, order.task)

    def _answer_request(self, order: AskPermits) -> None:
        """Answer a request for permits as the advice service does."""
        self.permit_requests.append(order)
        tickets = {
            name: "ticket" for name in order.upstreams if name not in self.denied
        }
        self.scheduler.handle_report(
            PermitsAnswered(
                order.job,
                order.occurrence,
                order.step,
                tickets,
                timedelta(seconds=2),
            ),
            self.now,
        )

    def _crash(self, name: str, task: TaskId) -> None:
        """Crash an upstream because it has started a crashing task."""
        self.upstreams[name].crash()
        self.silent.add(name)
        self._restarts[name] = self.now + self.restart_time
        self.crashes[task] = self.crashes.get(task, 0) + 1
        if self.crashes[task] > MAX_CRASHING_STARTS:
            self.history.violations.append(f"{task} was started again and again")

    def _restart_crashed(self) -> None:
        """Bring back crashed upstreams as new incarnations at their addresses."""
        for name, due in list(self._restarts.items()):
            if self.now >= due:
                del self._restarts[name]
                if self.keeps_identity:
                    self.restart_upstream(name)
                else:
                    self.replace_upstream(name)

    def replace_upstream(self, name: str) -> None:
        """Replace an upstream by one with another identity at its address."""
        self._start_in_place(name, f"{name}+", None)

    def restart_upstream(self, name: str) -> str:
        """Start an upstream anew under its identity, and return its new name.

        Orders that it held are gone. Those of this very step are still under way, and
        may reach the next incarnation.
        """
        before = self.upstreams[name]
        born = int(self.now / timedelta(milliseconds=1))
        if born == before.born:
            born += 1
        identity = before.identity
        new_name = f"{identity}@{born}"
        kept = []
        for held in self.held_orders:
            is_for_it = held.order.upstream.partition("@")[0] == identity
            if not is_for_it or held.held_at == self.now:
                kept.append(held)
        self.held_orders = kept
        self._start_in_place(name, new_name, born)
        return new_name

    def deliver_late_start(self, held: HeldOrder) -> None:
        """Have the upstream that answers now carry out a start that was held back.

        One of this very step may have reached a later incarnation than it is for. It
        does not expire there, as its time is one of the earlier clock, and the executor
        finds out at once who has answered.
        """
        order = held.order
        upstream = self.find_running(order.upstream)
        if upstream is None or upstream.name in self.silent:
            return
        until = self.now + timedelta(seconds=1)
        if upstream.name != order.upstream and held.held_at == self.now:
            until = self.now + OLD_CLOCK_AHEAD
            self.report_restart(order.upstream)
        upstream.start(held.token, order.task, order.run, until, self.now)

    def _start_in_place(self, name: str, new_name: str, born: int | None) -> None:
        """Start an upstream without runs at the address of another, which ends."""
        upstreams = {}
        for each, upstream in self.upstreams.items():
            if each == name:
                upstream.crash()
                self.silent.discard(name)
                fresh = FakeUpstream(
                    new_name,
                    upstream.capacity,
                    self.history,
                    born,
                    max_lease=self.max_lease,
                )
                fresh.durations = upstream.durations
                upstreams[fresh.name] = fresh
            else:
                upstreams[each] = upstream
        self.upstreams = upstreams

    def _report_start(self, order: StartRun, outcome: str, reason: str) -> None:
        """Report the outcome of a start to the scheduler."""
        self.scheduler.handle_report(
            StartSettled(order.upstream, order.task, order.run, outcome, reason),
            self.now,
        )

    def take_over(
        self,
        *,
        lapse_in: timedelta = timedelta(seconds=16),
        lost_executors: Collection[str] = (),
    ) -> None:
        """Replace the leader by a new one that starts from the stored state.

        The executors of the upstreams ``lost_executors`` are lost with it, by default
        none; the others tell the new leader what they remember.
        """
        assignments = {}
        watched = self.scheduler.list_watched()
        for upstream in watched:
            assignments[upstream.name] = self.stored_assignments.get(
                upstream.name, NO_ASSIGNMENT
            )
        self.scheduler = Scheduler(
            self.scheduler.epoch + 1,
            self.configuration,
            self.started_version,
            max_lease=self.max_lease,
            lease=LEASE,
            remote_factor=self.remote_factor,
        )
        self.scheduler.allow_starts(self.started_version)
        self._acknowledged.clear()
        self._forwarded.clear()
        for submission in self.history.submissions.values():
            self.accept_stored(submission)
        for upstream in watched:
            self.scheduler.inherit_upstream(
                upstream.entry, self.now + lapse_in, assignments[upstream.name]
            )
        for name in lost_executors:
            self.memories.forget(assignments.get(name, NO_ASSIGNMENT).number)
        self.memories.end_renewals(self.now)
        for message in self.memories.describe_all(self.now):
            self.scheduler.handle_report(message, self.now)

    def accept_stored(self, submission: Submission) -> None:
        """Have the scheduler accept a job with the progress that is stored of it."""
        self.scheduler.accept_job(
            submission,
            self.now,
            WALL_CLOCK_START + self.now,
            version=self.versions.get(submission.job, 0),
            record=self.records.get(submission.job),
        )

    def read_state(self, job: str) -> JobState:
        """Return the state of a job."""
        return self.scheduler.jobs[job].state
