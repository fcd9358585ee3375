"""What is recorded of idempotency keys, and where a key has its home."""

from collections.abc import Sequence

import xxhash
from attrs import define, evolve

from almondspread.codec import decode_message, encode_message
from almondspread.requests.events import Dispatched, Forgotten, KeyEvent, NotSent

DOMAIN_SEPARATOR = "~"
RECORD_OVERHEAD_BYTES = 512


@define(frozen=True)
class KeyRecord:
    """One key: the digest of its payload and, once known, its answer."""

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
        """Whether the answer is recorded."""
        return self.status != 0


@define(frozen=True)
class KeySnapshot:
    """All records of a request shard at one moment."""

    records: tuple[KeyRecord, ...]
    has_forgotten: bool = False


class KeyTable:
    """All records of one request shard, as its journal adds them up.

    ``size`` is about how many bytes of memory they take; ``has_forgotten`` tells
    whether any record was ever dropped for its age.
    """

    def __init__(self) -> None:
        self.size_bytes = 0
        self.has_forgotten = False
        self._records: dict[tuple[str, str], KeyRecord] = {}

    def __len__(self) -> int:
        return len(self._records)

    def find(self, service: str, key: str) -> KeyRecord | None:
        """Return the record of a key."""
        return self._records.get((service, key))

    def apply(self, event: KeyEvent) -> None:
        """Advance by one event."""
        place = (event.service, event.key)
        if isinstance(event, Dispatched):
            self._put(
                KeyRecord(event.service, event.key, event.kind, event.digest, event.at)
            )
            return
        record = self._records.get(place)
        if record is None:
            return
        if isinstance(event, NotSent | Forgotten):
            self.has_forgotten |= isinstance(event, Forgotten)
            del self._records[place]
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
        """Keep a record in place of an earlier one of its key."""
        place = (record.service, record.key)
        known = self._records.get(place)
        if known is not None:
            self.size_bytes -= _estimate_size_bytes(known)
        self._records[place] = record
        self.size_bytes += _estimate_size_bytes(record)

    def list_dispatched_before(self, before: float, limit: int) -> list[KeyRecord]:
        """Return records of dispatches before a UTC time, the oldest first."""
        found: list[KeyRecord] = []
        for record in self._records.values():
            if record.at >= before or len(found) == limit:
                break
            found.append(record)
        return found

    def encode(self) -> bytes:
        """Return all records as bytes."""
        return encode_message(
            KeySnapshot(tuple(self._records.values()), self.has_forgotten)
        )

    def load(self, data: bytes) -> None:
        """Take in what ``save`` returned; raises ``ValueError``."""
        snapshot = decode_message(data, KeySnapshot)
        self.has_forgotten = snapshot.has_forgotten
        for record in snapshot.records:
            self._put(record)


def _estimate_size_bytes(record: KeyRecord) -> int:
    """Return about how many bytes a record takes."""
    return RECORD_OVERHEAD_BYTES + len(record.body)


def find_key_shard(service: str, key: str, shards: Sequence[str]) -> str:
    """Return the shard that has a key.

    A key that starts with the name of a failure domain and ``~`` has its home in
    that domain; any other goes by its hash.

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
    """Return the digest by which two submissions of one key are compared."""
    return xxhash.xxh3_128_hexdigest(kind.encode() + b"|" + body)
