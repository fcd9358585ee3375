"""The stored bodies of recorded answers: small ones in the record, others apart."""

from collections.abc import Callable
from datetime import timedelta

from expression import Error, Ok, Result

from almondspread.clock import Clock
from almondspread.errors import Problem, Unavailable
from almondspread.interfaces import ObjectStore
from almondspread.requests.keys import KeyRecord

STORE_RETRY_DELAY = timedelta(seconds=1)
MAX_INLINE_BODY_BYTES = 16 * 1024


class AnswerBodies:
    """Puts the bodies of large answers into the object store and reads them back.

    ``is_ended`` tells whether the owner of the records has ended, which also ends the
    retries of ``store``.
    """

    def __init__(
        self, store: ObjectStore, clock: Clock, is_ended: Callable[[], bool]
    ) -> None:
        self._store = store
        self._clock = clock
        self._is_ended = is_ended

    async def store(self, shard: str, record: KeyRecord, body: bytes) -> str | None:
        """Return the name of the object that holds the body of a record's answer.

        The name is empty for a body that the record itself can hold, and ``None`` if
        the owner ended before the store took the body.
        """
        if len(body) <= MAX_INLINE_BODY_BYTES:
            return ""
        name = f"answers/{shard}/{record.digest}-{int(record.at * 1e6)}"
        while not self._is_ended():
            stored = await self._store.put(name, body)
            if stored.is_ok():
                return name
            await self._clock.sleep(STORE_RETRY_DELAY)
        return None

    async def load(self, record: KeyRecord) -> Result[bytes, Problem]:
        """Return the whole body of a recorded answer."""
        if not record.object_name:
            return Ok(record.body)
        loaded = await self._store.get(record.object_name)
        if loaded.is_ok() and loaded.ok is not None:
            return Ok(loaded.ok)
        return Error(
            Unavailable(
                f"the request under key {record.key!r} was run; its recorded answer "
                "cannot be read now",
                "ask for the recorded answer again later",
                not_run=False,
                retry_after_seconds=2.0,
                earlier_not_run=False,
            )
        )

    async def delete(self, record: KeyRecord) -> None:
        """Delete the body of a record that is no longer kept."""
        if record.object_name:
            await self._store.delete(record.object_name)
