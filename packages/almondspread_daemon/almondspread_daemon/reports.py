"""Documents that tell how this instance, the cell and single workloads stand."""

import asyncio
import resource
from datetime import timedelta
from typing import Any

import msgpack

from almondspread.changes import CachedResource, ResourceCache
from almondspread.resources import Capacity, Workload
from almondspread.scheduling import assign_tasks
from almondspread.scheduling.tasks import WorkloadState, make_workload_name
from almondspread_daemon.membership import Neighbours
from almondspread_daemon.peers import CallContext
from almondspread_daemon.peers.messages import Document, FetchStatus, FetchTasks
from almondspread_daemon.shards import ScheduleShard, ShardManager

ASK_TIMEOUT = timedelta(seconds=2)


class StatusReporter:
    """Answers questions about this instance and asks the others theirs."""

    def __init__(
        self,
        name: str,
        failure_domain: str,
        schedule_shards: tuple[str, ...],
        cache: ResourceCache,
        neighbours: Neighbours,
        keeper: ShardManager,
    ) -> None:
        self.ready = False
        self._name = name
        self._failure_domain = failure_domain
        self._schedule_shards = schedule_shards
        self._cache = cache
        self._neighbours = neighbours
        self._keeper = keeper

    def describe_status(self) -> dict[str, Any]:
        """Return how this instance stands."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        capacity = Capacity(0, 0, 0)
        committed = Capacity(0, 0, 0)
        shards = []
        for shard, runner in self._keeper.runners.items():
            epoch = self._keeper.ownerships[shard].epoch
            described = {"shard": shard, "epoch": epoch}
            if isinstance(runner, ScheduleShard):
                described.update(_count_tasks(runner))
                for worker in runner.scheduler.cell.iterate_workers():
                    capacity = capacity.plus(worker.capacity)
                    committed = committed.plus(worker.committed)
            shards.append(described)
        return {
            "name": self._name,
            "failure_domain": self._failure_domain,
            "ready": self.ready,
            "leaving": self._keeper.leaving,
            "revision": self._cache.revision,
            "peers": self._describe_peers(),
            "shards": shards,
            "faults": dict(self._keeper.faults),
            "capacity": _describe_capacity(capacity),
            "committed": _describe_capacity(committed),
            "control": {
                "cpu_seconds": round(usage.ru_utime + usage.ru_stime, 3),
                "resident_mib": round(read_resident_mib(), 1),
            },
        }

    def _describe_peers(self) -> list[dict[str, Any]]:
        """Return how the other instances stand."""
        live = {member.name for member in self._neighbours.list_live()}
        peers = []
        for member in self._neighbours.members.list_all():
            peers.append(
                {
                    "name": member.name,
                    "failure_domain": member.failure_domain,
                    "state": "alive" if member.name in live else "silent",
                    "revision": member.revision,
                }
            )
        return peers

    async def describe_cell(self) -> dict[str, Any]:
        """Return how all instances stand, and which gave no reply."""
        members = self._neighbours.list_live()
        calls = []
        for member in members:
            calls.append(self._ask(member.address, FetchStatus()))
        documents = await asyncio.gather(*calls)
        instances = [self.describe_status()]
        unreachable = []
        for member, document in zip(members, documents, strict=True):
            if document is None:
                unreachable.append(member.name)
                continue
            instances.append(document)
        instances.sort(key=lambda status: status["name"])
        return {"instances": instances, "unreachable": unreachable}

    async def _ask(self, address: str, message: Any) -> Any:
        """Return the document that a peer answers, ``None`` for no answer."""
        outcome = await self._neighbours.call(address, message, ASK_TIMEOUT)
        if outcome.is_error() or not isinstance(outcome.ok, Document):
            return None
        return msgpack.unpackb(outcome.ok.data)

    async def describe_tasks(self, item: CachedResource) -> list[dict[str, Any]]:
        """Return how each task of a workload stands, from the owners of its shards."""
        if not isinstance(item.resource, Workload):
            return []
        homes = assign_tasks(
            item.name, item.created_revision, item.resource, self._schedule_shards
        )
        tasks: list[dict[str, Any]] = []
        for shard in sorted({*homes, *item.reports}):
            message = FetchTasks(shard, item.kind, item.name)
            tasks.extend(await self._find_tasks(message, item.created_revision))
        tasks.sort(key=lambda task: task["task"])
        return tasks

    async def _find_tasks(
        self, message: FetchTasks, created_revision: int
    ) -> list[dict[str, Any]]:
        """Return the tasks that one shard has of a workload."""
        workload = make_workload_name(message.kind, message.name, created_revision)
        if message.shard in self._keeper.runners:
            return self.list_tasks(message.shard, workload)
        owner = self._neighbours.find_owner(message.shard)
        if owner is None:
            return []
        asked = FetchTasks(message.shard, "", workload)
        return await self._ask(owner.address, asked) or []

    def list_tasks(self, shard: str, workload: str) -> list[dict[str, Any]]:
        """Return the tasks of a workload in an owned shard."""
        runner = self._keeper.runners.get(shard)
        if not isinstance(runner, ScheduleShard):
            return []
        state = runner.scheduler.state.workloads.get(workload)
        if state is None:
            return []
        waiting = runner.scheduler.explain_waiting(workload)
        reasons = {}
        for count in waiting.reasons if waiting else ():
            reasons[count.reason] = count.workers
        if waiting is not None and waiting.limit:
            reasons[waiting.limit] = waiting.workers
        return _describe_tasks(state, reasons)

    async def take_fetch_status(self, _: FetchStatus, __: CallContext) -> Document:
        """Answer a peer that asks how this instance stands."""
        return Document(msgpack.packb(self.describe_status()))

    async def take_fetch_tasks(self, message: FetchTasks, _: CallContext) -> Document:
        """Answer a peer that asks for the tasks of a workload."""
        return Document(msgpack.packb(self.list_tasks(message.shard, message.name)))


def _count_tasks(runner: ScheduleShard) -> dict[str, int]:
    """Return how many tasks of a shard run and wait."""
    running = 0
    waiting = 0
    for state in runner.scheduler.state.workloads.values():
        report = state.make_status()
        running += report["running"]
        waiting += report["waiting"]
    workers = len(runner.scheduler.cell)
    return {"running": running, "waiting": waiting, "workers": workers}


def _describe_tasks(
    state: WorkloadState, reasons: dict[str, int]
) -> list[dict[str, Any]]:
    """Return the documents of a workload's tasks."""
    tasks = []
    for task in state.tasks.values():
        phase = task.phase
        if task.attempt is not None and task.attempt.acknowledged:
            phase = "running"
        tasks.append(
            {
                "task": f"{state.kind}/{state.name}#{task.index}",
                "state": phase,
                "worker": task.attempt.worker if task.attempt else "",
                "attempt": task.attempt_number,
                "reasons": reasons if phase == "waiting" else {},
            }
        )
    return tasks


def _describe_capacity(capacity: Capacity) -> dict[str, int]:
    """Return an amount as a document."""
    return {
        "cpu_millis": capacity.cpu_millis,
        "memory_mib": capacity.memory_mib,
        "accelerators": capacity.accelerators,
    }


def read_resident_mib() -> float:
    """Return the resident memory of this process in MiB."""
    with open("/proc/self/statm", encoding="ascii") as file:
        pages = int(file.read().split()[1])
    return pages * resource.getpagesize() / (1024 * 1024)
