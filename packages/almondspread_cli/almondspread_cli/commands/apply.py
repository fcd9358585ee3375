"""Commands that declare and remove resources."""

from datetime import timedelta
from typing import Any

import click

from almondspread.resources import KINDS
from almondspread_cli.addresses import make_path
from almondspread_cli.changes import apply_items
from almondspread_cli.client import Client
from almondspread_cli.context import (
    Context,
    pass_context,
    run_with_client,
    selector_option,
    timeout_option,
)
from almondspread_cli.documents import read_documents
from almondspread_cli.failures import refuse_usage, unwrap
from almondspread_cli.waiting import (
    Awaited,
    judge_applied,
    judge_cancelled,
    wait_for,
)


@click.command()
@click.option(
    "-f",
    "--file",
    "files",
    multiple=True,
    required=True,
    metavar="FILE",
    help="A JSON file of resources, - for the standard input; may be repeated.",
)
@click.option("--dry-run", is_flag=True, help="Check the change without making it.")
@click.option("--wait", is_flag=True, help="Wait until the change has taken effect.")
@timeout_option
@pass_context
def apply(
    context: Context,
    files: tuple[str, ...],
    dry_run: bool,
    wait: bool,
    wait_seconds: float,
) -> None:
    """Declare the resources in files, all of them or none.

    A file holds one resource, a list of them, or what `get -o json` printed. In the
    last case the change names the version it was made from, and is refused with exit
    code 3 if another change came first. Files are checked before anything is sent.

    With --wait, services are to be ready, jobs finished, and configuration in force
    on every instance.

    \b
    Examples:
      almondspread apply -f stops.json -f quotas.json
      almondspread get -o json service stops > stops.json
      almondspread apply --wait -f stops.json
    """
    items: list[dict[str, Any]] = []
    for path in files:
        read = read_documents(path)
        if read.is_error():
            raise refuse_usage(read.error.message, read.error.remedy)
        items.extend(read.ok)

    async def work(client: Client) -> None:
        answer = unwrap(await apply_items(client, items, dry_run))
        awaited = []
        for item in answer["items"]:
            suffix = " (dry run)" if dry_run else ""
            click.echo(f"{item['kind']}/{item['name']} {item['outcome']}{suffix}")
            version = int(item["resource_version"] or 0)
            awaited.append(Awaited(item["kind"], item["name"], version))
        if not wait or dry_run:
            return
        limit = timedelta(seconds=wait_seconds)
        unwrap(await wait_for(client, context.clock, awaited, judge_applied, limit))

    run_with_client(context, work)


def _check_names(names: tuple[str, ...]) -> None:
    """Refuse names that are not ``KIND/NAME`` of a workload."""
    for name in names:
        kind, found, rest = name.partition("/")
        if found and rest and kind in KINDS:
            continue
        raise refuse_usage(f"{name!r} is not KIND/NAME", "write for example batch/rota")


@click.command()
@click.argument("names", nargs=-1, metavar="[KIND/NAME]...")
@selector_option
@click.option("--wait", is_flag=True, help="Wait until the tasks have stopped.")
@timeout_option
@pass_context
def cancel(
    context: Context,
    names: tuple[str, ...],
    selector: str,
    wait: bool,
    wait_seconds: float,
) -> None:
    """Cancel workloads by name or by labels, in one change.

    \b
    Examples:
      almondspread cancel batch/nightly-routes gang/model
      almondspread cancel --selector term=autumn --wait
    """
    if bool(names) == bool(selector):
        raise refuse_usage(
            "cancel takes either names or --selector", "give exactly one of the two"
        )
    _check_names(names)

    async def work(client: Client) -> None:
        body = {"names": list(names), "selector": selector}
        answer = unwrap(await client.change("POST", make_path("cancel"), body))
        awaited = []
        for name in answer["cancelled"]:
            click.echo(f"{name} cancelled")
            kind, _, rest = name.partition("/")
            awaited.append(Awaited(kind, rest, 0))
        if not wait:
            return
        limit = timedelta(seconds=wait_seconds)
        unwrap(await wait_for(client, context.clock, awaited, judge_cancelled, limit))

    run_with_client(context, work)
