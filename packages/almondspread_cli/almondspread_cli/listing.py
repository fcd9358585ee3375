"""Reading resources page by page."""

from typing import Any

from attrs import define
from expression import Error, Ok, Result

from almondspread_cli.addresses import make_path
from almondspread_cli.client import Client
from almondspread_cli.failures import Failure

PAGE_ITEMS = 500


@define(frozen=True)
class Listing:
    """Resources of one kind and the revision that the first page was read at."""

    revision: int
    items: tuple[dict[str, Any], ...]

    def to_document(self) -> dict[str, Any]:
        """Return the listing as a document that ``apply`` takes back."""
        return {"revision": self.revision, "items": list(self.items)}


async def list_resources(
    client: Client, kind: str, selector: str
) -> Result[Listing, Failure]:
    """Return all resources of a kind that a selector matches."""
    items: list[dict[str, Any]] = []
    revision: int | None = None
    after = ""
    while True:
        path = make_path(
            "resources", kind, limit=PAGE_ITEMS, after=after, selector=selector
        )
        page = await client.read(path)
        if page.is_error():
            return Error(page.error)
        if revision is None:
            revision = int(page.ok["revision"])
        items.extend(page.ok["items"])
        after = page.ok.get("next") or ""
        if not after:
            return Ok(Listing(revision, tuple(items)))
