"""A watch that goes on at the next address where it was cut."""

import json
import random
from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import Any

from expression import Error, Ok, Result

from almondspread.clock import Clock
from almondspread_cli.addresses import make_path
from almondspread_cli.client import Client
from almondspread_cli.failures import ExitCode, Failure
from almondspread_cli.listing import list_resources

FIRST_PAUSE = timedelta(milliseconds=250)
LONGEST_PAUSE = timedelta(seconds=10)

Event = dict[str, Any]


class Progress:
    """Which events of a watch have been handed on.

    Several events may share a revision, so a cut can fall between them. The watch
    resumes after the last revision known to be whole and skips what it has had.

    >>> progress = Progress(4)
    >>> progress.take({"type": "changed", "revision": 5, "name": "a"})
    True
    >>> progress.resume_from
    4
    >>> progress.take({"type": "changed", "revision": 5, "name": "a"})
    False
    """

    def __init__(self, revision: int) -> None:
        self.resume_from = revision
        self._latest = revision
        self._taken: set[str] = set()

    def take(self, event: Event) -> bool:
        """Note an event; return whether it is new."""
        revision = int(event.get("revision") or 0)
        if revision < self._latest:
            return revision > self.resume_from
        if revision > self._latest:
            self.resume_from = max(self.resume_from, self._latest)
            self._latest = revision
            self._taken.clear()
        if event["type"] == "bookmark":
            self.resume_from = revision
            return True
        mark = json.dumps(event, sort_keys=True)
        if mark in self._taken:
            return False
        self._taken.add(mark)
        return True


class Watch:
    """Follows changes of some kinds from a revision on, whichever entry answers."""

    def __init__(
        self,
        client: Client,
        clock: Clock,
        jitter: random.Random,
        kinds: Sequence[str],
        selector: str,
        emit: Callable[[Event], None],
        notify: Callable[[str], None],
    ) -> None:
        self._client = client
        self._clock = clock
        self._jitter = jitter
        self._kinds = kinds
        self._selector = selector
        self._emit = emit
        self._notify = notify
        self._expired = False
        self._progress = Progress(0)

    async def run(self, revision: int | None) -> Result[None, Failure]:
        """Follow for ever; the error tells why no entry will serve the watch."""
        if revision is None:
            status = await self._client.read(make_path("status"))
            if status.is_error():
                return Error(status.error)
            revision = int(status.ok["revision"])
        self._progress = Progress(revision)
        failures = 0
        connected = False
        while True:
            ended = await self._follow_once()
            if self._expired:
                listed = await self._list_again()
                if listed.is_ok():
                    continue
                ended = Error(listed.error)
            if ended.is_ok():
                connected = True
                failures = 0
                self._notify_cut("the stream was cut")
            else:
                failures += 1
                if not self._may_go_on(ended.error, connected, failures):
                    return Error(ended.error)
                self._notify_cut(ended.error.message)
            self._client.move_on()
            await self._pause(failures)

    async def _follow_once(self) -> Result[None, Failure]:
        """Follow one stream to its end."""
        path = make_path(
            "watch",
            **{
                "from": self._progress.resume_from,
                "kinds": ",".join(self._kinds),
                "selector": self._selector,
            },
        )
        ended = await self._client.follow(path, self._handle)
        if ended.is_error() and ended.error.http_status == 410:
            self._expired = True
            return Ok(None)
        return ended

    def _handle(self, event: Event) -> None:
        """Hand a new event on; bookmarks only move the point to resume from."""
        if event["type"] == "expired":
            self._expired = True
            return
        if not self._progress.take(event) or event["type"] == "bookmark":
            return
        self._emit(event)

    async def _list_again(self) -> Result[None, Failure]:
        """Hand on all resources as they are now, and watch on from there."""
        resume = self._progress.resume_from
        self._notify(
            f"revision {resume} has expired: listing again; changes and removals "
            "between it and the list are not shown one by one"
        )
        revision: int | None = None
        for kind in self._kinds:
            listed = await list_resources(self._client, kind, self._selector)
            if listed.is_error():
                return Error(listed.error)
            if revision is None:
                revision = listed.ok.revision
            for item in listed.ok.items:
                self._emit({"type": "listed", "revision": listed.ok.revision, **item})
        self._expired = False
        self._progress = Progress(revision or 0)
        return Ok(None)

    def _may_go_on(self, failure: Failure, connected: bool, failures: int) -> bool:
        """Tell whether another address may still serve the watch."""
        if failure.exit_code is ExitCode.REFUSED:
            return False
        return connected or failures < self._client.entry_count

    def _notify_cut(self, reason: str) -> None:
        """Say that the watch goes on elsewhere."""
        resume = self._progress.resume_from
        self._notify(f"{reason}; resuming from revision {resume}")

    async def _pause(self, failures: int) -> None:
        """Wait before a further round once no address has answered."""
        rounds = failures // self._client.entry_count
        if not rounds:
            return
        longest = min(FIRST_PAUSE * 2 ** min(rounds, 10), LONGEST_PAUSE)
        await self._clock.sleep(longest * self._jitter.uniform(0.5, 1.0))
