"""Who calls, what they may do, and the certificates of the listeners."""

from almondspread_daemon.security.access import Access, Identity, authorize
from almondspread_daemon.security.certificates import (
    CertificateFiles,
    open_http_context,
    open_peer_client_context,
    open_peer_server_context,
)
from almondspread_daemon.security.tokens import TokenTable

__all__ = [
    "Access",
    "CertificateFiles",
    "Identity",
    "TokenTable",
    "authorize",
    "open_http_context",
    "open_peer_client_context",
    "open_peer_server_context",
]
