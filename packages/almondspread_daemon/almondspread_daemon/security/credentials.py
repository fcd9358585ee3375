"""The TLS contexts of one instance, kept in step with their files."""

import asyncio
import ssl

from almondspread.clock import Clock
from almondspread_daemon.security.certificates import (
    CertificateFiles,
    follow_files,
    open_http_context,
    open_peer_client_context,
    open_peer_server_context,
)
from almondspread_daemon.settings import Settings


class Credentials:
    """The contexts of both listeners and of streams to peers, ``None`` for no TLS."""

    def __init__(self, settings: Settings, clock: Clock) -> None:
        self.http: ssl.SSLContext | None = None
        self.peer_server: ssl.SSLContext | None = None
        self.peer_client: ssl.SSLContext | None = None
        self._clock = clock
        self._followed: list[tuple[CertificateFiles, list[ssl.SSLContext]]] = []
        if settings.http.certificate:
            files = CertificateFiles(settings.http.certificate, settings.http.key)
            self.http = open_http_context(files)
            self._followed.append((files, [self.http]))
        if settings.peer.certificate:
            peer = settings.peer
            files = CertificateFiles(peer.certificate, peer.key, peer.authority)
            self.peer_server = open_peer_server_context(files)
            self.peer_client = open_peer_client_context(files)
            self._followed.append((files, [self.peer_server, self.peer_client]))

    async def run(self) -> None:
        """Follow the certificate files until cancelled."""
        async with asyncio.TaskGroup() as group:
            for files, contexts in self._followed:
                group.create_task(follow_files(files, contexts, self._clock))
