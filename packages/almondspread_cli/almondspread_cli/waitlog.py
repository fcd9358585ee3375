"""What the leaders' logs tell of why tasks of one job do not run."""

from collections.abc import Iterable
from typing import Any

import attrs
from attrs import define, field

from almondspread_cli.joblog import find_job_lines

WAIT_MESSAGE = "task waits"


@define(frozen=True)
class Wait:
    """A cause for which tasks of a step waited, as one leader has logged it.

    The leader logged it from the time ``first`` to ``last``; ``fields`` are those of
    the last line.
    """

    first: str
    last: str
    fields: dict[str, Any]


@define
class JobWaits:
    """The waits of one job by the time ``first``, and the newest line about the job.

    The newest line is of any kind. ``unreadable`` counts lines that cannot be read.
    """

    waits: list[Wait] = field(factory=list)
    newest: dict[str, Any] = field(factory=dict)
    unreadable: int = 0


def read_job_waits(lines: Iterable[str], job: str) -> JobWaits:
    """Return why tasks of a job waited, from the lines of all instances.

    Lines that differ only in time and amounts make up one wait.

    >>> line = '{"time": "T%d", "message": "task waits", "job": "7f", "step": 1, '
    >>> line += '"cause": "no_room", "tasks": %d}'
    >>> found = read_job_waits([line % (2, 4), line % (7, 3)], "7f")
    >>> [(wait.first, wait.last, wait.fields["tasks"]) for wait in found.waits]
    [('T2', 'T7', 3)]
    """
    found, unreadable = find_job_lines(lines, job)
    found.sort(key=lambda fields: str(fields.get("time", "")))
    waits: dict[tuple[str, ...], Wait] = {}
    for fields in found:
        if fields.get("message") != WAIT_MESSAGE:
            continue
        time = str(fields.get("time", ""))
        known = waits.setdefault(_make_key(fields), Wait(time, time, fields))
        waits[_make_key(fields)] = attrs.evolve(known, last=time, fields=fields)
    newest = found[-1] if found else {}
    return JobWaits(list(waits.values()), newest, unreadable)


def _make_key(fields: dict[str, Any]) -> tuple[str, ...]:
    """Return what the lines of one wait have in common."""
    names = ("instance", "epoch", "occurrence", "step", "cause", "upstream")
    return tuple(str(fields.get(name)) for name in names)
