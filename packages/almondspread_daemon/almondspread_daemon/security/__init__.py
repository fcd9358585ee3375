"""Who calls, what they may do, and the certificates of the listeners."""

from almondspread_daemon.security.access import Access, Identity, authorize
from almondspread_daemon.security.credentials import Credentials
from almondspread_daemon.security.tokens import TokenTable

__all__ = ["Access", "Credentials", "Identity", "TokenTable", "authorize"]
