"""Waiting until what was declared has come about."""

from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import Any

from attrs import define
from expression import Error, Ok, Result

from almondspread.clock import Clock
from almondspread_cli.addresses import make_path
from almondspread_cli.client import Client
from almondspread_cli.failures import ExitCode, Failure

FIRST_PAUSE = timedelta(milliseconds=200)
LONGEST_PAUSE = timedelta(seconds=2)
_RETRIED = (ExitCode.UNREACHABLE, ExitCode.UNKNOWN)


@define(frozen=True)
class Awaited:
    """A resource and the version from which its status counts."""

    kind: str
    name: str
    resource_version: int


@define(frozen=True)
class Verdict:
    """Whether a resource is where it should be, or never will be."""

    done: bool
    failed: bool = False
    message: str = ""


Judge = Callable[[Awaited, "dict[str, Any] | None"], Verdict]


def judge_applied(awaited: Awaited, item: dict[str, Any] | None) -> Verdict:
    """Judge whether an applied resource has taken effect.

    A service is to be ready with all replicas, a job finished, a configuration in
    force everywhere. An answer from before the applied version says nothing.

    >>> item = {"resource_version": 2, "status": {"phase": "failed", "message": "m"}}
    >>> judge_applied(Awaited("batch", "nightly", 2), item).failed
    True
    """
    if (
        item is None
        or int(item.get("resource_version") or 0) < awaited.resource_version
    ):
        return Verdict(False, message="not yet seen")
    status = item.get("status") or {}
    message = str(status.get("message") or "")
    if awaited.kind == "service":
        replicas = (item.get("document") or {}).get("replicas")
        done = status.get("ready") is True and status.get("replicas") == replicas
        return Verdict(done, message=message)
    if awaited.kind in ("batch", "gang"):
        phase = status.get("phase")
        failed = phase in ("failed", "cancelled", "impossible")
        return Verdict(phase == "finished", failed, f"{phase}: {message}")
    if awaited.kind == "configuration":
        return _judge_configuration(awaited, status)
    return Verdict(True)


def _judge_configuration(awaited: Awaited, status: dict[str, Any]) -> Verdict:
    """Judge whether a configuration is in force on every instance."""
    missing = status.get("not_in_force") or {}
    reasons = [f"{name}: {why}" for name, why in sorted(missing.items())]
    accepted = int(status.get("accepted_revision") or 0) >= awaited.resource_version
    done = accepted and bool(status.get("in_force")) and not missing
    return Verdict(done, message="not in force on " + "; ".join(reasons))


def judge_cancelled(awaited: Awaited, item: dict[str, Any] | None) -> Verdict:
    """Judge whether a cancelled workload is gone, with no task still running."""
    if item is None:
        return Verdict(True)
    status = item.get("status") or {}
    running = status.get("running")
    done = status.get("phase") == "cancelled" and not running
    return Verdict(done, message=f"{show_count(running)} still running")


def show_count(running: Any) -> str:
    """Return how many tasks run, for a message."""
    return "an unknown number" if running is None else str(running)


async def wait_for(
    client: Client,
    clock: Clock,
    awaited: Sequence[Awaited],
    judge: Judge,
    limit: timedelta,
) -> Result[None, Failure]:
    """Read resources until each is judged done, one has failed or time is up."""
    deadline = clock.monotonic() + limit
    pause = FIRST_PAUSE
    open_resources = list(awaited)
    seen: set[Awaited] = set()
    while True:
        remaining: list[tuple[Awaited, str]] = []
        for one in open_resources:
            verdict = await _judge_one(client, one, judge, seen)
            if verdict.is_error():
                return Error(verdict.error)
            if verdict.ok.done:
                continue
            remaining.append((one, verdict.ok.message))
        if not remaining:
            return Ok(None)
        open_resources = [one for one, _ in remaining]
        if clock.monotonic() + pause > deadline:
            return Error(_report_timeout(remaining))
        await clock.sleep(pause)
        pause = min(pause * 2, LONGEST_PAUSE)


async def _judge_one(
    client: Client, one: Awaited, judge: Judge, seen: set[Awaited]
) -> Result[Verdict, Failure]:
    """Read one resource and judge it; the error is what ends the wait."""
    answer = await client.read(make_path("resources", one.kind, one.name))
    item = None
    if answer.is_ok():
        item = answer.ok
        seen.add(one)
    elif answer.error.exit_code in _RETRIED:
        return Ok(Verdict(False, message=answer.error.message))
    elif answer.error.http_status != 404:
        return Error(answer.error)
    verdict = judge(one, item)
    if verdict.failed:
        return Error(_report_failed(one, verdict.message))
    if item is None and one in seen and not verdict.done:
        return Error(_report_failed(one, "removed while it was waited for"))
    return Ok(verdict)


def _report_failed(one: Awaited, message: str) -> Failure:
    """Return the failure of a resource that will not come about."""
    where = f"{one.kind}/{one.name}"
    remedy = f"see `almondspread describe {where}`"
    return Failure(ExitCode.FAILED, "failed", f"{where}: {message}", remedy)


def _report_timeout(remaining: Sequence[tuple[Awaited, str]]) -> Failure:
    """Return the failure of a wait that took too long."""
    reasons = [f"{one.kind}/{one.name} ({message})" for one, message in remaining]
    message = "the change was accepted, but is not complete: " + ", ".join(reasons)
    remedy = "follow it by `almondspread watch`, or wait longer by --wait-seconds"
    return Failure(ExitCode.UNKNOWN, "wait_timeout", message, remedy)
