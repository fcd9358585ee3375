"""Watches that note when each line arrived."""

import asyncio
import json
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest

from almondspread_standin.following import follow_to_end

CONNECT_TIMEOUT_SECONDS = 20.0

TakeLine = Callable[[dict[str, Any]], None]


class WatchStream:
    """One watch, taken up again at the next address where it was cut.

    It resumes from the last revision that it had whole, and skips the lines of the
    next that it has had already.
    """

    def __init__(
        self,
        client: CurlAsyncHTTPClient,
        urls: list[str],
        query: str,
        revision: int,
        take_line: TakeLine,
    ) -> None:
        self.revision = revision
        self.is_open = False
        self.cuts = 0
        self.expired = 0
        self._client = client
        self._urls = urls
        self._query = query
        self._take_line = take_line
        self._rest = b""
        self._latest = revision
        self._taken: set[str] = set()

    async def run(self) -> None:
        """Follow until cancelled."""
        turn = 0
        while True:
            url = self._urls[turn % len(self._urls)]
            self._rest = b""
            request = HTTPRequest(
                f"{url}/v1/watch?from={self.revision}&{self._query}",
                streaming_callback=self._take_chunk,
                connect_timeout=CONNECT_TIMEOUT_SECONDS,
                request_timeout=0,
            )
            status = await follow_to_end(self._client, request)
            self.expired += status == HTTPStatus.GONE
            self.is_open = False
            self.cuts += 1
            turn += 1
            await asyncio.sleep(0.05)

    def _take_chunk(self, chunk: bytes) -> None:
        """Split what arrived into lines."""
        *lines, self._rest = (self._rest + chunk).split(b"\n")
        for data in lines:
            line = json.loads(data)
            if line["type"] == "bookmark":
                self.is_open = True
            elif line["type"] == "expired":
                self.expired += 1
                continue
            else:
                self._take_change(line, data)
                continue
            self.revision = max(self.revision, line["revision"])

    def _take_change(self, line: dict[str, Any], data: bytes) -> None:
        """Hand on a line, unless it came before a cut already."""
        if line["revision"] > self._latest:
            self.revision = max(self.revision, self._latest)
            self._latest = line["revision"]
            self._taken.clear()
        mark = data.decode()
        if mark in self._taken:
            return
        self._taken.add(mark)
        self._take_line(line)


def open_watch_client(streams: int) -> CurlAsyncHTTPClient:
    """Return a client for so many streams at once."""
    return CurlAsyncHTTPClient(force_instance=True, max_clients=streams)


async def wait_until(condition: Callable[[], bool], seconds: float) -> bool:
    """Wait until a condition holds; false after the timeout."""
    try:
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.02)
    except TimeoutError:
        return False
    return True
