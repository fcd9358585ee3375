"""A caller and operator for the demonstration, over the HTTP interface."""

import json
from typing import Any

from attrs import define
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest

from almondspread_standin.following import follow_to_end

REQUEST_TIMEOUT_SECONDS = 10.0


@define(frozen=True)
class Answer:
    """An answer of an entry: HTTP status, headers and JSON document."""

    status: int
    outcome: str
    document: Any


class DemoClient:
    """Sends calls to the running entries, one after the other in turn."""

    def __init__(self, urls: dict[str, str]) -> None:
        self.urls = urls
        self._client = CurlAsyncHTTPClient(force_instance=True, max_clients=64)
        self._turn = 0

    def pick_url(self) -> str:
        """Return the address of the entry whose turn it is."""
        names = sorted(self.urls)
        self._turn += 1
        return self.urls[names[self._turn % len(names)]]

    async def call(
        self,
        method: str,
        path: str,
        document: Any = None,
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Send one call and return its answer, whatever its status."""
        body = None if document is None else json.dumps(document)
        request = HTTPRequest(
            self.pick_url() + path,
            method=method,
            body=body,
            headers=headers or {},
            request_timeout=REQUEST_TIMEOUT_SECONDS,
            allow_nonstandard_methods=True,
        )
        response = await self._client.fetch(request, raise_error=False)
        outcome = response.headers.get("X-Request-Outcome", "")
        try:
            parsed = json.loads(response.body or b"null")
        except ValueError:
            parsed = None
        return Answer(response.code, outcome, parsed)

    async def watch(self, path: str, take_line: Any) -> None:
        """Give each line of a watch to ``take_line`` until its entry ends it."""
        pending = bytearray()

        def take_chunk(chunk: bytes) -> None:
            """Split what arrived into lines."""
            pending.extend(chunk)
            while b"\n" in pending:
                line, _, rest = bytes(pending).partition(b"\n")
                pending[:] = rest
                take_line(json.loads(line))

        request = HTTPRequest(
            self.pick_url() + path,
            streaming_callback=take_chunk,
            request_timeout=0,
        )
        # An entry that was killed cuts the watch; it is taken up again at another.
        await follow_to_end(self._client, request)
