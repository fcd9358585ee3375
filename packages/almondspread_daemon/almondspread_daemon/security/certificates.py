"""TLS contexts whose certificates are read again when their files change."""

import ssl
from collections.abc import Callable
from pathlib import Path

from attrs import define
from loguru import logger


@define(frozen=True)
class CertificateFiles:
    """The PEM files of a listener: its certificate, its key, and whom it trusts."""

    certificate: str
    key: str
    authority: str = ""

    def read_times(self) -> tuple[int, ...]:
        """Return when each file was last changed, in nanoseconds."""
        times = []
        for name in (self.certificate, self.key, self.authority):
            if name:
                times.append(Path(name).stat().st_mtime_ns)
        return tuple(times)


# Puts files in force, or raises ``OSError`` or ``ssl.SSLError`` and changes nothing.
LoadFiles = Callable[[CertificateFiles], None]


def open_http_context(files: CertificateFiles) -> ssl.SSLContext:
    """Return the context of the listener for callers and operators."""
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(files.certificate, files.key)
    return context


def open_peer_server_context(files: CertificateFiles) -> ssl.SSLContext:
    """Return the context of the peer listener, which asks for a certificate."""
    context = ssl.create_default_context(
        ssl.Purpose.CLIENT_AUTH, cafile=files.authority
    )
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_cert_chain(files.certificate, files.key)
    return context


def open_peer_client_context(files: CertificateFiles) -> ssl.SSLContext:
    """Return the context of streams to peers, which shows our own certificate."""
    context = ssl.create_default_context(
        ssl.Purpose.SERVER_AUTH, cafile=files.authority
    )
    context.load_cert_chain(files.certificate, files.key)
    return context


def make_reloader(files: CertificateFiles, load: LoadFiles) -> Callable[[], bool]:
    """Return a function that loads the files if they have changed; it tells whether.

    Files that ``load`` refuses are logged, and what is in force stays. Made before the
    files are first read, the function misses no change.
    """
    known = files.read_times()

    def reload() -> bool:
        """Load the files if they have changed."""
        nonlocal known
        try:
            current = files.read_times()
            if current == known:
                return False
            load(files)
        except (OSError, ssl.SSLError) as error:
            logger.error("certificate {} is not taken: {}", files.certificate, error)
            return False
        known = current
        logger.info("certificate {} is read again", files.certificate)
        return True

    return reload
