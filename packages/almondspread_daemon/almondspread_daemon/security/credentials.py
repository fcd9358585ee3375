"""The TLS contexts of one instance, kept in step with their files."""

import ssl
from collections.abc import Callable
from datetime import timedelta

from almondspread.clock import Clock
from almondspread_daemon.security.certificates import (
    CertificateFiles,
    make_reloader,
    open_http_context,
    open_peer_client_context,
    open_peer_server_context,
)
from almondspread_daemon.settings import Settings

CHECK_INTERVAL = timedelta(seconds=5)


class Credentials:
    """The contexts of both listeners and of streams to peers, ``None`` for no TLS.

    The contexts for peers are replaced when their files change, since an authority
    cannot be taken out of a context. ``on_peer_change`` is called then.
    """

    def __init__(self, settings: Settings, clock: Clock) -> None:
        self.http: ssl.SSLContext | None = None
        self.peer_server: ssl.SSLContext | None = None
        self.peer_client: ssl.SSLContext | None = None
        self.on_peer_change: Callable[[], None] = lambda: None
        self._clock = clock
        self._reloaders: list[Callable[[], bool]] = []
        if settings.http.certificate:
            files = CertificateFiles(settings.http.certificate, settings.http.key)
            self._reloaders.append(make_reloader(files, self._load_http))
            self.http = open_http_context(files)
        if settings.peer.certificate:
            peer = settings.peer
            files = CertificateFiles(peer.certificate, peer.key, peer.authority)
            self._reloaders.append(make_reloader(files, self._load_peer))
            self._load_peer(files)

    async def run(self) -> None:
        """Look at the certificate files again and again until cancelled."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL)
            self.reload()

    def reload(self) -> None:
        """Put changed files in force for new connections."""
        for reload in self._reloaders:
            reload()

    def _load_http(self, files: CertificateFiles) -> None:
        """Load the certificate into the context in use."""
        assert self.http is not None
        # A pair that does not match raises here, before the context in use changes.
        open_http_context(files)
        self.http.load_cert_chain(files.certificate, files.key)

    def _load_peer(self, files: CertificateFiles) -> None:
        """Open the contexts for peers anew."""
        server = open_peer_server_context(files)
        self.peer_client = open_peer_client_context(files)
        self.peer_server = server
        self.on_peer_change()
