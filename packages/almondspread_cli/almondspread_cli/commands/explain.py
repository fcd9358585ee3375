"""The command that explains kinds of resource and their fields."""

import inspect

import click

from almondspread.resources import KINDS
from almondspread_cli.failures import refuse_usage
from almondspread_cli.fields import FieldDescription, describe_fields
from almondspread_cli.tables import render_table


def _select(
    fields: list[FieldDescription], path: str, kind: str
) -> list[FieldDescription]:
    """Return the field of a path and those nested in it."""
    found = []
    for one in fields:
        if one.path == path or one.path.startswith(path + "."):
            found.append(one)
    if not found:
        names = ", ".join(one.path for one in fields)
        raise refuse_usage(f"{kind} has no field {path!r}", f"use one of {names}")
    return found


@click.command()
@click.argument("subject", metavar="KIND[.FIELD]")
def explain(subject: str) -> None:
    """Explain a KIND of resource: its fields, their types, defaults and limits.

    \b
    Examples:
      almondspread explain gang
      almondspread explain service.template.memory_mib
    """
    kind, _, path = subject.partition(".")
    if kind not in KINDS:
        raise refuse_usage(
            f"kind {kind!r} is not known", "use one of " + ", ".join(KINDS)
        )
    fields = describe_fields(KINDS[kind])
    if path:
        fields = _select(fields, path, kind)
    else:
        click.echo(inspect.getdoc(KINDS[kind]))
        click.echo()
    rows = []
    for one in fields:
        rows.append([one.path, one.type_name, one.default, one.allowed or "-"])
    click.echo(render_table(["FIELD", "TYPE", "DEFAULT", "ALLOWED"], rows))
