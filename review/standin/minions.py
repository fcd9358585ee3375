"""Stand-ins of minions, as PROTOCOL.md describes them, with a record of all runs."""

import asyncio
import random
import time

from web import Server

HEARTBEAT_SECONDS = 1.5
STOP_SECONDS = 0.3
STARTUP_SECONDS = 0.5
TICK_SECONDS = 0.02
# A minion that has crashed is back after this time.
BACK_SECONDS = 3.0
MAX_ENDS = 500


class Work:
    """What the tasks of one job do: seconds of work, and whether they fail.

    A task crashes its minion ``crashes_after`` seconds after its start, unless that is
    None.
    """

    def __init__(self, steps, seconds, fails=False, crashes_after=None):
        self.steps = steps
        self.seconds = seconds
        self.fails = fails
        self.crashes_after = crashes_after


class Run:
    """A run that has begun and not ended."""

    def __init__(self, task, number, work, lasting, now):
        self.task = task
        self.number = number
        self.work = work
        self.lasting = lasting
        self.began = now
        self.stops_at = None


class Minion:
    """One life of a minion. ``note`` gets each start, each end and each end
    that the system has taken note of.
    """

    def __init__(
        self, ident, service, zone, labels, capacity, jobs, note, max_hold=6.0
    ):
        self.ident = ident
        self.service = service
        self.zone = zone
        self.labels = labels
        self.capacity = capacity
        self.jobs = jobs
        self.note = note
        self.max_hold = max_hold
        self.born = int(time.time() * 1000)
        self.origin = time.monotonic() - 5.0
        self.token = 0
        self.until = 0.0
        self.runs = {}
        self.ends = []
        self.last_end = 0
        self.highest = {}
        self.sequence = 0
        self.state = "ready"
        self.is_up = True
        self.server = Server(self._handle)
        self.address = ""
        self.background = []

    def clock(self):
        return time.monotonic() - self.origin

    async def start(self, host, store, port=0):
        self.store = store
        port = await self.server.start(host, port)
        self.address = f"{host}:{port}"
        await self._beat(store)
        self.background = [
            asyncio.create_task(self._run_beats(store)),
            asyncio.create_task(self._run_clock()),
        ]

    async def crash(self, back_after):
        """End at once, with all that runs, and start again under the same id.

        The entry stays until the minion writes it again.
        """
        host, _, port = self.address.rpartition(":")
        store = self.store
        self.stop()
        for run in list(self.runs.values()):
            self.note("end", self.ident, run.task, run.number, "crashed")
        self.runs.clear()
        self.ends.clear()
        await asyncio.sleep(back_after)
        self.born = int(time.time() * 1000)
        self.origin = time.monotonic() - 1.0
        self.token, self.until, self.last_end, self.sequence = 0, 0.0, 0, 0
        self.highest.clear()
        self.is_up = True
        self.server = Server(self._handle)
        await self.start(host, store, int(port))

    async def leave(self, store):
        """End at once, with all that runs, and remove the entry."""
        self.stop()
        for run in list(self.runs.values()):
            self.note("end", self.ident, run.task, run.number, "gone")
        self.runs.clear()
        await store.apply(removals=[("servers", "", self.ident)])

    def stop(self):
        self.is_up = False
        for task in self.background:
            task.cancel()
        self.server.stop()

    async def _beat(self, store):
        self.sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": 8,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": self.sequence,
            "capacity": self.capacity,
            "labels": self.labels,
            "born": self.born,
        }
        await store.put("servers", self.ident, entry)

    async def _run_beats(self, store):
        # Minions do not beat in step with each other.
        await asyncio.sleep(random.uniform(0.0, HEARTBEAT_SECONDS))
        while True:
            await self._beat(store)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _run_clock(self):
        while self.is_up:
            self.advance()
            await asyncio.sleep(TICK_SECONDS)

    def advance(self):
        if not self.is_up:
            return
        now = self.clock()
        for run in list(self.runs.values()):
            after = run.work.crashes_after
            if after is not None and now >= run.began + after:
                self.is_up = False
                self.crash_task = asyncio.create_task(self.crash(BACK_SECONDS))
                return
            if run.stops_at is not None and run.stops_at <= now:
                self._end(run, "stopped")
            elif not run.lasting and run.began + run.work.seconds <= min(
                now, self.until
            ):
                self._end(run, "failed" if run.work.fails else "done")
            elif self.until <= now:
                self._end(run, "lapsed")

    def _end(self, run, how):
        del self.runs[run.task]
        self.last_end += 1
        self.ends.append([self.last_end, run.task, run.number, how, ""])
        self.note("end", self.ident, run.task, run.number, how)

    def percent(self, run):
        seconds = STARTUP_SECONDS if run.lasting else run.work.seconds
        return int(100 * min(1.0, (self.clock() - run.began) / max(seconds, 0.001)))

    def free_cpu(self):
        used = 0
        for run in self.runs.values():
            step = int(run.task.split(".")[2])
            used += run.work.steps[step].get("cpu", 0)
        return self.capacity["cpu"] - used

    async def _handle(self, request):
        if request.headers.get("x-expect-instance") != self.ident:
            return 421, self._close({})
        self.advance()
        call = request.json()
        if call.get("fencing_token", 0) < self.token:
            return 409, self._close({"reason": "fence"})
        self.token = call.get("fencing_token", 0)
        match request.path:
            case "/run-start":
                return self._start(call)
            case "/run-stop":
                return self._stop(call)
            case "/hold":
                return await self._hold(call)
            case "/pace":
                return 200, self._close({})
        return 400, self._close({})

    def _close(self, document):
        return {"clock_ms": int(self.clock() * 1000), "born": self.born, **document}

    def _extend(self, until_ms):
        longest = self.clock() + self.max_hold
        self.until = max(self.until, min(until_ms / 1000, longest))

    def _start(self, call):
        task, number = call["task"], call["run_id"]
        running = self.runs.get(task)
        if running is not None and running.number == number:
            return 200, self._close({})
        if number <= self.highest.get(task, 0):
            self._extend(call["until_ms"])
            return 409, self._close({"reason": "old"})
        if call["until_ms"] / 1000 <= self.clock():
            return 409, self._close({"reason": "late"})
        self._extend(call["until_ms"])
        self.highest[task] = number
        job, _, step, _ = task.split(".")
        work = self.jobs.get(job)
        if work is None:
            self.note("unasked", self.ident, task, number, "")
            return 400, self._close({})
        lasting = bool(work.steps[int(step)].get("long_running"))
        self.runs[task] = Run(task, number, work, lasting, self.clock())
        self.note("start", self.ident, task, number, "")
        return 200, self._close({})

    def _stop(self, call):
        task, number = call["task"], call["run_id"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.number <= number and run.stops_at is None:
            run.stops_at = self.clock() + STOP_SECONDS
        return 200, self._close({})

    async def _hold(self, call):
        seen = call.get("last_seen", 0)
        for number, task, run, how, _ in self.ends:
            if number <= seen:
                self.note("noted", self.ident, task, run, how)
        self.ends = [end for end in self.ends if end[0] > seen]
        if "until_ms" in call:
            self._extend(call["until_ms"])
        due = time.monotonic() + min(2.0, call.get("wait_ms", 0) / 1000)
        while not self.ends and time.monotonic() < due:
            await asyncio.sleep(TICK_SECONDS)
            self.advance()
        if call.get("fencing_token", 0) < self.token:
            return 409, self._close({"reason": "fence"})
        running = []
        for run in self.runs.values():
            cpu = run.work.steps[int(run.task.split(".")[2])].get("cpu", 0)
            running.append([run.task, run.number, "", self.percent(run), cpu])
        return 200, self._close({"running": running, "finished": self.ends[:MAX_ENDS]})
