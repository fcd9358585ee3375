"""HTTP handlers of the platform's calls."""

import asyncio
from datetime import timedelta
from typing import Any, TypeVar

from tornado.web import HTTPError, RequestHandler

from almondspread.codec import decode_message, encode_message
from almondspread.interfaces import ConditionFailed
from almondspread_platform.caller import CALLER_DOMAIN_HEADER
from almondspread_platform.messages import (
    MSGPACK_CONTENT_TYPE,
    InstancesAnswer,
    ReadCall,
    RowsAnswer,
    ScanCall,
    TransactAnswer,
    TransactCall,
)
from almondspread_standin.platform_server.service import PlatformService

T = TypeVar("T")


class PlatformHandler(RequestHandler):
    """Shows the faults that all calls share before a call is served."""

    part = "table"

    def initialize(self, service: PlatformService) -> None:
        """Take the service whose calls this handler carries."""
        self.service = service
        self.connection_closed = asyncio.Event()

    def on_connection_close(self) -> None:
        """Wake a call that is never answered, so that it is not kept for ever."""
        self.connection_closed.set()

    async def prepare(self) -> None:
        """Delay, refuse or hold the call as the fault switches say."""
        faults = self.service.faults
        self.service.counters.calls += 1
        domain = self.request.headers.get(CALLER_DOMAIN_HEADER, "")
        if faults.silent or domain in faults.cut_off:
            await self.connection_closed.wait()
            self.finish()
            return
        if faults.delay_ms > 0:
            delay = timedelta(milliseconds=faults.delay_ms)
            await self.service.clock.sleep(delay)
        if self.service.is_down(self.part):
            self.set_status(503)
            self.finish()

    def answer(self, message: Any) -> None:
        """Finish the call with a message."""
        self.set_header("Content-Type", MSGPACK_CONTENT_TYPE)
        self.finish(encode_message(message))

    def close_without_answer(self) -> None:
        """Close the connection as a lost answer shows to the caller."""
        self.detach().close()

    def read_message(self, kind: type[T]) -> T:
        """Return the message in the body; anything else is status 400."""
        try:
            return decode_message(self.request.body, kind)
        except ValueError as error:
            raise HTTPError(400, reason="not a message") from error


class TransactHandler(PlatformHandler):
    """``POST /v1/table/transact``."""

    async def post(self) -> None:
        """Apply a transaction, also where its caller has given up meanwhile."""
        call = self.read_message(TransactCall)
        outcome = await self.service.transact(call)
        if self.service.lose_next_answer():
            self.close_without_answer()
            return
        if outcome.is_ok():
            self.answer(TransactAnswer(revision=outcome.ok))
            return
        if isinstance(outcome.error, ConditionFailed):
            self.answer(TransactAnswer(failed=outcome.error))
            return
        self.send_error(503)


class ReadHandler(PlatformHandler):
    """``POST /v1/table/read``."""

    async def post(self) -> None:
        """Answer with the named rows."""
        rows = await self.service.read(self.read_message(ReadCall))
        self.answer(RowsAnswer(tuple(rows)))


class ScanHandler(PlatformHandler):
    """``POST /v1/table/scan``."""

    async def post(self) -> None:
        """Answer with the rows of a prefix."""
        rows = await self.service.scan(self.read_message(ScanCall))
        self.answer(RowsAnswer(tuple(rows)))


class ObjectHandler(PlatformHandler):
    """``/v1/objects/{name}``."""

    part = "store"

    async def put(self, name: str) -> None:
        """Keep an object."""
        await self.service.put_object(name, self.request.body)
        self.set_status(204)

    async def get(self, name: str) -> None:
        """Answer with an object."""
        data = await self.service.get_object(name)
        if data is None:
            self.set_status(404)
            return
        self.set_header("Content-Type", "application/octet-stream")
        self.finish(data)

    async def delete(self, name: str) -> None:
        """Forget an object."""
        await self.service.delete_object(name)
        self.set_status(204)


class InstancesHandler(PlatformHandler):
    """``GET /v1/instances``."""

    part = "list"

    async def get(self) -> None:
        """Answer with the list as it lags."""
        self.service.counters.list_reads += 1
        instances = (await self.service.instances.list()).ok
        self.answer(InstancesAnswer(tuple(instances)))
