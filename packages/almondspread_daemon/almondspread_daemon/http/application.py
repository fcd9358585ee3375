"""The routes of an entry instance."""

from typing import TYPE_CHECKING

from tornado.web import Application

from almondspread_daemon.http.base import UnknownRoute
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

if TYPE_CHECKING:
    from almondspread_daemon.entry import Entry

NAME = "([^/]+)"
ROUTES = (
    (f"/v1/resources/{NAME}", ListHandler),
    (f"/v1/resources/{NAME}/{NAME}", ItemHandler),
    ("/v1/apply", ApplyHandler),
    ("/v1/cancel", CancelHandler),
    ("/v1/watch", WatchHandler),
    (f"/v1/describe/{NAME}/{NAME}", DescribeHandler),
    (f"/v1/requests/{NAME}/{NAME}", RequestHandler),
    (f"/v1/keys/{NAME}/{NAME}", KeyHandler),
    ("/v1/status", StatusHandler),
    ("/v1/cell", CellHandler),
    ("/healthz", HealthHandler),
    ("/readyz", ReadyHandler),
)


def make_application(entry: "Entry") -> Application:
    """Return the application that serves an entry's routes."""
    arguments = {"entry": entry}
    return Application(
        [(path, handler, arguments) for path, handler in ROUTES],
        default_handler_class=UnknownRoute,
        default_handler_args=arguments,
        log_function=lambda handler: None,
    )
