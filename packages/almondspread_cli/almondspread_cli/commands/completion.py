"""The command that prints shell completion."""

import click
from click.shell_completion import get_completion_class

PROGRAM = "almondspread"
COMPLETE_VARIABLE = "_ALMONDSPREAD_COMPLETE"


@click.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
@click.pass_context
def completion(context: click.Context, shell: str) -> None:
    """Print the script that completes commands in SHELL.

    \b
    Example, in bash:
      eval "$(almondspread completion bash)"
    """
    kind = get_completion_class(shell)
    if kind is None:
        raise click.UsageError(f"there is no completion for {shell}")
    root = context.find_root().command
    click.echo(kind(root, {}, PROGRAM, COMPLETE_VARIABLE).source())
