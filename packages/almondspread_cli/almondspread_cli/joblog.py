"""What the logs of all instances tell of one job."""

import json
from collections.abc import Iterable
from typing import Any

from attrs import define, field

# Fields that every line has, or that the line is sorted or headed by.
HEADER_FIELDS = ("time", "level", "logger", "message", "instance", "job")


@define(frozen=True, order=True)
class LogEvent:
    """One line about a job; ``time`` is as the instance wrote it, in UTC."""

    time: str
    instance: str
    message: str
    details: str


@define
class JobLog:
    """The events of one job, and how many lines could not be read."""

    events: list[LogEvent] = field(factory=list)
    unreadable: int = 0


def read_job_log(lines: Iterable[str], job: str) -> JobLog:
    """Return the events of a job in order of time, from lines in any order.

    >>> line = '{"time": "2026-01-01T00:00:00", "instance": "entry-1", '
    >>> line += '"message": "run ended", "job": "7f", "outcome": "done"}'
    >>> read_job_log([line, "no JSON"], "7f")
    JobLog(events=[LogEvent(time='2026-01-01T00:00:00', instance='entry-1', \
message='run ended', details='outcome=done')], unreadable=1)
    """
    found, unreadable = find_job_lines(lines, job)
    return JobLog(sorted(_make_event(fields) for fields in found), unreadable)


def find_job_lines(lines: Iterable[str], job: str) -> tuple[list[dict[str, Any]], int]:
    """Return the fields of each line about a job, and how many cannot be read."""
    found = []
    unreadable = 0
    for line in lines:
        text = line.strip()
        if not text:
            continue
        try:
            fields = json.loads(text)
        except (ValueError, RecursionError):
            unreadable += 1
            continue
        if not isinstance(fields, dict):
            unreadable += 1
            continue
        if fields.get("job") == job:
            found.append(fields)
    return found, unreadable


def _make_event(fields: dict[str, Any]) -> LogEvent:
    """Return the event of one line."""
    details = []
    for name, value in fields.items():
        if name not in HEADER_FIELDS:
            details.append(f"{name}={value}")
    return LogEvent(
        str(fields.get("time", "")),
        str(fields.get("instance", "")),
        str(fields.get("message", "")),
        " ".join(details),
    )
