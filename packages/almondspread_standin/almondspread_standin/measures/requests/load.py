"""Callers: requests at a steady rate, and what became of each."""

import asyncio
import itertools
import json
import random
import time
from collections.abc import Awaitable, Callable

from attrs import define, field
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest

from almondspread_standin.measures.requests.fleet import SERVICE
from almondspread_standin.measures.results import find_quantile

CLIENT_SECONDS = 30.0
MAX_CLIENTS = 1_024


@define(frozen=True)
class Answer:
    """What a caller got; status 0 stands for a broken connection."""

    status: int
    seconds: float
    not_run: bool | None = None
    earlier_not_run: bool | None = None


@define
class Outcomes:
    """The answers of one load."""

    answers: list[Answer] = field(factory=list)

    @property
    def good(self) -> list[float]:
        """Latencies in seconds of the answers with status 200."""
        return [answer.seconds for answer in self.answers if answer.status == 200]

    def count(self, status: int) -> int:
        """Return how many answers have a status."""
        return sum(1 for answer in self.answers if answer.status == status)

    def find_ms(self, fraction: float) -> float:
        """Return a quantile of the good answers' latencies in milliseconds."""
        return round(find_quantile(self.good, fraction) * 1_000, 2)


class Caller:
    """Sends requests through entries, or to minions directly."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self._client = CurlAsyncHTTPClient(force_instance=True, max_clients=MAX_CLIENTS)
        self._turn = itertools.count()

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def ask_entry(
        self, urls: list[str], kind: str, key: str = "", seconds: float = 0.0
    ) -> Answer:
        """Send a request to one of the entries, as the balancer picks it."""
        url = f"{self.random.choice(urls)}/v1/requests/{SERVICE}/{kind}"
        headers = {"Idempotency-Key": key} if key else {}
        if seconds:
            headers["X-Deadline-Seconds"] = str(seconds)
        return await self._send(url, headers, key)

    async def ask_minion(self, addresses: list[str], kind: str, key: str) -> Answer:
        """Send a request to the minion whose turn it is."""
        address = addresses[next(self._turn) % len(addresses)]
        headers = {"Idempotency-Key": key} if key else {}
        return await self._send(f"http://{address}/v1/requests/{kind}", headers, key)

    async def _send(self, url: str, headers: dict[str, str], body: str) -> Answer:
        """Send one request and time it."""
        request = HTTPRequest(
            url,
            method="POST",
            body=body.encode(),
            headers=headers,
            request_timeout=CLIENT_SECONDS,
        )
        began = time.perf_counter()
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (HTTPClientError, OSError):
            return Answer(0, time.perf_counter() - began)
        seconds = time.perf_counter() - began
        if response.code == 200:
            return Answer(200, seconds)
        try:
            document = json.loads(response.body)
        except ValueError:
            document = {}
        if not isinstance(document, dict):
            document = {}
        return Answer(
            response.code,
            seconds,
            document.get("not_run"),
            document.get("earlier_not_run"),
        )


async def run_load(
    send: Callable[[int], Awaitable[Answer]], rate: float, count: int
) -> Outcomes:
    """Start ``count`` requests at a rate a second, whatever becomes of each."""
    outcomes = Outcomes()
    loop = asyncio.get_running_loop()
    began = loop.time()
    running: set[asyncio.Task[None]] = set()

    async def run_one(number: int) -> None:
        outcomes.answers.append(await send(number))

    for number in range(count):
        left = began + number / rate - loop.time()
        if left > 0:
            await asyncio.sleep(left)
        task = asyncio.create_task(run_one(number))
        running.add(task)
        task.add_done_callback(running.discard)
    while running:
        await asyncio.wait(set(running))
    return outcomes


async def run_warm(
    send: Callable[[int], Awaitable[Answer]], rate: float, count: int
) -> Outcomes:
    """Do the same after a first second whose answers do not count."""
    await run_load(send, rate, int(rate))
    return await run_load(send, rate, count)


async def run_closed(
    send: Callable[[int], Awaitable[Answer]], callers: int, seconds: float
) -> Outcomes:
    """Have callers send one request after the other for a while."""
    outcomes = Outcomes()
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    numbers = itertools.count()

    async def run_caller() -> None:
        while loop.time() < end:
            outcomes.answers.append(await send(next(numbers)))

    await asyncio.gather(*[run_caller() for _ in range(callers)])
    return outcomes
