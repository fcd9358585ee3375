"""What the words of a task's command make a stand-in worker do."""

import math
from datetime import timedelta

from attrs import define
from expression import Error, Ok, Result

MAX_RUN_SECONDS = 31_536_000
CRASH_DELAY = timedelta(milliseconds=50)


@define(frozen=True)
class Program:
    """How long a task runs and whether it then fails.

    ``run_time`` is ``None`` for a task that runs until it is stopped.
    """

    run_time: timedelta | None
    fails: bool = False


def parse_command(words: tuple[str, ...]) -> Result[Program, str]:
    """Return the program that a command describes, or why there is none.

    ``sleep SECONDS`` runs that long and finishes; ``fail SECONDS`` and
    ``crash-loop SECONDS`` then fail; ``serve`` runs until it is stopped.

    >>> parse_command(("sleep", "1.5")).ok
    Program(run_time=datetime.timedelta(seconds=1, microseconds=500000), fails=False)
    """
    if words == ("serve",):
        return Ok(Program(None))
    if len(words) != 2 or words[0] not in ("sleep", "fail", "crash-loop"):
        return Error(f"command not found: {' '.join(words) or '(empty)'}")
    try:
        seconds = float(words[1])
    except ValueError:
        seconds = math.nan
    if not 0 <= seconds <= MAX_RUN_SECONDS:
        return Error(f"not a number of seconds: {words[1]}")
    return Ok(Program(timedelta(seconds=seconds), fails=words[0] != "sleep"))
