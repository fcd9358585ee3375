"""Commands for the configuration of the whole cell."""

from datetime import timedelta
from typing import Any

import attrs
import click

from almondspread.resources import Configuration
from almondspread_cli.addresses import make_path
from almondspread_cli.changes import change_resource
from almondspread_cli.client import Client
from almondspread_cli.context import (
    Context,
    pass_context,
    run_with_client,
    timeout_option,
)
from almondspread_cli.failures import refuse_usage, unwrap
from almondspread_cli.tables import render_table, show
from almondspread_cli.waiting import judge_applied, wait_for

DEFAULT_NAME = "cell"
VALUES_PREFIX = "values."

_name_option = click.option(
    "--name",
    default=DEFAULT_NAME,
    show_default=True,
    help="Which configuration.",
)


@click.group("config")
def config() -> None:
    """Show and set the configuration, and where it is in force.

    \b
    Examples:
      almondspread config show
      almondspread config set policy=packing quarantine_share=0.2 --wait
      almondspread config set values.term=autumn
    """


@config.command("show")
@_name_option
@pass_context
def show_configuration(context: Context, name: str) -> None:
    """Show the configuration and whether each instance has it in force."""

    async def work(client: Client) -> Any:
        return unwrap(await client.read(make_path("resources", "configuration", name)))

    item = run_with_client(context, work)
    _print_configuration(item["document"], item.get("status") or {})


def _print_configuration(document: dict[str, Any], status: dict[str, Any]) -> None:
    """Print the settings and a table of the instances."""
    rows = []
    for key, value in document.items():
        if key in ("kind", "metadata", "values"):
            continue
        rows.append([key, show(value)])
    for key, value in (document.get("values") or {}).items():
        rows.append([VALUES_PREFIX + key, show(value)])
    click.echo(render_table(["KEY", "VALUE"], rows))
    click.echo(f"\naccepted revision: {show(status.get('accepted_revision'))}")
    instances = []
    for name in status.get("in_force") or []:
        instances.append([name, "yes", "-"])
    for name, why in (status.get("not_in_force") or {}).items():
        instances.append([name, "no", show(why)])
    if instances:
        click.echo(render_table(["INSTANCE", "IN-FORCE", "WHY NOT"], sorted(instances)))


def _parse_number(key: str, text: str, kind: type) -> Any:
    """Return the number that a text holds."""
    try:
        return kind(text)
    except ValueError:
        raise refuse_usage(f"{key}={text} is not a number", "give a number") from None


def parse_assignments(assignments: tuple[str, ...]) -> tuple[dict[str, Any], dict]:
    """Return the fields and the free values that ``KEY=VALUE`` words set.

    >>> parse_assignments(("quarantine_share=0.2", "values.term=autumn"))
    ({'quarantine_share': 0.2}, {'term': 'autumn'})
    """
    known = attrs.fields_dict(Configuration)
    settable = [name for name in known if name not in ("metadata", "values")]
    changed: dict[str, Any] = {}
    values: dict[str, str] = {}
    for assignment in assignments:
        key, found, text = assignment.partition("=")
        if found and key.startswith(VALUES_PREFIX):
            values[key.removeprefix(VALUES_PREFIX)] = text
            continue
        if not found or key not in settable:
            raise refuse_usage(
                f"{assignment!r} sets no known key",
                f"set {', '.join(settable)} or {VALUES_PREFIX}KEY",
            )
        kind = known[key].type
        changed[key] = text if kind is str else _parse_number(key, text, kind)
    return changed, values


@config.command("set")
@click.argument("assignments", nargs=-1, required=True, metavar="KEY=VALUE...")
@_name_option
@click.option("--wait", is_flag=True, help="Wait until it is in force everywhere.")
@timeout_option
@pass_context
def set_configuration(
    context: Context,
    assignments: tuple[str, ...],
    name: str,
    wait: bool,
    wait_seconds: float,
) -> None:
    """Set some keys of the configuration; the others stay."""
    changed, values = parse_assignments(assignments)

    def edit(document: dict[str, Any]) -> dict[str, Any]:
        merged = {**(document.get("values") or {}), **values}
        return {**document, **changed, "values": merged}

    async def work(client: Client) -> None:
        awaited = unwrap(await change_resource(client, "configuration", name, edit))
        click.echo(f"configuration/{name} accepted")
        if not wait:
            return
        limit = timedelta(seconds=wait_seconds)
        unwrap(await wait_for(client, context.clock, [awaited], judge_applied, limit))
        click.echo(f"configuration/{name} is in force everywhere")

    run_with_client(context, work)
