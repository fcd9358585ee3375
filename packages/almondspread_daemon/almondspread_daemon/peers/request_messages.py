"""Messages between instances about requests to minions and idempotency keys."""

from attrs import define


@define(frozen=True)
class SubmitCall:
    """Forwards a caller's non-idempotent request to the owner of its key."""

    shard: str
    service: str
    kind: str
    key: str
    body: bytes
    deadline: float


@define(frozen=True)
class FetchRecord:
    """Requests the record of a key from the key's owner."""

    shard: str
    service: str
    key: str


@define(frozen=True)
class CallMinion:
    """Asks the owner of some minions to send a request to one of them.

    If all slots are in use, the request is queued there until its deadline if ``wait``
    is set, and is refused otherwise.
    """

    service: str
    kind: str
    key: str
    body: bytes
    deadline: float
    wait: bool = False


@define(frozen=True)
class TakeSlot:
    """Asks the owner of some minions to reserve a slot for one request."""

    service: str
    kind: str
    wait: bool = False


@define(frozen=True)
class SlotTaken:
    """Reports that a slot is reserved for a short time under a number."""

    number: int


@define(frozen=True)
class SendTaken:
    """Asks to send a keyed request to the minion whose slot was reserved."""

    number: int
    shard: str
    service: str
    kind: str
    key: str
    body: bytes
    deadline: float


@define(frozen=True)
class DropSlot:
    """Releases a reserved slot without a request."""

    number: int


@define(frozen=True)
class OpenMonitor:
    """Asks the owner of some minions to open a monitor stream after a position."""

    service: str
    body: bytes
    position: int


@define(frozen=True)
class MonitorOpened:
    """Reports that a monitor stream is open under a number."""

    number: int


@define(frozen=True)
class FetchLines:
    """Requests the lines received on a monitor stream since the last such call."""

    number: int


@define(frozen=True)
class MonitorLines:
    """Lines of a monitor stream; ``ended`` tells that no more lines will follow."""

    lines: tuple[bytes, ...]
    position: int
    ended: bool


@define(frozen=True)
class CloseMonitor:
    """Closes a monitor stream that is no longer needed."""

    number: int


@define(frozen=True)
class DeliverAnswer:
    """Delivers the answer of a minion to the owner of the request's key."""

    shard: str
    service: str
    key: str
    status: int
    content_type: str
    body: bytes


@define(frozen=True)
class AnswerRecorded:
    """Reports that the answer to a key is in the journal and need not be kept."""

    service: str
    key: str


@define(frozen=True)
class FetchSlots:
    """Asks which slots of a shard's minions the callee may still have in use."""

    shard: str


@define(frozen=True)
class SlotsInUse:
    """Reports the slots of a shard in use, and the epoch at which it was last owned."""

    epoch: int
    released: bool
    in_use: dict[str, int]
    leaving: tuple[str, ...] = ()


@define(frozen=True)
class ConfirmOwner:
    """Asks a peer whether it knows of a later owner of a shard."""

    shard: str
    epoch: int


@define(frozen=True)
class MinionLeaving:
    """Reports that a minion has announced that it is leaving."""

    minion: str


@define(frozen=True)
class ServiceLoad:
    """Load of an owner's minions of one service: slots, free slots, queued requests."""

    slots: int
    free: int
    waiting: int


@define(frozen=True)
class MinionLoads:
    """Reports the load of the sender's minions, by service."""

    name: str
    services: dict[str, ServiceLoad]


@define(frozen=True)
class CallAnswered:
    """The complete answer of a minion."""

    status: int
    body: bytes
    content_type: str
    recorded: bool = False
