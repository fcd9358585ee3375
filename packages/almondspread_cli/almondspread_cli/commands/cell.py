"""Commands that show the instances of the cell and their load."""

import json
import sys
from typing import Any

import click

from almondspread_cli.addresses import make_path
from almondspread_cli.client import Client
from almondspread_cli.context import (
    Context,
    output_option,
    pass_context,
    run_with_client,
)
from almondspread_cli.failures import ExitCode, unwrap
from almondspread_cli.tables import render_table, show

_AMOUNTS = ("cpu_millis", "memory_mib", "accelerators")


def _read_cell(context: Context) -> Any:
    """Return what the instances say of themselves, gathered by one of them."""

    async def work(client: Client) -> Any:
        return unwrap(await client.read(make_path("cell")))

    return run_with_client(context, work)


def _list_lost_peers(instance: dict[str, Any]) -> str:
    """Return the peers that an instance does not count as alive."""
    lost = []
    for peer in instance.get("peers") or []:
        if peer.get("state") == "alive":
            continue
        lost.append(f"{peer.get('name')} ({peer.get('state')})")
    return ", ".join(lost) or "-"


def _describe_state(instance: dict[str, Any]) -> str:
    """Return one word for whether an instance serves."""
    if instance.get("leaving"):
        return "leaving"
    return "ready" if instance.get("ready") else "not ready"


@click.command()
@output_option
@pass_context
def status(context: Context, output: str) -> None:
    """Show whether every entry instance is ready and sees its peers.

    Exits with 1 if an instance is not ready or cannot be reached.
    """
    cell = _read_cell(context)
    unreachable = cell.get("unreachable") or []
    rows = []
    healthy = not unreachable
    for instance in cell["instances"]:
        state = _describe_state(instance)
        healthy = healthy and state != "not ready"
        row = [show(instance.get(key)) for key in ("name", "failure_domain")]
        revision = show(instance.get("revision"))
        rows.append([*row, state, revision, _list_lost_peers(instance)])
    for name in unreachable:
        rows.append([name, "-", "unreachable", "-", "-"])
    if output == "json":
        click.echo(json.dumps(cell, indent=2))
    else:
        header = ["INSTANCE", "FAILURE-DOMAIN", "STATE", "REVISION", "PEERS NOT ALIVE"]
        click.echo(render_table(header, rows))
    sys.exit(ExitCode.OK if healthy else ExitCode.FAILED)


@click.command()
@output_option
@pass_context
def top(context: Context, output: str) -> None:
    """Show tasks, commitments and control cost of each entry instance.

    Commitments are of the workers in the shards that the instance owns, as
    committed/capacity.
    """
    cell = _read_cell(context)
    if output == "json":
        click.echo(json.dumps(cell, indent=2))
        return
    rows = []
    sums: dict[str, float] = {}
    for instance in cell["instances"]:
        figures = _collect_figures(instance)
        for key, value in figures.items():
            sums[key] = sums.get(key, 0) + value
        rows.append(_make_row(show(instance.get("name")), figures))
    rows.append(_make_row("total", sums))
    header = ["INSTANCE", "SHARDS", "RUNNING", "WAITING", "WORKERS", "CPU-MILLIS"]
    header += ["MEMORY-MIB", "ACCELERATORS", "CONTROL-CPU-S", "CONTROL-MIB"]
    click.echo(render_table(header, rows))
    for name in cell.get("unreachable") or []:
        click.echo(f"{name} cannot be reached; its figures are missing", err=True)


def _collect_figures(instance: dict[str, Any]) -> dict[str, float]:
    """Return the figures of one instance by column."""
    shards = instance.get("shards") or []
    figures: dict[str, float] = {"shards": len(shards)}
    for key in ("running", "waiting", "workers"):
        figures[key] = sum(shard.get(key) or 0 for shard in shards)
    for group in ("committed", "capacity"):
        amounts = instance.get(group) or {}
        for key in _AMOUNTS:
            figures[f"{group}.{key}"] = amounts.get(key) or 0
    control = instance.get("control") or {}
    figures["cpu_seconds"] = control.get("cpu_seconds") or 0
    figures["resident_mib"] = control.get("resident_mib") or 0
    return figures


def _make_row(name: str, figures: dict[str, float]) -> list[str]:
    """Return one row of the table of figures."""
    row = [name]
    for key in ("shards", "running", "waiting", "workers"):
        row.append(show(figures.get(key, 0)))
    for key in _AMOUNTS:
        committed = show(figures.get(f"committed.{key}", 0))
        row.append(f"{committed}/{show(figures.get(f'capacity.{key}', 0))}")
    row.append(f"{figures.get('cpu_seconds', 0):.1f}")
    row.append(f"{figures.get('resident_mib', 0):.1f}")
    return row
