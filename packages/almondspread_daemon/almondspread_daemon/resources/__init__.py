"""Changes to resources that operators request, and resources as documents."""

from almondspread_daemon.resources.service import ResourceService

__all__ = ["ResourceService"]
