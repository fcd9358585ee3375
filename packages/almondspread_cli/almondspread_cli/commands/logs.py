"""The command that tells the story of one job from logs."""

from typing import TextIO

import click

from almondspread_cli.joblog import read_job_log

EXIT_NOTHING_FOUND = 1


@click.command()
@click.argument("job")
@click.argument("file", type=click.File("r", errors="replace"), default="-")
@click.pass_context
def logs(context: click.Context, job: str, file: TextIO) -> None:
    """Show what the instances logged about JOB, in order of time.

    FILE holds the JSON lines of any number of instances, in any order; without it
    they are read from standard input. Exits with 1 if no line is about the job.

    \b
    Examples:
      cat entry-*.log | almondspread logs 5c0e7a21d94b36f8
      almondspread logs 5c0e7a21d94b36f8 all.log
    """
    log = read_job_log(file, job)
    for event in log.events:
        click.echo(f"{event.time} {event.instance} {event.message} {event.details}")
    if log.unreadable:
        click.echo(f"{log.unreadable} lines could not be read", err=True)
    if not log.events:
        click.echo(f"no line is about {job}", err=True)
        context.exit(EXIT_NOTHING_FOUND)
