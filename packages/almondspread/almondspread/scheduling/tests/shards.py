"""A test harness of one shard: a scheduler, its clock and simulated workers."""

import random

import msgpack

from almondspread.clock import ManualClock
from almondspread.interfaces import (
    AttemptEnd,
    AttemptUsage,
    Instance,
    WorkerReport,
)
from almondspread.resources import (
    BatchJob,
    Capacity,
    GangJob,
    Metadata,
    Service,
    TaskTemplate,
    describe_resource,
)
from almondspread.scheduling import Scheduler, ShardState
from almondspread.scheduling.leases import LeaseTerms
from almondspread.scheduling.scheduler import DesiredWorkload
from almondspread.scheduling.tasks import WAITING, make_workload_name

WORKER = Capacity(4_000, 4_096, 1)
TASK = Capacity(1_000, 512)
KINDS = {"service": Service, "batch": BatchJob, "gang": GangJob}


def make_desired(kind, name, tasks, size=TASK, **fields):
    """Return a desired workload of ``tasks`` tasks, all assigned to the shard."""
    checkpointable = fields.pop("checkpointable", False)
    team = fields.pop("team", "")
    template = TaskTemplate(
        size.cpu_millis,
        size.memory_mib,
        size.accelerators,
        ("serve",),
        checkpointable=checkpointable,
    )
    resource = KINDS[kind](Metadata(name, team), tasks, template, **fields)
    document = msgpack.packb(describe_resource(resource))
    workload = make_workload_name(kind, name, 1)
    return DesiredWorkload(workload, 1, document, tuple(range(tasks)))


class Shard:
    """A scheduler with a manual clock and simulated workers.

    The test decides when the workers report which attempts run or have ended.
    """

    def __init__(self, workers=3, capacity=WORKER, state=None):
        self.clock = ManualClock()
        self.workers = []
        for number in range(workers):
            self.workers.append(
                Instance(
                    f"w{number}", "worker", "", "umea", f"r{number}", capacity=capacity
                )
            )
        self.scheduler = Scheduler(
            ShardState(), LeaseTerms(), self.clock, random.Random(1), "schedule/umea/0"
        )
        if state is not None:
            self.scheduler.restore(state)
        self.scheduler.set_workers(self.workers)

    @property
    def state(self):
        """The state of the shard."""
        return self.scheduler.state

    def declare(self, *desired):
        """Declare workloads in addition to those declared before."""
        for item in desired:
            self.scheduler.declare_workload(item, self.clock.now().timestamp())

    def decide(self, limit=100):
        """Run one scheduling pass, mark its events as committed and return them."""
        self.scheduler.update_quarantine()
        self.scheduler.remove_cancelled()
        self.scheduler.place(limit)
        batch = self.scheduler.decisions.take_batch()
        self.scheduler.decisions.mark_committed(batch)
        return batch

    def list_attempts(self):
        """Return all attempts that are not known to have ended, by worker."""
        found = []
        for worker in self.workers:
            found.extend(self.state.list_attempts(worker.name))
        return found

    def get_task_workers(self, workload):
        """Return the workers of a workload's bound tasks, by the index of the task."""
        workers = {}
        for task in self.state.workloads[workload].tasks.values():
            if task.attempt is not None:
                workers[task.index] = task.attempt.worker
        return workers

    def report_running(self):
        """Have every worker report its committed attempts as running."""
        for attempt in self.list_attempts():
            if attempt.committed:
                usage = AttemptUsage(attempt.name, 0, 0)
                self.scheduler.handle_report(attempt.worker, WorkerReport((usage,)))

    def report_end(self, attempt, outcome="finished", **fields):
        """Have the worker of an attempt report that it ended."""
        end = AttemptEnd(attempt.name, outcome, **fields)
        self.scheduler.handle_report(attempt.worker, WorkerReport((), (end,)))

    def report_stops(self):
        """Have the workers report that they stopped all attempts as instructed."""
        now = self.clock.now().timestamp()
        for worker in self.workers:
            message = self.scheduler.compose_exchange(worker.name, now, ())
            for name in message.stops:
                self._report_one_end(worker.name, AttemptEnd(name, "stopped"))
            for name in message.checkpoints:
                end = AttemptEnd(name, "stopped", checkpoint="half")
                self._report_one_end(worker.name, end)

    def _report_one_end(self, worker, end):
        """Have a worker report one end."""
        self.scheduler.handle_report(worker, WorkerReport((), (end,)))


def recount(state):
    """Return the phase counts, running count, attempt count and waiting tasks.

    They are counted by a scan of all tasks, as a reference for the counts that
    ``WorkloadState`` updates with each change.
    """
    counts = dict.fromkeys(state.phase_counts, 0)
    running = attempts = 0
    waiting = set()
    for task in state.tasks.values():
        if task.attempt is not None:
            attempts += 1
        if not task.desired:
            continue
        if task.phase == WAITING:
            waiting.add(task.index)
        if task.standby:
            continue
        counts[task.phase] += 1
        if task.attempt is not None and task.attempt.acknowledged:
            running += 1
    return counts, running, attempts, waiting
