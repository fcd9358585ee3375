"""How a command ends when it does not end well."""

import json
from collections.abc import Callable
from enum import IntEnum
from typing import Any, TypeVar

import click
from attrs import define
from expression import Result

from almondspread_cli.tables import clean_text

T = TypeVar("T")


class ExitCode(IntEnum):
    """The exit codes of the command line."""

    OK = 0
    FAILED = 1
    USAGE = 2
    REFUSED = 3
    UNREACHABLE = 4
    UNKNOWN = 5


@define(frozen=True)
class Failure:
    """What went wrong, what to do about it, and the exit code that says so."""

    exit_code: ExitCode
    code: str
    message: str
    remedy: str
    http_status: int = 0
    retry_after_seconds: float | None = None
    current_version: int | None = None

    def to_text(self) -> str:
        """Return the failure as lines for an operator."""
        lines = [clean_text(f"error: {self.code}: {self.message}")]
        if self.current_version is not None:
            lines.append(f"current version: {self.current_version}")
        if self.retry_after_seconds is not None:
            lines.append(f"retry after: {self.retry_after_seconds:g} s")
        lines.append(clean_text(f"remedy: {self.remedy}"))
        return "\n".join(lines)


class CommandError(click.ClickException):
    """Ends a command with a failure."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.message)
        self.failure = failure
        self.exit_code = failure.exit_code

    def show(self, file: Any = None) -> None:
        """Print the failure to the standard error stream."""
        click.echo(self.failure.to_text(), err=True)


def unwrap(result: Result[T, Failure]) -> T:
    """Return the value of a result, or end the command with its failure."""
    if result.is_error():
        raise CommandError(result.error)
    return result.ok


def refuse_usage(message: str, remedy: str) -> CommandError:
    """Return the error of a command line that cannot be sent as it is."""
    return CommandError(Failure(ExitCode.USAGE, "usage", message, remedy))


def read_problem(status: int, body: bytes, idempotent: bool) -> Failure:
    """Return the failure that an HTTP answer other than success stands for.

    A change whose answer does not prove that it was not run has an unknown outcome,
    unless the answer says that it ran.

    >>> body = b'{"code": "conflict", "message": "m", "remedy": "r"}'
    >>> read_problem(409, body, False).exit_code
    <ExitCode.REFUSED: 3>
    """
    document = _parse_problem(body)
    not_run = document.get("not_run")
    exit_code = ExitCode.REFUSED
    if status >= 500 or status < 400:
        exit_code = _judge_server_error(status, not_run, idempotent)
    remedy = document.get("remedy") or _choose_remedy(exit_code)
    return Failure(
        exit_code=exit_code,
        code=str(document.get("code") or f"http_{status}"),
        message=str(document.get("message") or f"the entry answered HTTP {status}"),
        remedy=str(remedy),
        http_status=status,
        retry_after_seconds=_read_number(document, "retry_after_seconds", float),
        current_version=_read_number(document, "current_version", int),
    )


def proves_not_run(body: bytes) -> bool:
    """Tell whether a problem says that the submission surely did not run."""
    return _parse_problem(body).get("not_run") is True


def _parse_problem(body: bytes) -> dict[str, Any]:
    """Return the document of a problem, empty where the body holds none."""
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        return {}
    return document if isinstance(document, dict) else {}


def _read_number(document: dict[str, Any], key: str, kind: Callable[[Any], T]) -> Any:
    """Return an optional number of a problem."""
    value = document.get(key)
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    return kind(value)


def _judge_server_error(
    status: int, not_run: bool | None, idempotent: bool
) -> ExitCode:
    """Return the exit code of an answer that blames the server."""
    if not_run is False:
        return ExitCode.FAILED
    if not idempotent and not_run is None:
        return ExitCode.UNKNOWN
    if status == 504:
        return ExitCode.UNKNOWN
    if status in (502, 503):
        return ExitCode.UNREACHABLE
    return ExitCode.FAILED


def _choose_remedy(exit_code: ExitCode) -> str:
    """Return what to do about an answer that names no remedy itself."""
    if exit_code is ExitCode.UNKNOWN:
        return "read the resource or key back before sending this again"
    return "see the entry's log, and check that the address is an almondspread entry"
