"""The command that tells from logs why tasks of one job do not run."""

from typing import TextIO

import click

from almondspread_cli.tables import clean_text, render_table, show
from almondspread_cli.waitlog import Wait, read_job_waits

EXIT_NOTHING_FOUND = 1
HEADER = (
    "FIRST",
    "LAST",
    "LEADER",
    "EPOCH",
    "STEP",
    "TASKS",
    "CAUSE",
    "UPSTREAM",
    "SECONDS-LEFT",
    "STEPS-BEFORE",
)


@click.command()
@click.argument("job")
@click.option(
    "--log",
    "file",
    type=click.File("r", errors="replace"),
    default="-",
    metavar="FILE",
    help="JSON lines of any number of instances, in any order; else standard input.",
)
@click.pass_context
def explain_job(context: click.Context, job: str, file: TextIO) -> None:
    """Tell why tasks of JOB waited, for each step, cause, upstream and leader.

    A leader logs waits of two seconds and more. All amounts are those of the time LAST;
    SECONDS-LEFT is until the cause has surely ended. Exits with 1 if no line tells of
    a wait.

    \b
    Examples:
      cat entry-*.log | almondspread explain-job 5c0e7a21d94b36f8
      almondspread explain-job 5c0e7a21d94b36f8 --log all.log
    """
    found = read_job_waits(file, job)
    if found.waits:
        click.echo(render_table(HEADER, [_list_cells(wait) for wait in found.waits]))
    if found.unreadable:
        click.echo(f"{found.unreadable} lines could not be read", err=True)
    if found.newest:
        newest = f"{found.newest.get('time')} {found.newest.get('message')}"
        click.echo(clean_text(f"newest line about {job}: {newest}"))
    if not found.waits:
        click.echo(f"no line tells of a wait of {job}", err=True)
        context.exit(EXIT_NOTHING_FOUND)


def _list_cells(wait: Wait) -> list[str]:
    """Return the cells of one wait."""
    fields = wait.fields
    return [
        wait.first,
        wait.last,
        show(fields.get("instance")),
        show(fields.get("epoch")),
        f"{show(fields.get('occurrence'))}.{show(fields.get('step'))}",
        show(fields.get("tasks")),
        show(fields.get("cause")),
        show(fields.get("upstream")),
        show(fields.get("seconds_left")),
        show(fields.get("steps_before")),
    ]
