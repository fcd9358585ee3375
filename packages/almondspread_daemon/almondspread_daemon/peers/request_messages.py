"""Messages between instances about requests to minions and their keys."""

from attrs import define


@define(frozen=True)
class SubmitCall:
    """A caller's non-idempotent request, on its way to the owner of its key."""

    shard: str
    service: str
    kind: str
    key: str
    body: bytes
    deadline: float


@define(frozen=True)
class FetchRecord:
    """Asks the owner of a key for what is recorded of it."""

    shard: str
    service: str
    key: str


@define(frozen=True)
class CallMinion:
    """Asks the owner of some minions to pass one request to one of them.

    Where all slots are in use, the request waits there until its deadline if
    ``wait`` is set, and is refused otherwise.
    """

    service: str
    kind: str
    key: str
    body: bytes
    deadline: float
    wait: bool = False


@define(frozen=True)
class TakeSlot:
    """Asks the owner of some minions to set a slot aside for one request."""

    service: str
    kind: str
    wait: bool = False


@define(frozen=True)
class SlotTaken:
    """A slot is set aside for a short while under a number."""

    number: int


@define(frozen=True)
class SendTaken:
    """Asks to send a keyed request to the minion whose slot was set aside."""

    number: int
    shard: str
    service: str
    kind: str
    key: str
    body: bytes
    deadline: float


@define(frozen=True)
class DropSlot:
    """Says that a slot that was set aside will not be used."""

    number: int


@define(frozen=True)
class OpenMonitor:
    """Asks the owner of some minions to open a standing stream after a position."""

    service: str
    body: bytes
    position: int


@define(frozen=True)
class MonitorOpened:
    """A standing stream is open under a number."""

    number: int


@define(frozen=True)
class FetchLines:
    """Asks for what came on a standing stream since the last such call."""

    number: int


@define(frozen=True)
class MonitorLines:
    """Lines of a standing stream; ``ended`` says that no more will come."""

    lines: tuple[bytes, ...]
    position: int
    ended: bool


@define(frozen=True)
class CloseMonitor:
    """Says that a standing stream is wanted no more."""

    number: int


@define(frozen=True)
class DeliverAnswer:
    """Brings the answer of a minion to the owner of its key."""

    shard: str
    service: str
    key: str
    status: int
    content_type: str
    body: bytes


@define(frozen=True)
class AnswerRecorded:
    """Says that the answer under a key is journalled and need not be kept."""

    service: str
    key: str


@define(frozen=True)
class FetchSlots:
    """Asks which slots of a shard of minions the callee may still have in use."""

    shard: str


@define(frozen=True)
class SlotsInUse:
    """Tells the slots of a shard in use and under which epoch it was last owned."""

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
    """Says that a minion told that it is leaving."""

    minion: str


@define(frozen=True)
class ServiceLoad:
    """How an owner's minions of one service stand: slots, free and waiting."""

    slots: int
    free: int
    waiting: int


@define(frozen=True)
class MinionLoads:
    """Tells how the sender's minions stand, by service."""

    name: str
    services: dict[str, ServiceLoad]


@define(frozen=True)
class CallAnswered:
    """The whole answer of a minion."""

    status: int
    body: bytes
    content_type: str
    recorded: bool = False
