"""Commands for the quotas of teams."""

from typing import Any

import click

from almondspread_cli.addresses import make_path
from almondspread_cli.changes import change_resource
from almondspread_cli.client import Client
from almondspread_cli.context import Context, pass_context, run_with_client
from almondspread_cli.failures import refuse_usage, unwrap
from almondspread_cli.listing import list_resources
from almondspread_cli.tables import render_items


@click.group()
def quota() -> None:
    """Show and set what teams may hold.

    \b
    Examples:
      almondspread quota show
      almondspread quota set routes --cpu-millis 64000 --memory-mib 131072
    """


@quota.command("show")
@click.argument("team", required=False)
@pass_context
def show_quota(context: Context, team: str | None) -> None:
    """Show the quota of TEAM, or of all teams."""

    async def work(client: Client) -> Any:
        if team is None:
            return unwrap(await list_resources(client, "team", "")).items
        return [unwrap(await client.read(make_path("resources", "team", team)))]

    click.echo(render_items("team", run_with_client(context, work)))


@quota.command("set")
@click.argument("team")
@click.option("--cpu-millis", type=int, help="Processor, in thousandths of a core.")
@click.option("--memory-mib", type=int, help="Memory, in MiB.")
@click.option("--accelerators", type=int, help="Accelerators, in whole units.")
@click.option("--weight", type=float, help="The team's weight in fair share.")
@pass_context
def set_quota(context: Context, team: str, **amounts: float | None) -> None:
    """Set some amounts of TEAM's quota; the others stay.

    A new team needs at least --cpu-millis and --memory-mib.
    """
    given = {name: value for name, value in amounts.items() if value is not None}
    if not given:
        raise refuse_usage("no amount is given", "give for example --memory-mib 4096")

    def edit(document: dict[str, Any]) -> dict[str, Any]:
        return {**document, **given}

    async def work(client: Client) -> None:
        unwrap(await change_resource(client, "team", team, edit))

    run_with_client(context, work)
    click.echo(f"team/{team} changed")
