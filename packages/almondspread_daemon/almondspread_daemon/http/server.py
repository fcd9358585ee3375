"""The server of an entry instance, with the limits of its settings."""

import resource
import ssl

from tornado.web import Application

from almondspread.clock import Clock
from almondspread_daemon.http.buffer_budget import BufferBudget
from almondspread_daemon.http.client_connection import RequestLimits
from almondspread_daemon.http.client_connections import ClientConnections
from almondspread_daemon.http.client_guard import ClientGuard
from almondspread_daemon.http.client_refusals import RefusalLog
from almondspread_daemon.http.client_turns import ClientTurns
from almondspread_daemon.http.limited_server import LimitedServer, make_limited_server
from almondspread_daemon.http.process_limits import MIN_BUFFER_BYTES, count_callers
from almondspread_daemon.settings import HttpSettings

# How many of the largest bodies the default of the settings has room for.
BUFFERED_BODIES = 16


def make_server(
    application: Application,
    settings: HttpSettings,
    context: ssl.SSLContext | None,
    clock: Clock,
    log: RefusalLog,
) -> LimitedServer:
    """Return a server for the application with the limits from the settings."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    limits = RequestLimits(
        settings.max_body_bytes,
        settings.max_header_bytes,
        settings.header_timeout,
        settings.idle_timeout,
        settings.min_body_bytes_per_second,
        settings.body_span,
        settings.answer_timeout,
    )
    default_bytes = max(MIN_BUFFER_BYTES, BUFFERED_BODIES * settings.max_body_bytes)
    clients = ClientConnections(
        BufferBudget(settings.max_buffered_bytes or default_bytes),
        min(settings.max_connections, count_callers(soft_limit)),
    )
    guard = ClientGuard(clients, lambda: limits, clock, log, ClientTurns())
    idle_seconds = settings.idle_timeout.total_seconds()
    return make_limited_server(
        application, guard, context, idle_seconds, settings.socket_buffers
    )
