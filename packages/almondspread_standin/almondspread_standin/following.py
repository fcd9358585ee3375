"""Streams of a watch that end by a cut or by their reader."""

import asyncio

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest


async def follow_to_end(client: CurlAsyncHTTPClient, request: HTTPRequest) -> int:
    """Follow a stream until it ends; return the status, 599 for a cut."""
    fetching = asyncio.ensure_future(client.fetch(request))
    fetching.add_done_callback(_take_outcome)
    try:
        # The transfer outlives a reader that is cancelled, and ends with its server.
        answer = await asyncio.shield(fetching)
    except HTTPClientError as error:
        return error.code
    return answer.code


def _take_outcome(fetching: asyncio.Future) -> None:
    """Look at the outcome of a transfer that nobody may wait for any more."""
    if not fetching.cancelled():
        fetching.exception()
