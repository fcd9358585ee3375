"""Handlers that list, get, apply, delete, cancel and describe resources."""

import json
from typing import Any

from attrs import define
from expression import Error, Ok, Result

from almondspread.codec import structure_document
from almondspread.errors import InvalidInput, NotFound, Problem
from almondspread.resources import KINDS
from almondspread_daemon.http.base import EntryHandler
from almondspread_daemon.resources import documents

DEFAULT_PAGE_SIZE = 500
MAX_PAGE_SIZE = 5_000
# A page ends with the first item beyond this; the caller asks for the next one.
MAX_PAGE_BYTES = 1024 * 1024
MAX_APPLY_ITEMS = 1_000


@define(frozen=True)
class ApplyItem:
    """One resource to apply.

    ``resource_version`` is the version that the caller edited, 0 to create the
    resource, ``None`` to apply it whatever the current version is.
    """

    document: dict[str, Any]
    resource_version: int | None = None


@define(frozen=True)
class ApplyBody:
    """The body of ``POST /v1/apply``."""

    items: tuple[ApplyItem, ...]
    dry_run: bool = False


@define(frozen=True)
class CancelBody:
    """The body of ``POST /v1/cancel``."""

    names: tuple[str, ...] = ()
    selector: str = ""


def check_kind(kind: str) -> Result[str, Problem]:
    """Return ``kind`` if it exists, otherwise a ``NotFound`` problem."""
    if kind in KINDS:
        return Ok(kind)
    return Error(NotFound(f"kind {kind!r} is not known", "use " + ", ".join(KINDS)))


def parse_selector(text: str) -> Result[dict[str, str], InvalidInput]:
    """Return the labels that a selector requires.

    >>> parse_selector("team=routes,term=spring").ok
    {'team': 'routes', 'term': 'spring'}
    """
    labels = {}
    for part in text.split(","):
        if not part:
            continue
        key, separator, value = part.partition("=")
        if not separator:
            return Error(InvalidInput(f"selector {part!r} has no =", "write key=value"))
        labels[key.strip()] = value.strip()
    return Ok(labels)


class ListHandler(EntryHandler):
    """Lists the resources of a kind in pages, sorted by name."""

    def get(self, kind: str) -> None:
        """Send the page of resources that follows the name in ``after``."""
        checked = check_kind(kind)
        limit = self.read_integer_argument("limit", DEFAULT_PAGE_SIZE)
        selector = parse_selector(self.get_query_argument("selector", ""))
        for result in (checked, limit, selector):
            if result.is_error():
                return self.send_problem(result.error)
        size = max(1, min(limit.ok, MAX_PAGE_SIZE))
        after = self.get_query_argument("after", "")
        cache = self.entry.changes.cache
        page: list[dict[str, Any]] = []
        page_bytes = 0
        following = None
        for item in cache.list_items(kind):
            if item.name <= after or not documents.has_labels(item, selector.ok):
                continue
            if len(page) == size or page_bytes > MAX_PAGE_BYTES:
                following = page[-1]["name"]
                break
            page.append(self.entry.describe_item(item))
            page_bytes += len(json.dumps(page[-1]))
        self.send_json({"revision": cache.revision, "next": following, "items": page})


class ItemHandler(EntryHandler):
    """Gets and deletes one resource."""

    def get(self, kind: str, name: str) -> None:
        """Send the resource in its current version."""
        item = self.entry.changes.cache.find(kind, name)
        if item is None:
            return self.send_problem(documents.refuse_missing(kind, name))
        self.send_json(self.entry.describe_item(item))

    async def delete(self, kind: str, name: str) -> None:
        """Delete the resource, if it has the version that the query names."""
        version = self.read_integer_argument("resource_version", None)
        if version.is_error():
            return self.send_problem(version.error)
        outcome = await self.entry.resources.delete(
            kind, name, version.ok, self.identity
        )
        if outcome.is_error():
            return self.send_problem(outcome.error)
        self.send_json({"revision": outcome.ok})


class ApplyHandler(EntryHandler):
    """Applies the declared resources atomically."""

    async def post(self) -> None:
        """Apply the items of the body."""
        try:
            await self._apply()
        finally:
            self.release_document()

    async def _apply(self) -> None:
        """Send what became of the items, or why they are refused."""
        body = self.read_json_body().bind(_structure_apply_body)
        if body.is_error():
            return self.send_problem(body.error)
        pairs = [(item.document, item.resource_version) for item in body.ok.items]
        outcome = await self.entry.resources.apply(
            pairs, body.ok.dry_run, self.identity
        )
        if outcome.is_error():
            return self.send_problem(outcome.error)
        self.send_json(outcome.ok)


def _structure_apply_body(document: Any) -> Result[ApplyBody, InvalidInput]:
    """Return the items to apply; their number is checked before each is looked at."""
    items = document.get("items") if isinstance(document, dict) else None
    if isinstance(items, list) and len(items) > MAX_APPLY_ITEMS:
        return Error(
            InvalidInput(
                f"the request has {len(items)} items; the limit is {MAX_APPLY_ITEMS}",
                "apply them in several requests",
            )
        )
    return structure_document(document, ApplyBody)


class CancelHandler(EntryHandler):
    """Cancels workloads by name or label in one log entry."""

    async def post(self) -> None:
        """Cancel the workloads that the body names or selects."""
        try:
            await self._cancel()
        finally:
            self.release_document()

    async def _cancel(self) -> None:
        """Send which workloads are cancelled, or why the request is refused."""
        document = self.read_json_body()
        body = document.bind(lambda value: structure_document(value, CancelBody))
        if body.is_error():
            return self.send_problem(body.error)
        selector = parse_selector(body.ok.selector)
        if selector.is_error():
            return self.send_problem(selector.error)
        outcome = await self.entry.resources.cancel(
            body.ok.names, selector.ok, self.identity
        )
        if outcome.is_error():
            return self.send_problem(outcome.error)
        self.send_json(outcome.ok)


class DescribeHandler(EntryHandler):
    """Describes a resource, the states of its tasks and why tasks wait."""

    async def get(self, kind: str, name: str) -> None:
        """Send the resource and its tasks."""
        item = self.entry.changes.cache.find(kind, name)
        if item is None:
            return self.send_problem(documents.refuse_missing(kind, name))
        tasks = await self.entry.reporter.describe_tasks(item)
        self.send_json({"item": self.entry.describe_item(item), "tasks": tasks})
