"""Resources: list, get, apply, delete, cancel, describe."""

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
MAX_APPLY_ITEMS = 1_000


@define(frozen=True)
class ApplyItem:
    """One resource to apply, and the version it was made from."""

    document: dict[str, Any]
    resource_version: int | None = None


@define(frozen=True)
class ApplyBody:
    """What ``POST /v1/apply`` takes."""

    items: tuple[ApplyItem, ...]
    dry_run: bool = False


@define(frozen=True)
class CancelBody:
    """What ``POST /v1/cancel`` takes."""

    names: tuple[str, ...] = ()
    selector: str = ""


def check_kind(kind: str) -> Result[str, Problem]:
    """Return a kind that exists."""
    if kind in KINDS:
        return Ok(kind)
    return Error(NotFound(f"kind {kind!r} is not known", "use " + ", ".join(KINDS)))


def parse_selector(text: str) -> Result[dict[str, str], InvalidInput]:
    """Return the labels that a selector asks for.

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
    """Lists the resources of a kind, a page at a time."""

    def get(self, kind: str) -> None:
        """Answer one page."""
        checked = check_kind(kind)
        limit = self.read_integer_argument("limit", DEFAULT_PAGE_SIZE)
        selector = parse_selector(self.get_query_argument("selector", ""))
        for result in (checked, limit, selector):
            if result.is_error():
                return self.send_problem(result.error)
        size = max(1, min(limit.ok, MAX_PAGE_SIZE))
        after = self.get_query_argument("after", "")
        cache = self.entry.changes.cache
        found = []
        for item in cache.list_items(kind):
            if item.name <= after or not documents.has_labels(item, selector.ok):
                continue
            found.append(item)
            if len(found) > size:
                break
        page = found[:size]
        self.send_json(
            {
                "revision": cache.revision,
                "next": page[-1].name if len(found) > size else None,
                "items": [self.entry.describe_item(item) for item in page],
            }
        )


class ItemHandler(EntryHandler):
    """Gets and deletes one resource."""

    def get(self, kind: str, name: str) -> None:
        """Answer the resource as it stands."""
        item = self.entry.changes.cache.find(kind, name)
        if item is None:
            return self.send_problem(documents.refuse_missing(kind, name))
        self.send_json(self.entry.describe_item(item))

    async def delete(self, kind: str, name: str) -> None:
        """Remove the resource."""
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
    """Applies declared resources, all or none."""

    async def post(self) -> None:
        """Apply the items of the body."""
        document = self.read_json_body()
        body = document.bind(lambda value: structure_document(value, ApplyBody))
        if body.is_error():
            return self.send_problem(body.error)
        if len(body.ok.items) > MAX_APPLY_ITEMS:
            return self.send_problem(
                InvalidInput(
                    f"{len(body.ok.items)} items, {MAX_APPLY_ITEMS} at most",
                    "apply them in several calls",
                )
            )
        pairs = [(item.document, item.resource_version) for item in body.ok.items]
        outcome = await self.entry.resources.apply(
            pairs, body.ok.dry_run, self.identity
        )
        if outcome.is_error():
            return self.send_problem(outcome.error)
        self.send_json(outcome.ok)


class CancelHandler(EntryHandler):
    """Cancels workloads by name or label, all in one change."""

    async def post(self) -> None:
        """Cancel what the body names."""
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
    """Tells how a resource and its tasks stand, and why tasks wait."""

    async def get(self, kind: str, name: str) -> None:
        """Answer the description."""
        item = self.entry.changes.cache.find(kind, name)
        if item is None:
            return self.send_problem(documents.refuse_missing(kind, name))
        tasks = await self.entry.reporter.describe_tasks(item)
        self.send_json({"item": self.entry.describe_item(item), "tasks": tasks})
