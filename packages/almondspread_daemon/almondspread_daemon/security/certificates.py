"""TLS contexts whose certificates are read again when their files change."""

import ssl
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path

from attrs import define
from loguru import logger

from almondspread.clock import Clock

CHECK_INTERVAL = timedelta(seconds=5)


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


async def follow_files(
    files: CertificateFiles, contexts: list[ssl.SSLContext], clock: Clock
) -> None:
    """Load the certificate into the contexts whenever its files change.

    New connections use it; a pair that does not load is logged and left out, and
    the one in force stays.
    """
    reload = make_reloader(files, contexts)
    while True:
        await clock.sleep(CHECK_INTERVAL)
        reload()


def make_reloader(
    files: CertificateFiles, contexts: list[ssl.SSLContext]
) -> Callable[[], bool]:
    """Return a function that loads changed files; it tells whether it did."""
    known = files.read_times()

    def reload() -> bool:
        nonlocal known
        try:
            current = files.read_times()
            if current == known:
                return False
            # A pair that does not match must not reach the contexts in force.
            trial = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
            trial.load_cert_chain(files.certificate, files.key)
            for context in contexts:
                context.load_cert_chain(files.certificate, files.key)
                if files.authority:
                    context.load_verify_locations(cafile=files.authority)
        except (OSError, ssl.SSLError) as error:
            logger.error("certificate {} is not taken: {}", files.certificate, error)
            return False
        known = current
        logger.info("certificate {} is read again", files.certificate)
        return True

    return reload
