"""Commands that show resources."""

import json
from typing import Any

import click

from almondspread.resources import KINDS
from almondspread_cli.addresses import make_path
from almondspread_cli.client import Client
from almondspread_cli.context import (
    Context,
    kind_argument,
    output_option,
    pass_context,
    run_with_client,
    selector_option,
)
from almondspread_cli.failures import refuse_usage, unwrap
from almondspread_cli.listing import list_resources
from almondspread_cli.tables import render_items, render_table, show, summarize_status


@click.command()
@click.argument("kind", type=kind_argument, metavar="KIND")
@click.argument("name", required=False)
@output_option
@selector_option
@pass_context
def get(
    context: Context, kind: str, name: str | None, output: str, selector: str
) -> None:
    """Show the resources of a KIND, or the one of a NAME.

    Kinds are service, batch, gang, team, worker, request-service, configuration.

    \b
    Examples:
      almondspread get service
      almondspread get batch --selector term=autumn -o json
    """

    async def work(client: Client) -> Any:
        if name is None:
            return unwrap(await list_resources(client, kind, selector)).to_document()
        return unwrap(await client.read(make_path("resources", kind, name)))

    found = run_with_client(context, work)
    if output == "json":
        click.echo(json.dumps(found, indent=2))
        return
    click.echo(render_items(kind, [found] if name else found["items"]))


@click.command()
@click.argument("resource", metavar="KIND/NAME")
@output_option
@pass_context
def describe(context: Context, resource: str, output: str) -> None:
    """Show one workload with its tasks, and why tasks wait.

    \b
    Example:
      almondspread describe batch/nightly-routes
    """
    kind, _, name = resource.partition("/")
    if kind not in KINDS or not name:
        raise refuse_usage(
            f"{resource!r} is not KIND/NAME", "write for example service/stops"
        )

    async def work(client: Client) -> Any:
        return unwrap(await client.read(make_path("describe", kind, name)))

    found = run_with_client(context, work)
    if output == "json":
        click.echo(json.dumps(found, indent=2))
        return
    _print_description(found)


def _print_description(found: dict[str, Any]) -> None:
    """Print the document, the status and a table of the tasks."""
    item = found["item"]
    click.echo(f"{item['kind']}/{item['name']}  version {item['resource_version']}")
    click.echo(json.dumps(item["document"], indent=2))
    click.echo(f"status: {summarize_status(item.get('status')) or '-'}")
    rows = []
    for task in found.get("tasks") or []:
        row = [show(task.get(key)) for key in ("task", "state", "worker", "attempt")]
        rows.append([*row, _show_reasons(task.get("reasons") or {})])
    if rows:
        header = ["TASK", "STATE", "WORKER", "ATTEMPT", "WHY IT WAITS"]
        click.echo(render_table(header, rows))


def _show_reasons(reasons: dict[str, Any]) -> str:
    """Return why workers do not suit, each reason with its number of workers."""
    words = []
    for reason, workers in reasons.items():
        count = len(workers) if isinstance(workers, list) else workers
        words.append(f"{reason} ({count} workers)")
    return "; ".join(words) or "-"
