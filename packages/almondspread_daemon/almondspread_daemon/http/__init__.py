"""The HTTP API of an entry instance."""

from almondspread_daemon.http.application import make_application

__all__ = ["make_application"]
