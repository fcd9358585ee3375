"""Events of a request shard, as its journal keeps them."""

from attrs import define

from almondspread.codec import TaggedCodec


@define(frozen=True)
class Dispatched:
    """A non-idempotent request is about to go to a minion; ``at`` in UTC seconds."""

    service: str
    key: str
    kind: str
    digest: str
    at: float


@define(frozen=True)
class Answered:
    """A minion gave its whole answer to a dispatched request.

    A large body lies in the object store under ``object_name``; ``body`` is empty
    then.
    """

    service: str
    key: str
    status: int
    content_type: str
    body: bytes
    object_name: str = ""


@define(frozen=True)
class NotSent:
    """No byte of a dispatched request left, so that it may be sent again."""

    service: str
    key: str


@define(frozen=True)
class Forgotten:
    """The record of a key is older than the time for which records are kept."""

    service: str
    key: str


KeyEvent = Dispatched | Answered | NotSent | Forgotten
KEY_EVENT_CODEC = TaggedCodec((Dispatched, Answered, NotSent, Forgotten))
