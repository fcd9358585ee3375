"""Messages between an entry and a minion's HTTP listener."""

from attrs import define


@define(frozen=True)
class MinionRequest:
    """One request of a caller as it goes to a minion.

    ``kind`` is ``lookup``, ``recalculation``, ``reservation`` or ``monitor``; ``key``
    is the idempotency key, empty for a lookup; ``deadline`` is UTC seconds. A monitor
    goes on after ``position``.
    """

    service: str
    kind: str
    body: bytes
    key: str = ""
    deadline: float = 0.0
    traceparent: str = ""
    position: int = 0


@define(frozen=True)
class MinionAnswer:
    """The whole answer of a minion."""

    status: int
    body: bytes
    content_type: str = "application/json"
    leaving: bool = False
