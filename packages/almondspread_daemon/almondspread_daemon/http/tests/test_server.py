import asyncio
import unittest

from attrs import evolve
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient
from tornado.testing import bind_unused_port
from tornado.web import Application, RequestHandler

from almondspread_daemon.http.server import make_server
from almondspread_daemon.settings import HttpSettings

REQUEST = b"GET / HTTP/1.1\r\nHost: entry\r\n\r\n"


class OkHandler(RequestHandler):
    def get(self):
        self.finish("ok")


class LimitedServerTest(unittest.IsolatedAsyncioTestCase):
    async def start_server(self, **limits):
        settings = evolve(HttpSettings(), **limits)
        server = make_server(Application([("/", OkHandler)]), settings, None)
        listener, self.port = bind_unused_port()
        server.add_socket(listener)
        self.addCleanup(server.stop)
        return server

    async def connect(self):
        stream = await TCPClient().connect("127.0.0.1", self.port)
        self.addCleanup(stream.close)
        return stream

    async def send_request(self, stream):
        await stream.write(REQUEST)
        return await stream.read_until(b"\r\n\r\nok")

    async def test_a_connection_over_the_limit_is_closed(self):
        await self.start_server(max_connections=2)
        first, second = await self.connect(), await self.connect()
        await self.send_request(first)
        await self.send_request(second)
        third = await self.connect()
        with self.assertRaises(StreamClosedError):
            await self.send_request(third)
        first.close()
        while True:
            fourth = await self.connect()
            try:
                self.assertIn(b"200 OK", await self.send_request(fourth))
                break
            except StreamClosedError:
                await asyncio.sleep(0)

    async def test_connection_with_an_incomplete_header_times_out(self):
        await self.start_server(idle_timeout_seconds=0.1)
        stream = await self.connect()
        await stream.write(b"GET / HTTP/1.1\r\nHost: ")
        with self.assertRaises(StreamClosedError):
            await stream.read_until(b"\r\n\r\n")

    async def test_connection_with_an_incomplete_body_times_out(self):
        await self.start_server(idle_timeout_seconds=0.1)
        stream = await self.connect()
        await stream.write(b"POST / HTTP/1.1\r\nHost: e\r\nContent-Length: 9\r\n\r\n1")
        with self.assertRaises(StreamClosedError):
            await stream.read_until(b"never")
