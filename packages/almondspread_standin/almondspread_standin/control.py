"""HTTP calls that set fault switches and read counters of a stand-in."""

import json
from collections.abc import Callable
from typing import Any

import attrs
from expression import Error, Ok, Result
from tornado.web import RequestHandler

from almondspread.codec import structure_document, unstructure_value
from almondspread.errors import InvalidInput

Route = tuple[str, type[RequestHandler], dict[str, Any]]


def merge_switches(current: Any, document: Any) -> Result[dict[str, Any], InvalidInput]:
    """Return the checked values of the switches that a JSON document names.

    ``current`` is the attrs value that holds all switches.
    """
    if not isinstance(document, dict):
        return Error(InvalidInput("not an object", "send an object of switches"))
    whole = {**unstructure_value(current), **document}
    parsed = structure_document(whole, type(current))
    if parsed.is_error():
        return Error(parsed.error)
    changed = {}
    for name in document:
        changed[name] = getattr(parsed.ok, name)
    return Ok(changed)


class FaultsHandler(RequestHandler):
    """``/faults``: reads the switches, or sets those that a JSON object names."""

    def initialize(self, read: Callable[[], Any], change: Callable[..., None]) -> None:
        """Take the functions that read and change the switches."""
        self._read = read
        self._change = change

    def get(self) -> None:
        """Answer with all switches."""
        self.finish(attrs.asdict(self._read()))

    def post(self) -> None:
        """Set the named switches; refuse unknown names and wrong types."""
        try:
            document = json.loads(self.request.body)
        except ValueError:
            document = None
        merged = merge_switches(self._read(), document)
        if merged.is_error():
            self.set_status(merged.error.http_status)
            self.finish(merged.error.to_document())
            return
        self._change(**merged.ok)
        self.finish(attrs.asdict(self._read()))


class CountersHandler(RequestHandler):
    """``GET /counters``: an attrs value as JSON."""

    def initialize(self, read: Callable[[], Any]) -> None:
        """Take the function that reads the counters."""
        self._read = read

    def get(self) -> None:
        """Answer with the counters."""
        self.finish(attrs.asdict(self._read()))


def describe_controls(
    read_faults: Callable[[], Any],
    set_faults: Callable[..., None],
    read_counters: Callable[[], Any],
) -> list[Route]:
    """Return the routes of the control calls of one stand-in."""
    return [
        ("/faults", FaultsHandler, {"read": read_faults, "change": set_faults}),
        ("/counters", CountersHandler, {"read": read_counters}),
    ]
