"""Small entry instances on loopback for tests of the command line."""

import asyncio
import json
import unittest
from unittest import mock

from click.testing import CliRunner
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from almondspread_cli.command import main


class FakeEntry:
    """Answers by a coroutine function and notes what it was asked."""

    def __init__(self, answer):
        self.answer = answer
        self.asked = []

    def start(self):
        entry = self

        class Handler(RequestHandler):
            async def prepare(self):
                entry.asked.append(self.request)
                await entry.answer(self)

            def compute_etag(self):
                return None

        application = Application([(".*", Handler)], log_function=lambda _: None)
        sockets = bind_sockets(0, "127.0.0.1")
        self.server = HTTPServer(application)
        self.server.add_sockets(sockets)
        self.address = f"127.0.0.1:{sockets[0].getsockname()[1]}"
        return self

    @property
    def paths(self):
        return [request.path for request in self.asked]

    def bodies(self):
        return [json.loads(request.body) for request in self.asked if request.body]


def answer_json(document, status=200):
    """Return an answer of one JSON document."""

    async def answer(handler):
        handler.set_status(status)
        handler.finish(json.dumps(document))

    return answer


def answer_problem(status, code, not_run=None, **more):
    """Return an answer of one problem."""
    problem = {"code": code, "message": f"because of {code}", "remedy": f"mend {code}"}
    return answer_json({**problem, "not_run": not_run, **more}, status)


async def cut(handler):
    """Close the connection in place of an answer."""
    handler.request.connection.stream.close()
    handler._finished = True


def answer_in_turn(*answers):
    """Return an answer that differs from call to call; the last one stays."""
    left = list(answers)

    async def answer(handler):
        await (left.pop(0) if len(left) > 1 else left[0])(handler)

    return answer


def stream_then_cut(*events):
    """Return an answer that streams JSON lines and is then cut."""

    async def answer(handler):
        for event in events:
            handler.write(json.dumps(event) + "\n")
        await handler.flush()
        await cut(handler)

    return answer


class EntryTestCase(unittest.IsolatedAsyncioTestCase):
    """Runs the command line in a thread beside fake entries."""

    def start_entry(self, answer):
        entry = FakeEntry(answer).start()
        self.addCleanup(entry.server.stop)
        return entry

    def reserve_address(self):
        """Return an address that nothing listens on."""
        (reserved,) = bind_sockets(0, "127.0.0.1")
        address = f"127.0.0.1:{reserved.getsockname()[1]}"
        reserved.close()
        return address

    async def invoke(self, entries, *words, text=None, environment=None):
        options = []
        for entry in entries:
            options += ["--entry", getattr(entry, "address", entry)]
        variables = {"ALMONDSPREAD_TOKEN": "", **(environment or {})}
        runner = CliRunner(env=variables)
        # A real pause would only slow the tests down.
        instant = mock.patch(
            "almondspread.clock.SystemClock.sleep", lambda *_: asyncio.sleep(0)
        )
        with instant:
            return await asyncio.to_thread(
                runner.invoke, main, [*options, *words], input=text
            )
