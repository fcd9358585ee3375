"""What all handlers share: problems as bodies, JSON in and out."""

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
    """A handler that reaches the entry and answers in JSON."""

    def initialize(self, entry: "Entry", access: Access) -> None:
        """Keep the entry that the handler serves for, and whom it is open to."""
        self.entry = entry
        self.access = access
        self.identity = NOBODY
        self._arrived_at = entry.clock.monotonic()
        self._span: Span | None = None

    def prepare(self) -> None:
        """Start the request's span and refuse who may not use the route."""
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
        """Return a name for the route, the same for all resources and keys."""
        return type(self).__name__.removesuffix("Handler").lower()

    def on_finish(self) -> None:
        """Count the request and end its span."""
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
        """Answer in JSON unless a handler says otherwise."""
        self.set_header("Content-Type", JSON_CONTENT_TYPE)
        self.clear_header("Server")

    def send_json(self, document: Any, status: int = HTTPStatus.OK) -> None:
        """Finish with a JSON document."""
        self.set_status(status)
        self.finish(json.dumps(document, separators=(",", ":")))

    def send_problem(self, problem: Problem) -> None:
        """Finish with a problem."""
        if problem.retry_after_seconds is not None:
            self.set_header(
                "Retry-After", str(max(1, round(problem.retry_after_seconds)))
            )
        self.set_header("Content-Type", JSON_CONTENT_TYPE)
        self.send_json(problem.to_document(), problem.http_status)

    def read_json_body(self) -> Result[Any, InvalidInput]:
        """Return the JSON document of the body."""
        try:
            return Ok(json.loads(self.request.body))
        except (ValueError, RecursionError) as error:
            return Error(
                InvalidInput(f"the body is not JSON: {error}", "send a JSON document")
            )

    def read_integer_argument(
        self, name: str, default: int | None
    ) -> Result[int | None, Any]:
        """Return a whole number from the query."""
        text = self.get_query_argument(name, "")
        if not text:
            return Ok(default)
        if not text.isascii() or not text.isdigit() or len(text) > 18:
            return Error(
                InvalidInput(f"{name}={text!r} is not a whole number", "send a number")
            )
        return Ok(int(text))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer a failure of the handler or of tornado as a problem."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        if isinstance(error, HTTPError):
            problem: Problem = InvalidInput(
                error.log_message or f"HTTP status {status_code}",
                "look at the description of the interface",
            )
            self.set_header("Content-Type", JSON_CONTENT_TYPE)
            self.send_json(problem.to_document(), status_code)
            return
        logger.opt(exception=error).error("{} failed", self.request.path)
        self.send_json(
            Problem(
                "the instance failed while it served the request",
                "look at the log of this instance; ask before sending it again",
            ).to_document(),
            status_code,
        )


class UnknownRoute(EntryHandler):
    """Answers every path that no other handler serves."""

    def prepare(self) -> None:
        """Refuse the request."""
        super().prepare()
        if self._finished:
            return
        problem = NotFound(
            f"no route {self.request.path}", "see the interface's routes"
        )
        self.send_problem(problem)
