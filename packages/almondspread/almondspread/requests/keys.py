"""What is recorded of idempotency keys, and where a key has its home."""

from collections.abc import Sequence

import xxhash
from attrs import define, evolve

from almondspread.requests.events import Answered, Dispatched, NotSent

DOMAIN_SEPARATOR = "~"


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

    @property
    def is_answered(self) -> bool:
        """Whether the answer is recorded."""
        return self.status != 0


class KeyTable:
    """All records of one request shard, as its journal adds them up."""

    def __init__(self) -> None:
        self._records: dict[tuple[str, str], KeyRecord] = {}

    def __len__(self) -> int:
        return len(self._records)

    def find(self, service: str, key: str) -> KeyRecord | None:
        """Return the record of a key."""
        return self._records.get((service, key))

    def apply(self, event: Dispatched | Answered | NotSent) -> None:
        """Advance by one event."""
        place = (event.service, event.key)
        if isinstance(event, Dispatched):
            self._records[place] = KeyRecord(
                event.service, event.key, event.kind, event.digest, event.at
            )
            return
        if isinstance(event, NotSent):
            self._records.pop(place, None)
            return
        record = self._records[place]
        self._records[place] = evolve(
            record,
            status=event.status,
            content_type=event.content_type,
            body=event.body,
        )


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
