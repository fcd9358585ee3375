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
    resumes after the last revision known to be whole, and what it has had of the one
    after is skipped once.

    >>> progress = Progress(4)
    >>> progress.take({"type": "changed", "revision": 5, "name": "a"})
    True
    >>> progress.resume()
    4
    >>> progress.take({"type": "changed", "revision": 5, "name": "a"})
    False
    """

    def __init__(self, revision: int) -> None:
        self._whole = revision
        self._latest = revision
        self._taken: set[str] = set()
        self._repeated: set[str] = set()

    def resume(self) -> int:
        """Return the revision to resume from, and expect the repeats after it."""
        self._repeated = set(self._taken)
        return self._whole

    def take(self, event: Event) -> bool:
        """Note an event; return whether it is to be handed on."""
        revision = int(event.get("revision") or 0)
        if revision > self._latest:
            self._whole = self._latest
            self._start_revision(revision)
        if event["type"] == "bookmark":
            if revision == self._latest:
                self._whole = revision
                self._start_revision(revision)
            return False
        if revision < self._latest:
            return True
        mark = json.dumps(event, sort_keys=True)
        if mark in self._repeated:
            self._repeated.remove(mark)
            return False
        self._taken.add(mark)
        return True

    def _start_revision(self, revision: int) -> None:
        """Forget the events of the revisions before."""
        self._latest = revision
        self._taken.clear()
        self._repeated.clear()


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
        self._moved = False
        self._progress = Progress(0)

    async def run(self, revision: int | None) -> Result[None, Failure]:
        """Follow for ever; the error tells why no entry will serve the watch."""
        if revision is None:
            status = await self._client.read(make_path("status"))
            if status.is_error():
                return Error(status.error)
            revision = int(status.ok["revision"])
        self._progress = Progress(revision)
        idle = 0
        connected = False
        while True:
            self._moved = False
            ended = await self._follow_once()
            if self._expired:
                ended = await self._list_again()
            elif ended.is_ok():
                self._notify("the stream was cut; resuming at the next entry")
            idle = 0 if self._moved else idle + 1
            connected = connected or ended.is_ok()
            if ended.is_error():
                if not self._may_go_on(ended.error, connected, idle):
                    return Error(ended.error)
                self._notify(f"{ended.error.message}; trying the next entry")
            self._client.move_on()
            await self._pause(idle)

    async def _follow_once(self) -> Result[None, Failure]:
        """Follow one stream to its end."""
        path = make_path(
            "watch",
            **{
                "from": self._progress.resume(),
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
        if not self._progress.take(event):
            return
        self._moved = True
        self._emit(event)

    async def _list_again(self) -> Result[None, Failure]:
        """Hand on all resources as they are now, and watch on from there."""
        resume = self._progress.resume()
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

    def _may_go_on(self, failure: Failure, connected: bool, idle: int) -> bool:
        """Tell whether another address may still serve the watch."""
        if failure.exit_code is ExitCode.REFUSED:
            return False
        return connected or idle < self._client.entry_count

    async def _pause(self, idle: int) -> None:
        """Wait once every address was tried without bringing an event."""
        rounds = idle // self._client.entry_count
        if not rounds:
            return
        longest = min(FIRST_PAUSE * 2 ** min(rounds, 10), LONGEST_PAUSE)
        await self._clock.sleep(longest * self._jitter.uniform(0.5, 1.0))
