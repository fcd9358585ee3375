"""A minion, as the page on running tasks describes it, over HTTP on loopback."""

import asyncio
import json
import time

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

LISTED_ENDS = 500
STOP_S = 0.3
STARTUP_S = 0.5
POLL_S = 0.02


class Run:
    """One run of a task that has started and not ended, at a pace in percent."""

    def __init__(self, task, number, duration):
        self.task = task
        self.number = number
        self.duration = duration
        self.stops_at = None
        self.pace = 100
        self._worked = 0.0
        self._worked_at = time.monotonic()

    @property
    def worked(self):
        """Seconds of work at full pace that are done."""
        now = time.monotonic()
        self._worked += (now - self._worked_at) * self.pace / 100
        self._worked_at = now
        return self._worked

    def set_pace(self, percent):
        """Let the run work at a share of its speed from now on."""
        self._worked = self.worked
        self.pace = percent

    @property
    def percent(self):
        """How far the run is; one that lasts is at work after a short startup."""
        work = STARTUP_S if self.duration is None else self.duration
        return int(min(1.0, self.worked / work) * 100)

    @property
    def is_done(self):
        """Whether all work is done; a task that lasts is never done."""
        return self.duration is not None and self.worked >= self.duration


class Minion:
    """One life of a minion.

    ``choose_duration`` returns how many seconds a task takes, ``None`` for one that
    lasts. ``record`` is called with each start, end and note of an end.
    """

    def __init__(self, identifier, capacity, max_hold_s, choose_duration, record):
        self.id = identifier
        self.capacity = capacity
        self.born = int(time.time() * 1000)
        self.runs = {}
        self.ends = []
        self.down = False
        self._began = time.monotonic()
        self._max_hold_s = max_hold_s
        self._choose_duration = choose_duration
        self._record = record
        self._token = 0
        self._until = 0.0
        self._last_end = 0
        self._highest = {}

    @property
    def clock(self):
        """Seconds of this life, by the steady clock."""
        return time.monotonic() - self._began

    def advance(self):
        """End the runs that are over."""
        if self.down:
            return
        now = time.monotonic()
        if self.runs and self.clock >= self._until:
            self._record("lapse", self.id, runs=len(self.runs))
            for run in list(self.runs.values()):
                self._end(run, "lapsed")
        for run in list(self.runs.values()):
            if run.stops_at is not None and run.stops_at <= now:
                self._end(run, "stopped")
            elif run.is_done:
                self._end(run, "done")

    def _end(self, run, how):
        del self.runs[run.task]
        self._last_end += 1
        self.ends.append([self._last_end, run.task, run.number, how, ""])
        self._record("end", self.id, task=run.task, run=run.number, how=how)

    def take_down(self):
        """End everything at once, as upkeep of the machine does."""
        self.advance()
        for run in self.runs.values():
            self._record("ended-by-upkeep", self.id, task=run.task, percent=run.percent)
        self.runs.clear()
        self.down = True

    def check_token(self, token):
        """Tell whether an order's token is not superseded, and keep the highest."""
        if token < self._token:
            return False
        self._token = token
        return True

    def extend(self, until_ms):
        """Extend the lease of all that runs."""
        longest = self.clock + self._max_hold_s
        self._until = max(self._until, min(until_ms / 1000, longest))

    def start(self, call):
        """Carry out a start; return the reason of a rejection, or an empty string."""
        self.advance()
        if not self.check_token(call.get("fencing_token", 0)):
            return "fence"
        task, number = call["task"], call["run_id"]
        known = self.runs.get(task)
        if known is not None and known.number == number:
            return ""
        if number <= self._highest.get(task, 0) or known is not None:
            self.extend(call["until_ms"])
            return "old"
        if call["until_ms"] / 1000 <= self.clock:
            return "late"
        self.extend(call["until_ms"])
        self.runs[task] = Run(task, number, self._choose_duration(task))
        self._record("start", self.id, task=task, run=number)
        return ""

    def stop(self, call):
        """Carry out a stop; return the reason of a rejection, or an empty string."""
        self.advance()
        if not self.check_token(call.get("fencing_token", 0)):
            return "fence"
        task, number = call["task"], call["run_id"]
        self._highest[task] = max(self._highest.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.number == number and run.stops_at is None:
            run.stops_at = time.monotonic() + STOP_S
            self._record("stop-order", self.id, task=task, run=number)
        return ""

    def set_pace(self, call):
        """Carry out an order on a pace; return the reason of a rejection, or ``""``."""
        self.advance()
        if not self.check_token(call.get("fencing_token", 0)):
            return "fence"
        run = self.runs.get(call["task"])
        if run is not None and run.number == call["run_id"]:
            run.set_pace(call["percent"])
        self._record("pace", self.id, task=call["task"], percent=call["percent"])
        return ""

    def note_ends(self, last_seen):
        """Forget the ends up to a number."""
        for end in self.ends:
            if end[0] <= last_seen:
                self._highest[end[1]] = max(self._highest.get(end[1], 0), end[2])
                self._record(
                    "noted", self.id, task=end[1], run=end[2], how=end[3], number=end[0]
                )
        self.ends = [end for end in self.ends if end[0] > last_seen]

    def describe(self):
        """Return both lists of an answer to a hold call, as the text of JSON fields."""
        running = []
        for run in self.runs.values():
            running.append(f'["{run.task}",{run.number},"",{run.percent}]')
        finished = json.dumps(self.ends[:LISTED_ENDS], separators=(",", ":"))
        return f'"running":[{",".join(running)}],"finished":{finished}'

    def make_entry(self, service, address, zone, rack):
        """Return the minion's entry in the store."""
        return {
            "service": service,
            "address": address,
            "zone": zone,
            "version": "1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": int(self.clock / 1.5),
            "born": self.born,
            "capacity": self.capacity,
            "labels": ["a", rack],
        }


class Endpoint:
    """The address of a minion; the next life of it may run at the same address."""

    def __init__(self, minion, host, port):
        self.minion = minion
        self.server = HTTPServer(
            Application(
                [(r"/([a-z-]+)", _Handler, {"endpoint": self})], log_function=_skip
            )
        )
        sockets = bind_sockets(port, host)
        self.port = sockets[0].getsockname()[1]
        self.server.add_sockets(sockets)


class _Handler(RequestHandler):
    def initialize(self, endpoint):
        self._endpoint = endpoint

    async def post(self, path):
        minion = self._endpoint.minion
        if minion.down:
            self._break_off()
            return
        if self.request.headers.get("X-Expect-Instance", minion.id) != minion.id:
            self.set_status(421)
            self.finish()
            return
        call = json.loads(self.request.body)
        if path == "hold":
            await self._hold(minion, call)
        elif path == "run-start":
            self._settle(minion, minion.start(call))
        elif path == "run-stop":
            self._settle(minion, minion.stop(call))
        elif path == "pace":
            self._settle(minion, minion.set_pace(call))
        else:
            self.send_error(404)

    async def _hold(self, minion, call):
        minion.advance()
        if not minion.check_token(call.get("fencing_token", 0)):
            self._settle(minion, "fence")
            return
        minion.note_ends(call.get("last_seen", 0))
        if "until_ms" in call:
            minion.extend(call["until_ms"])
        until = time.monotonic() + call.get("wait_ms", 0) / 1000
        while not minion.ends and time.monotonic() < until and not minion.down:
            await asyncio.sleep(POLL_S)
            minion.advance()
        if minion.down:
            self._break_off()
            return
        self._answer(minion, 200, minion.describe())

    def _settle(self, minion, reason):
        self._answer(
            minion, 409 if reason else 200, f'"reason":"{reason}"' if reason else ""
        )

    def _answer(self, minion, status, fields):
        self.set_status(status)
        clock = f'"clock_ms":{int(minion.clock * 1000)},"born":{minion.born}'
        self.finish("{" + clock + ("," + fields if fields else "") + "}")

    def _break_off(self):
        self.request.connection.stream.close()
        self._finished = True


def _skip(_):
    """Write no access log."""
