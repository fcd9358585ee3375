"""Events that a request shard records in its journal."""

from attrs import define

from almondspread.codec import TaggedCodec


@define(frozen=True)
class Dispatched:
    """A non-idempotent request is about to be sent to a minion.

    ``at`` is a UTC timestamp in seconds, ``digest`` that of the request payload.
    """

    service: str
    key: str
    kind: str
    digest: str
    at: float


@define(frozen=True)
class Answered:
    """A minion sent its complete response to a dispatched request.

    A large body is stored in the object store under ``object_name`` and ``body`` is
    empty.
    """

    service: str
    key: str
    status: int
    content_type: str
    body: bytes
    object_name: str = ""


@define(frozen=True)
class NotSent:
    """No byte of a dispatched request was sent, so that it may be sent again."""

    service: str
    key: str


@define(frozen=True)
class Forgotten:
    """The record of a key is dropped because its retention time has passed."""

    service: str
    key: str


KeyEvent = Dispatched | Answered | NotSent | Forgotten
KEY_EVENT_CODEC = TaggedCodec((Dispatched, Answered, NotSent, Forgotten))
