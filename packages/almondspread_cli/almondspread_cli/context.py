"""What every command shares: the target of its calls, a clock, a random source."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import click
from attrs import define, field

from almondspread.clock import Clock, SystemClock
from almondspread.resources import KINDS
from almondspread_cli.addresses import Target
from almondspread_cli.client import Client

T = TypeVar("T")


@define(frozen=True)
class Context:
    """The shared options of one run of the command line."""

    target: Target
    clock: Clock = field(factory=SystemClock)
    jitter: random.Random = field(factory=random.Random)


pass_context = click.make_pass_decorator(Context)
kind_argument = click.Choice(list(KINDS))
selector_option = click.option(
    "--selector",
    metavar="LABEL=VALUE,...",
    default="",
    help="Only resources that have all of these labels.",
)
output_option = click.option(
    "-o",
    "--output",
    type=click.Choice(["table", "json"]),
    default="table",
    show_default=True,
    help="How to print.",
)
timeout_option = click.option(
    "--wait-seconds",
    type=click.FloatRange(min=0.0),
    default=600.0,
    show_default=True,
    help="How long --wait waits before it ends with exit code 5.",
)


def run_with_client(context: Context, work: Callable[[Client], Awaitable[T]]) -> T:
    """Run a coroutine function of a client on an event loop of its own."""

    async def run() -> Any:
        async with Client(context.target) as client:
            return await work(client)

    return asyncio.run(run())
