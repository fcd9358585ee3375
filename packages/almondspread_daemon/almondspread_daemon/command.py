"""The command line of the daemon ``almondspreadd``."""

import asyncio
import json
import sys
from pathlib import Path

import click

from almondspread_daemon.settings import Settings, make_schema, read_settings
from almondspread_daemon.settings.page import render_settings_page

EXIT_INVALID_SETTINGS = 2

_SETTINGS_FILE = click.Path(path_type=Path)


def _load(path: Path) -> Settings:
    """Return the settings of a file, or end with every fault on its own line."""
    loaded = read_settings(path)
    if loaded.is_ok():
        return loaded.ok
    click.echo(f"{path}: the settings are refused", err=True)
    click.echo(loaded.error.to_text(), err=True)
    sys.exit(EXIT_INVALID_SETTINGS)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """Run one entry instance of the almondspread cluster scheduler.

    \b
    Examples:
      almondspreadd check-config entry-1.json
      almondspreadd run --config entry-1.json
    """


@main.command()
@click.option(
    "--config",
    "path",
    type=_SETTINGS_FILE,
    required=True,
    help="The settings of this instance, a JSON file.",
)
def run(path: Path) -> None:
    """Run the instance until it is told to stop.

    SIGTERM and SIGINT start a graceful shutdown, which lets requests under way
    finish. Exits with 2 if the settings are refused.
    """
    settings = _load(path)
    # The other commands need none of what an instance imports.
    from almondspread_daemon.process import run_entry

    sys.exit(asyncio.run(run_entry(settings, path)))


@main.command("check-config")
@click.argument("path", type=_SETTINGS_FILE, metavar="FILE")
def check_config(path: Path) -> None:
    """Check the settings in FILE and name every wrong key.

    Exits with 0 if they are good and with 2 if they are refused.
    """
    settings = _load(path)
    click.echo(
        f"{path}: good, instance {settings.name} of {settings.operator} "
        f"in failure domain {settings.failure_domain}"
    )


@main.command()
@click.option("--page", is_flag=True, help="Print the operators' page instead.")
def schema(page: bool) -> None:
    """Print the JSON Schema of the settings, for editors and other checks."""
    if page:
        click.echo(render_settings_page(), nl=False)
        return
    click.echo(json.dumps(make_schema(), indent=2))


if __name__ == "__main__":
    main()
