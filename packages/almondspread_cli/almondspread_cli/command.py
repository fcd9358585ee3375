"""The command line of operators, ``almondspread``."""

import os

import click

from almondspread_cli.addresses import Target, normalize_entries
from almondspread_cli.commands.apply import apply, cancel
from almondspread_cli.commands.cell import status, top
from almondspread_cli.commands.completion import completion
from almondspread_cli.commands.configuration import config
from almondspread_cli.commands.explain import explain
from almondspread_cli.commands.explain_job import explain_job
from almondspread_cli.commands.logs import logs
from almondspread_cli.commands.quota import quota
from almondspread_cli.commands.read import describe, get
from almondspread_cli.commands.request import answer, request
from almondspread_cli.commands.watch import watch
from almondspread_cli.commands.worker import drain, undrain
from almondspread_cli.context import Context

DEFAULT_ENTRY = "http://127.0.0.1:8101"
ENTRIES_VARIABLE = "ALMONDSPREAD_ENTRIES"
TOKEN_VARIABLE = "ALMONDSPREAD_TOKEN"

_COMMANDS = (
    apply,
    cancel,
    get,
    describe,
    watch,
    drain,
    undrain,
    quota,
    config,
    top,
    status,
    explain,
    explain_job,
    logs,
    request,
    answer,
    completion,
)


def _choose_entries(given: tuple[str, ...]) -> tuple[str, ...]:
    """Return the entries of the options, else of the environment, else the default."""
    if given:
        return normalize_entries(given)
    listed = os.environ.get(ENTRIES_VARIABLE, "").replace(",", " ").split()
    return normalize_entries(listed or [DEFAULT_ENTRY])


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.option(
    "--entry",
    "entries",
    multiple=True,
    metavar="ADDRESS",
    help="An entry instance, IP:port or URL; repeat it for fail-over. Without it, "
    f"the addresses in {ENTRIES_VARIABLE}, else {DEFAULT_ENTRY}.",
)
@click.option(
    "--authority",
    envvar="ALMONDSPREAD_AUTHORITY",
    default="",
    type=click.Path(),
    metavar="FILE",
    help="PEM file of the authority that signed the entries' certificates.",
)
@click.option(
    "--timeout",
    type=click.FloatRange(min=0.0, min_open=True),
    default=30.0,
    show_default=True,
    help="Seconds that one call may take.",
)
@click.pass_context
def main(
    context: click.Context, entries: tuple[str, ...], authority: str, timeout: float
) -> None:
    """Declare workloads of an almondspread cell and follow them.

    The bearer token is read from ALMONDSPREAD_TOKEN. If an entry does not answer,
    the next one is asked; a change is sent again only if it surely was not made.

    \b
    Exit codes:
      0  done
      1  the outcome is a failure: a job failed, an instance is not ready
      2  wrong usage or an invalid file; nothing was sent
      3  refused, for example by a conflict; nothing was changed
      4  no entry could be reached; nothing was changed
      5  the outcome is unknown: read it back before trying again

    \b
    Examples:
      almondspread --entry 127.0.0.1:8101 --entry 127.0.0.1:8102 get service
      almondspread apply --wait -f stops.json
      almondspread explain batch
    """
    target = Target(
        entries=_choose_entries(entries),
        token=os.environ.get(TOKEN_VARIABLE, ""),
        authority=authority,
        timeout_seconds=timeout,
    )
    context.ensure_object(dict)
    context.obj = Context(target)


for _command in _COMMANDS:
    main.add_command(_command)


if __name__ == "__main__":
    main()
