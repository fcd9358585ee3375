"""The platform over HTTP: table service, object store and instance list."""

from almondspread_standin.platform_server.faults import PlatformFaults
from almondspread_standin.platform_server.instances import LaggingInstances
from almondspread_standin.platform_server.rate import RateLimit
from almondspread_standin.platform_server.server import PlatformServer

__all__ = ["LaggingInstances", "PlatformFaults", "PlatformServer", "RateLimit"]
