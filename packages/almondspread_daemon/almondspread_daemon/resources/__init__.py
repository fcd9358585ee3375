"""Changes of resources as operators ask for them, and resources as documents."""

from almondspread_daemon.resources.service import ResourceService

__all__ = ["ResourceService"]
