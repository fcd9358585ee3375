"""Events of a request shard, as its journal keeps them."""

from attrs import define

from almondspread.codec import TaggedCodec


@define(frozen=True)
class Dispatched:
    """A non-idempotent request is about to go to a minion."""

    service: str
    key: str
    kind: str
    digest: str
    at: float


@define(frozen=True)
class Answered:
    """A minion gave its whole answer to a dispatched request."""

    service: str
    key: str
    status: int
    content_type: str
    body: bytes


@define(frozen=True)
class NotSent:
    """No byte of a dispatched request left, so that it may be sent again."""

    service: str
    key: str


KEY_EVENT_CODEC = TaggedCodec((Dispatched, Answered, NotSent))
