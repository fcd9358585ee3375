"""The routes of an entry instance and the access that each requires."""

from typing import TYPE_CHECKING, Any

from tornado.web import Application

from almondspread_daemon.http.base import UnknownRoute
from almondspread_daemon.http.metrics import MetricsHandler
from almondspread_daemon.http.requests import KeyHandler, RequestHandler
from almondspread_daemon.http.resources import (
    ApplyHandler,
    CancelHandler,
    DescribeHandler,
    ItemHandler,
    ListHandler,
)
from almondspread_daemon.http.status import (
    CellHandler,
    HealthHandler,
    ReadyHandler,
    StatusHandler,
)
from almondspread_daemon.http.watch import WatchHandler
from almondspread_daemon.security import Access

if TYPE_CHECKING:
    from almondspread_daemon.entry import Entry

PATH_SEGMENT = "([^/]+)"
ROUTES = (
    (f"/v1/resources/{PATH_SEGMENT}", ListHandler, Access.OPERATE),
    (f"/v1/resources/{PATH_SEGMENT}/{PATH_SEGMENT}", ItemHandler, Access.OPERATE),
    ("/v1/apply", ApplyHandler, Access.OPERATE),
    ("/v1/cancel", CancelHandler, Access.OPERATE),
    ("/v1/watch", WatchHandler, Access.OPERATE),
    (f"/v1/describe/{PATH_SEGMENT}/{PATH_SEGMENT}", DescribeHandler, Access.OPERATE),
    (f"/v1/requests/{PATH_SEGMENT}/{PATH_SEGMENT}", RequestHandler, Access.REQUEST),
    (f"/v1/keys/{PATH_SEGMENT}/{PATH_SEGMENT}", KeyHandler, Access.REQUEST),
    ("/v1/status", StatusHandler, Access.OPERATE),
    ("/v1/cell", CellHandler, Access.OPERATE),
    ("/metrics", MetricsHandler, Access.OPERATE),
    ("/healthz", HealthHandler, Access.PUBLIC),
    ("/readyz", ReadyHandler, Access.PUBLIC),
)


def make_application(entry: "Entry") -> Application:
    """Return the tornado application that serves an entry's routes."""
    rules: list[Any] = []
    for path, handler, access in ROUTES:
        rules.append((path, handler, {"entry": entry, "access": access}))
    return Application(
        rules,
        default_handler_class=UnknownRoute,
        default_handler_args={"entry": entry, "access": Access.OPERATE},
        log_function=lambda handler: None,
    )
