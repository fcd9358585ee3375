"""Records of idempotency keys, and the assignment of keys to request shards."""

from collections.abc import Sequence

import xxhash
from attrs import define, evolve

from almondspread.codec import decode_message, encode_message
from almondspread.requests.events import Dispatched, Forgotten, KeyEvent, NotSent

DOMAIN_SEPARATOR = "~"
RECORD_OVERHEAD_BYTES = 512


@define(frozen=True)
class KeyRecord:
    """The record of an idempotency key.

    ``digest`` is that of the request payload and ``at`` the UTC timestamp of its
    dispatch in seconds. The response fields are set once the minion has answered;
    ``status`` is its HTTP status, 0 before. A large body is stored in the object store
    under ``object_name``.
    """

    service: str
    key: str
    kind: str
    digest: str
    at: float
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    object_name: str = ""

    @property
    def is_answered(self) -> bool:
        """Whether the response is recorded."""
        return self.status != 0


@define(frozen=True)
class KeySnapshot:
    """All records of a request shard at one point in time."""

    records: tuple[KeyRecord, ...]
    has_forgotten: bool = False


class KeyTable:
    """The records of one request shard, rebuilt from the events of its journal.

    ``size_bytes`` estimates the memory that the records take. ``has_forgotten`` is true
    if any record was ever dropped because its retention time had passed.
    """

    def __init__(self) -> None:
        self.size_bytes = 0
        self.has_forgotten = False
        self._records: dict[tuple[str, str], KeyRecord] = {}

    def __len__(self) -> int:
        return len(self._records)

    def find(self, service: str, key: str) -> KeyRecord | None:
        """Return the record of a key, ``None`` if there is none."""
        return self._records.get((service, key))

    def apply(self, event: KeyEvent) -> None:
        """Update the records by one event.

        ``Dispatched`` adds the record of a key. Other events are ignored if the key has
        no record, and so is a second response.
        """
        record_key = (event.service, event.key)
        if isinstance(event, Dispatched):
            self._put(
                KeyRecord(event.service, event.key, event.kind, event.digest, event.at)
            )
            return
        record = self._records.get(record_key)
        if record is None:
            return
        if isinstance(event, NotSent | Forgotten):
            self.has_forgotten |= isinstance(event, Forgotten)
            del self._records[record_key]
            self.size_bytes -= _estimate_size_bytes(record)
            return
        if record.is_answered:
            return
        self._put(
            evolve(
                record,
                status=event.status,
                content_type=event.content_type,
                body=event.body,
                object_name=event.object_name,
            )
        )

    def _put(self, record: KeyRecord) -> None:
        """Store a record and replace an earlier one of the same key."""
        record_key = (record.service, record.key)
        previous = self._records.get(record_key)
        if previous is not None:
            self.size_bytes -= _estimate_size_bytes(previous)
        self._records[record_key] = record
        self.size_bytes += _estimate_size_bytes(record)

    def list_dispatched_before(self, before: float, limit: int) -> list[KeyRecord]:
        """Return up to ``limit`` records dispatched before a UTC time, oldest first."""
        found: list[KeyRecord] = []
        for record in self._records.values():
            if record.at >= before or len(found) == limit:
                break
            found.append(record)
        return found

    def encode(self) -> bytes:
        """Encode all records as a snapshot."""
        return encode_message(
            KeySnapshot(tuple(self._records.values()), self.has_forgotten)
        )

    def load(self, data: bytes) -> None:
        """Add the records of a snapshot made by ``encode``.

        Raises ``ValueError`` if ``data`` is not a valid snapshot.
        """
        snapshot = decode_message(data, KeySnapshot)
        self.has_forgotten = snapshot.has_forgotten
        for record in snapshot.records:
            self._put(record)


def _estimate_size_bytes(record: KeyRecord) -> int:
    """Estimate the memory that a record takes."""
    return RECORD_OVERHEAD_BYTES + len(record.body)


def find_key_shard(service: str, key: str, shards: Sequence[str]) -> str:
    """Return the request shard that is responsible for a key.

    A key that starts with the name of a failure domain and ``~`` is assigned by hash to
    a shard of that domain, if it has any; other keys are assigned by hash to any shard.

    >>> find_key_shard("routes", "lulea~17", ["requests/umea/0", "requests/lulea/0"])
    'requests/lulea/0'
    """
    domain, separator, _ = key.partition(DOMAIN_SEPARATOR)
    if separator:
        local = [shard for shard in shards if shard.split("/")[1] == domain]
        shards = local or shards
    digest = xxhash.xxh3_64_intdigest(f"{service}|{key}".encode())
    return shards[digest % len(shards)]


def digest_payload(kind: str, body: bytes) -> str:
    """Return a digest to compare the payloads of requests with the same key."""
    return xxhash.xxh3_128_hexdigest(kind.encode() + b"|" + body)
