"""Commands that send requests to minions and fetch recorded answers."""

from typing import BinaryIO

import click

from almondspread_cli.addresses import make_path
from almondspread_cli.client import Answer, Call, Client
from almondspread_cli.context import Context, pass_context, run_with_client
from almondspread_cli.failures import refuse_usage, unwrap

LOOKUP = "lookup"


def _print_answer(answer: Answer) -> None:
    """Write the body as it came, and say on the side whether it was recorded."""
    headers = {name.lower(): value for name, value in answer.headers.items()}
    outcome = headers.get("x-request-outcome", "answered")
    click.echo(f"outcome: {outcome}", err=True)
    output = click.get_binary_stream("stdout")
    output.write(answer.body)
    output.flush()


@click.command()
@click.argument("service")
@click.argument("kind", type=click.Choice([LOOKUP, "recalculation", "reservation"]))
@click.option("--body", default="", help="The body, as text.")
@click.option(
    "--body-file",
    type=click.File("rb"),
    help="The file that holds the body, - for the standard input.",
)
@click.option("--key", default="", help="The idempotency key; not for lookups.")
@click.option(
    "--deadline",
    type=click.FloatRange(min=0.0, min_open=True),
    default=None,
    help="Seconds for the answer; the service's longest if left out.",
)
@pass_context
def request(
    context: Context,
    service: str,
    kind: str,
    body: str,
    body_file: BinaryIO | None,
    key: str,
    deadline: float | None,
) -> None:
    """Send one request to SERVICE and print the answer's body.

    A recalculation or reservation needs a --key of your own. It is sent again
    elsewhere only while it surely was not run. If the outcome stays unknown (exit
    code 5), ask for it by `almondspread answer SERVICE KEY`.

    \b
    Examples:
      almondspread request routes lookup --body '{"stop": 17}'
      almondspread request routes recalculation --key 2026-03-02-north \\
          --body-file plan.json --deadline 60
    """
    if (kind == LOOKUP) == bool(key):
        raise refuse_usage(
            f"a {kind} {'takes no' if key else 'needs a'} --key",
            "a key belongs to a recalculation or reservation, one for each",
        )
    if body and body_file:
        raise refuse_usage("--body and --body-file are both given", "give only one")
    payload = body_file.read() if body_file else body.encode()
    headers = {}
    if deadline is not None:
        headers["X-Deadline-Seconds"] = f"{deadline:g}"
    if key:
        headers["Idempotency-Key"] = key
    path = make_path("requests", service, kind)
    call = Call("POST", path, payload, headers, idempotent=kind == LOOKUP)

    async def work(client: Client) -> Answer:
        return unwrap(await client.call(call))

    _print_answer(run_with_client(context, work))


@click.command()
@click.argument("service")
@click.argument("key")
@pass_context
def answer(context: Context, service: str, key: str) -> None:
    """Print the recorded answer of a KEY sent to SERVICE earlier.

    \b
    Example:
      almondspread answer routes 2026-03-02-north
    """

    async def work(client: Client) -> Answer:
        return unwrap(await client.call(Call("GET", make_path("keys", service, key))))

    _print_answer(run_with_client(context, work))
