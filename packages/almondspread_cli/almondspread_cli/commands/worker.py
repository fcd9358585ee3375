"""Commands that move tasks off a worker and back."""

from typing import Any

import click

from almondspread_cli.changes import change_resource
from almondspread_cli.client import Client
from almondspread_cli.context import Context, pass_context, run_with_client
from almondspread_cli.failures import unwrap


def _set_drain(context: Context, worker: str, drain: bool) -> None:
    """Declare whether a worker is drained."""

    def edit(document: dict[str, Any]) -> dict[str, Any]:
        return {**document, "drain": drain}

    async def work(client: Client) -> None:
        unwrap(await change_resource(client, "worker", worker, edit))

    run_with_client(context, work)


@click.command()
@click.argument("worker")
@pass_context
def drain(context: Context, worker: str) -> None:
    """Move the tasks of WORKER elsewhere and start none there.

    \b
    Example:
      almondspread drain umea-rack1-worker3
    """
    _set_drain(context, worker, True)
    click.echo(f"worker/{worker} is to be drained")


@click.command()
@click.argument("worker")
@pass_context
def undrain(context: Context, worker: str) -> None:
    """Let WORKER run tasks again.

    \b
    Example:
      almondspread undrain umea-rack1-worker3
    """
    _set_drain(context, worker, False)
    click.echo(f"worker/{worker} may run tasks again")
