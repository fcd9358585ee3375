"""Settings of an entry instance: types, loader and JSON Schema."""

from almondspread_daemon.settings.faults import Fault, InvalidSettings
from almondspread_daemon.settings.loading import (
    parse_settings,
    read_settings,
    structure_settings,
)
from almondspread_daemon.settings.schema import make_schema
from almondspread_daemon.settings.sections import (
    HttpSettings,
    LogSettings,
    OwnershipSettings,
    PeerSettings,
    PlatformSettings,
    RequestSettings,
    SchedulingSettings,
    Settings,
    TelemetrySettings,
    Token,
)

__all__ = [
    "Fault",
    "HttpSettings",
    "InvalidSettings",
    "LogSettings",
    "OwnershipSettings",
    "PeerSettings",
    "PlatformSettings",
    "RequestSettings",
    "SchedulingSettings",
    "Settings",
    "TelemetrySettings",
    "Token",
    "make_schema",
    "parse_settings",
    "read_settings",
    "structure_settings",
]
