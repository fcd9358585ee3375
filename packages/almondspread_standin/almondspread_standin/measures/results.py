"""Small helpers for the figures of measurements."""

import json
from typing import Any

import click
import psutil


def find_quantile(values: list[float], fraction: float) -> float:
    """Return the smallest value that at least a fraction of all do not exceed.

    >>> find_quantile([3.0, 1.0, 2.0, 4.0], 0.5)
    2.0
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    position = max(0, -(-len(ordered) * fraction // 1) - 1)
    return ordered[int(position)]


def measure_resident_mb() -> float:
    """Return the resident memory of this process in 10**6 bytes."""
    return round(psutil.Process().memory_info().rss / 1e6, 1)


def print_result(result: dict[str, Any]) -> None:
    """Print a result as one line of JSON."""
    click.echo(json.dumps(result))
