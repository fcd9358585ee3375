"""Changing one resource by reading it, editing it and writing it back."""

from collections.abc import Callable
from typing import Any

from expression import Error, Ok, Result

from almondspread.resources import parse_resource
from almondspread_cli.addresses import make_path
from almondspread_cli.client import Client
from almondspread_cli.failures import ExitCode, Failure
from almondspread_cli.waiting import Awaited

CONFLICT_TRIES = 3

Document = dict[str, Any]
Edit = Callable[[Document], Document]


async def apply_items(
    client: Client, items: list[Document], dry_run: bool
) -> Result[Any, Failure]:
    """Send documents with their versions as one change."""
    body = {"items": items, "dry_run": dry_run}
    return await client.change("POST", make_path("apply"), body, idempotent=dry_run)


async def change_resource(
    client: Client, kind: str, name: str, edit: Edit
) -> Result[Awaited, Failure]:
    """Edit one resource, creating it where it is missing.

    The change names the version it was made from. Where another one came first, the
    edit is made again on the new version, a few times.
    """
    result: Result[Awaited, Failure] = Error(_report_lost_race(kind, name))
    for _ in range(CONFLICT_TRIES):
        result = await _change_once(client, kind, name, edit)
        if result.is_ok() or result.error.code != "conflict":
            return result
    return result


async def _change_once(
    client: Client, kind: str, name: str, edit: Edit
) -> Result[Awaited, Failure]:
    """Read, edit and write back once."""
    document: Document = {"kind": kind, "metadata": {"name": name}}
    version = 0
    answer = await client.read(make_path("resources", kind, name))
    if answer.is_ok():
        document = answer.ok["document"]
        version = int(answer.ok["resource_version"])
    elif answer.error.http_status != 404:
        return Error(answer.error)
    edited = edit(dict(document))
    parsed = parse_resource(edited)
    if parsed.is_error():
        problem = parsed.error
        return Error(
            Failure(ExitCode.USAGE, problem.code, problem.message, problem.remedy)
        )
    item = {"document": edited, "resource_version": version}
    applied = await apply_items(client, [item], dry_run=False)
    if applied.is_error():
        return Error(applied.error)
    written = int(applied.ok["items"][0]["resource_version"])
    return Ok(Awaited(kind, name, written))


def _report_lost_race(kind: str, name: str) -> Failure:
    """Return the failure of an edit that was never sent."""
    message = f"{kind}/{name} was not changed"
    return Failure(ExitCode.REFUSED, "conflict", message, "try again")
