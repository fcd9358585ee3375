"""The HTTP listener of the stand-in platform and its control calls."""

from datetime import timedelta
from typing import Any

from attrs import evolve
from tornado.httpserver import HTTPServer

from almondspread.clock import Clock
from almondspread_standin.control import describe_controls
from almondspread_standin.listening import (
    bind_loopback,
    build_application,
    describe_address,
)
from almondspread_standin.platform_server.handlers import (
    InstancesHandler,
    ObjectHandler,
    ReadHandler,
    ScanHandler,
    TransactHandler,
)
from almondspread_standin.platform_server.service import PlatformService


class PlatformServer:
    """Serves one platform on a loopback port, 0 for any free one.

    Rates are in rows a second, 0 for no limit. ``POST /faults`` sets the named
    switches of :class:`PlatformFaults` and leaves the others; ``GET /counters``
    answers with what was asked of the platform.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        port: int = 0,
        writes_per_second: float = 0.0,
        reads_per_second: float = 0.0,
    ) -> None:
        self.service = PlatformService(clock, writes_per_second, reads_per_second)
        self.address = ""
        self._port = port
        routes = {"service": self.service}
        application = build_application(
            [
                ("/v1/table/transact", TransactHandler, routes),
                ("/v1/table/read", ReadHandler, routes),
                ("/v1/table/scan", ScanHandler, routes),
                ("/v1/objects/(.+)", ObjectHandler, routes),
                ("/v1/instances", InstancesHandler, routes),
                *describe_controls(
                    read_faults=lambda: self.service.faults,
                    set_faults=self.set_faults,
                    read_counters=lambda: self.service.counters,
                ),
            ]
        )
        self._http = HTTPServer(application)

    def start(self) -> None:
        """Listen; the address is known afterwards."""
        sockets = bind_loopback(self._port)
        self.address = describe_address(sockets)
        self._http.add_sockets(sockets)

    async def stop(self) -> None:
        """Stop listening and close every connection."""
        self._http.stop()
        await self._http.close_all_connections()

    def set_faults(self, **changes: Any) -> None:
        """Set the named fault switches and leave the others as they are."""
        self.service.faults = evolve(self.service.faults, **changes)
        lag = self.service.faults.list_lag_seconds
        self.service.instances.lag = timedelta(seconds=lag)
