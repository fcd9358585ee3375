"""The base class of all handlers.

It checks access, reads and writes JSON, sends problems as JSON bodies, and records
a span and metrics for each request.
"""

import json
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from expression import Error, Ok, Result
from loguru import logger
from opentelemetry.context import attach
from opentelemetry.trace import Span, set_span_in_context
from tornado.web import HTTPError, RequestHandler

from almondspread.errors import InvalidInput, NotFound, Problem
from almondspread_daemon.security import Access, authorize
from almondspread_daemon.security.access import NOBODY

if TYPE_CHECKING:
    from almondspread_daemon.entry import Entry

JSON_CONTENT_TYPE = "application/json; charset=UTF-8"


class EntryHandler(RequestHandler):
    """Base class of the handlers of an entry instance."""

    def initialize(self, entry: "Entry", access: Access) -> None:
        """Store the entry that the handler serves and the access that it requires."""
        self.entry = entry
        self.access = access
        self.identity = NOBODY
        self._arrived_at = entry.clock.monotonic()
        self._span: Span | None = None
        self._decoded_values = 0

    def prepare(self) -> None:
        """Start the request's span and reject callers who may not use the route."""
        self._span = self.entry.telemetry.traces.start_server_span(
            f"{self.request.method} {self.get_route_name()}",
            self.request.headers.get("traceparent", ""),
        )
        attach(set_span_in_context(self._span))
        header = self.request.headers.get("Authorization", "")
        authorized = authorize(self.entry.tokens.identify(header), self.access)
        if authorized.is_error():
            return self.send_problem(authorized.error)
        self.identity = authorized.ok

    def get_route_name(self) -> str:
        """Return the route's name in metrics, the same for all resources and keys."""
        return type(self).__name__.removesuffix("Handler").lower()

    def on_finish(self) -> None:
        """Record the request's count and duration and end its span."""
        status = self.get_status()
        attributes = {
            "http.route": self.get_route_name(),
            "http.request.method": self.request.method or "",
            "http.response.status_code": status,
        }
        elapsed = self.entry.clock.monotonic() - self._arrived_at
        instruments = self.entry.telemetry.instruments
        instruments.requests.add(1, attributes)
        instruments.request_duration.record(elapsed.total_seconds(), attributes)
        if self._span is not None:
            self._span.set_attribute("http.response.status_code", status)
            self._span.end()

    def set_default_headers(self) -> None:
        """Set JSON as the default content type and omit the ``Server`` header."""
        self.set_header("Content-Type", JSON_CONTENT_TYPE)
        self.clear_header("Server")

    def send_json(self, document: Any, status: int = HTTPStatus.OK) -> None:
        """Finish with a JSON document."""
        self.set_status(status)
        self.finish(json.dumps(document, separators=(",", ":")))

    def send_problem(self, problem: Problem) -> None:
        """Finish with a problem, its HTTP status and when to retry, if it says so."""
        if problem.retry_after_seconds is not None:
            self.set_header(
                "Retry-After", str(max(1, round(problem.retry_after_seconds)))
            )
        self.set_header("Content-Type", JSON_CONTENT_TYPE)
        self.send_json(problem.to_document(), problem.http_status)

    def read_json_body(self) -> Result[Any, Problem]:
        """Return the request's body as a decoded JSON document.

        Its values count as in use until the handler calls ``release_document``.
        """
        documents = self.entry.documents
        refusal = documents.check(self.request.body)
        if refusal is not None:
            self.entry.refusals.record(refusal)
            return Error(documents.make_problem(refusal))
        self._decoded_values += documents.reserve(self.request.body)
        try:
            return Ok(json.loads(self.request.body))
        except (ValueError, RecursionError) as error:
            return Error(
                InvalidInput(f"the body is not JSON: {error}", "send a JSON document")
            )

    def release_document(self) -> None:
        """Tell that what ``read_json_body`` returned is no longer used."""
        self.entry.documents.release(self._decoded_values)
        self._decoded_values = 0

    def read_integer_argument(
        self, name: str, default: int | None
    ) -> Result[int | None, Any]:
        """Return a non-negative integer from the query, ``default`` if it is absent."""
        text = self.get_query_argument(name, "")
        if not text:
            return Ok(default)
        if not text.isascii() or not text.isdigit() or len(text) > 18:
            return Error(
                InvalidInput(f"{name}={text!r} is not a whole number", "send a number")
            )
        return Ok(int(text))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Send an exception of the handler, or an error of tornado, as a problem."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        if isinstance(error, HTTPError):
            problem: Problem = InvalidInput(
                error.log_message or f"HTTP status {status_code}",
                "check the request against the description of the API",
            )
            self.set_header("Content-Type", JSON_CONTENT_TYPE)
            self.send_json(problem.to_document(), status_code)
            return
        logger.opt(exception=error).error(
            "a request for {} failed with an unexpected exception", self.request.path
        )
        self.send_json(
            Problem(
                "the instance failed while it handled the request",
                "check this instance's log, and whether the request took effect before "
                "you send it again",
            ).to_document(),
            status_code,
        )


class UnknownRoute(EntryHandler):
    """Rejects requests for paths that no other handler serves."""

    def prepare(self) -> None:
        """Check the caller's access, then send ``NotFound``."""
        super().prepare()
        if self._finished:
            return
        problem = NotFound(f"no route {self.request.path}", "see the routes of the API")
        self.send_problem(problem)
