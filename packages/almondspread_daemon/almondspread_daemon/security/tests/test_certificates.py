import asyncio
import json
import os
import random
import ssl
import tempfile
import unittest
from datetime import timedelta
from pathlib import Path

import attrs
from tornado.tcpclient import TCPClient
from tornado.testing import bind_unused_port

from almondspread.clock import SystemClock
from almondspread_daemon.entry import Entry
from almondspread_daemon.peers import PeerLink, PeerServer
from almondspread_daemon.peers.messages import Accepted, FetchStatus
from almondspread_daemon.security.certificates import (
    CertificateFiles,
    make_reloader,
    open_http_context,
    open_peer_client_context,
    open_peer_server_context,
)
from almondspread_daemon.security.credentials import Credentials
from almondspread_daemon.security.tests.certificates import Authority
from almondspread_daemon.settings import parse_settings
from almondspread_daemon.telemetry.traces import TracePipeline

SETTINGS = """{"name": "e", "operator": "o", "failure_domain": "d",
 "failure_domains": ["d"], "platform": {"table_url": "http://127.0.0.1:1",
 "store_url": "http://127.0.0.1:1", "instances_url": "http://127.0.0.1:1"}}"""
CALL_TIMEOUT = timedelta(seconds=5)


class CertificateTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.authority = Authority(self.folder, "authority")
        self.traces = TracePipeline(parse_settings(SETTINGS).ok)

    def make_files(self, authority, name):
        certificate, key = authority.issue(name)
        return CertificateFiles(str(certificate), str(key), str(authority.file))

    async def call_over_tls(self, client_context, server_context=None):
        """Return the outcome of a call, once the link is open or has failed."""

        async def accept(_, __):
            return Accepted()

        if server_context is None:
            files = self.make_files(self.authority, "server")
            server_context = open_peer_server_context(files)
        server = PeerServer({FetchStatus: accept}, self.traces, server_context)
        listener, port = bind_unused_port()
        server.add_socket(listener)
        link = PeerLink(
            f"127.0.0.1:{port}",
            SystemClock(),
            random.Random(1),
            TCPClient(),
            self.traces,
            client_context,
        )
        running = asyncio.create_task(link.run())
        try:
            for _ in range(40):
                outcome = await link.call(FetchStatus(), CALL_TIMEOUT)
                if outcome.is_ok():
                    return outcome
                await asyncio.sleep(0.01)
            return outcome
        finally:
            running.cancel()
            server.close()

    async def test_peers_of_one_authority_talk(self):
        files = self.make_files(self.authority, "client")
        outcome = await self.call_over_tls(open_peer_client_context(files))
        self.assertEqual(outcome.ok, Accepted())

    async def test_a_peer_of_another_authority_is_refused(self):
        other = self.make_files(Authority(self.folder, "other"), "intruder")
        context = open_peer_client_context(other)
        context.load_verify_locations(cafile=str(self.authority.file))
        outcome = await self.call_over_tls(context)
        self.assertTrue(outcome.is_error())

    async def test_a_peer_without_a_certificate_is_refused(self):
        context = ssl.create_default_context(cafile=str(self.authority.file))
        outcome = await self.call_over_tls(context)
        self.assertTrue(outcome.is_error())

    async def test_changed_files_are_read_again_and_bad_ones_left_out(self):
        files = self.make_files(self.authority, "server")
        taken = []

        def load(files):
            taken.append(open_http_context(files))

        reload = make_reloader(files, load)
        self.assertFalse(reload())
        self.authority.issue("server")
        os.utime(files.certificate, ns=(1, 1))
        self.assertTrue(reload())
        self.assertFalse(reload())
        Path(files.key).write_text("not a key")
        self.assertFalse(reload())
        self.assertEqual(len(taken), 1)

    def make_settings(self, files):
        peer = {
            "certificate": files.certificate,
            "key": files.key,
            "authority": files.authority,
        }
        document = {**json.loads(SETTINGS), "peer": peer}
        return parse_settings(json.dumps(document)).ok

    def make_credentials(self, files):
        return Credentials(self.make_settings(files), SystemClock())

    async def test_replaced_contexts_serve_new_streams_of_an_instance(self):
        files = self.make_files(self.authority, "server")
        entry = Entry(self.make_settings(files), SystemClock())
        self.addCleanup(entry.telemetry.close)
        former = entry.peer_server.ssl_options
        self.make_files(self.authority, "server")
        os.utime(files.certificate, ns=(1, 1))
        entry.credentials.reload()
        self.assertIsNot(entry.peer_server.ssl_options, former)
        self.assertIs(entry.peer_server.ssl_options, entry.credentials.peer_server)

    async def test_a_withdrawn_authority_is_no_longer_trusted(self):
        """It stayed trusted until the next start: contexts only take on authorities."""
        other = Authority(self.folder, "other")
        both = self.folder / "both.pem"
        both.write_bytes(self.authority.file.read_bytes() + other.file.read_bytes())
        server = attrs.evolve(
            self.make_files(self.authority, "server"), authority=str(both)
        )
        credentials = self.make_credentials(server)
        client = self.make_files(other, "client")
        client = attrs.evolve(client, authority=str(both))
        context = open_peer_client_context(client)
        changes = []
        credentials.on_peer_change = lambda: changes.append(credentials.peer_server)
        outcome = await self.call_over_tls(context, credentials.peer_server)
        self.assertEqual(outcome.ok, Accepted())
        both.write_bytes(self.authority.file.read_bytes())
        os.utime(both, ns=(1, 1))
        credentials.reload()
        self.assertEqual(changes, [credentials.peer_server])
        outcome = await self.call_over_tls(context, credentials.peer_server)
        self.assertTrue(outcome.is_error())

    def test_files_that_do_not_load_leave_the_contexts_in_force(self):
        files = self.make_files(self.authority, "server")
        credentials = self.make_credentials(files)
        former = (credentials.peer_server, credentials.peer_client)
        Path(files.key).write_text("not a key")
        credentials.reload()
        self.assertEqual((credentials.peer_server, credentials.peer_client), former)
