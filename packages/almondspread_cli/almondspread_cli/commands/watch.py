"""The command that follows changes."""

import json
from typing import Any

import click

from almondspread.resources import KINDS
from almondspread_cli.client import Client
from almondspread_cli.context import (
    Context,
    kind_argument,
    output_option,
    pass_context,
    run_with_client,
    selector_option,
)
from almondspread_cli.failures import unwrap
from almondspread_cli.tables import clean_text, summarize_status
from almondspread_cli.watching import Watch


def _print_line(event: dict[str, Any]) -> None:
    """Print an event on one line."""
    status = summarize_status(event.get("status"))
    name = f"{event.get('kind')}/{event.get('name')}"
    line = f"{event.get('revision')} {event['type']} {name} {status}"
    click.echo(clean_text(line.rstrip()))


def _print_json(event: dict[str, Any]) -> None:
    """Print an event as a JSON line."""
    click.echo(json.dumps(event))


def _notify(text: str) -> None:
    """Tell the operator something about the watch itself."""
    click.echo(f"watch: {text}", err=True)


@click.command()
@click.argument("kinds", nargs=-1, type=kind_argument, metavar="[KIND]...")
@click.option(
    "--from",
    "revision",
    type=click.IntRange(min=0),
    help="Show changes after this revision; the current one by default.",
)
@selector_option
@output_option
@pass_context
def watch(
    context: Context,
    kinds: tuple[str, ...],
    revision: int | None,
    selector: str,
    output: str,
) -> None:
    """Follow changes of the KINDs, or of all, until interrupted.

    After a cut the watch goes on at the next entry from where it was, and says so on
    the standard error stream. If the entry no longer keeps that revision, it lists
    all resources again (events of type `listed`) and follows from there.

    \b
    Examples:
      almondspread watch service batch
      almondspread watch --from 1041 -o json
    """
    emit = _print_json if output == "json" else _print_line

    async def work(client: Client) -> None:
        watched = kinds or tuple(KINDS)
        follower = Watch(
            client, context.clock, context.jitter, watched, selector, emit, _notify
        )
        unwrap(await follower.run(revision))

    run_with_client(context, work)
