"""Envelopes of the platform's HTTP calls, carried as msgpack."""

from attrs import define

from almondspread.interfaces import Condition, ConditionFailed, Instance, Row, Write

MSGPACK_CONTENT_TYPE = "application/msgpack"


@define(frozen=True)
class TransactCall:
    """Body of ``POST /v1/table/transact``."""

    conditions: tuple[Condition, ...] = ()
    writes: tuple[Write, ...] = ()


@define(frozen=True)
class TransactAnswer:
    """The new revision, or the condition that did not hold."""

    revision: int = 0
    failed: ConditionFailed | None = None


@define(frozen=True)
class ReadCall:
    """Body of ``POST /v1/table/read``."""

    keys: tuple[str, ...] = ()


@define(frozen=True)
class ScanCall:
    """Body of ``POST /v1/table/scan``."""

    prefix: str = ""
    after: str = ""
    limit: int = 0


@define(frozen=True)
class RowsAnswer:
    """The rows that a read or a scan found."""

    rows: tuple[Row, ...] = ()


@define(frozen=True)
class InstancesAnswer:
    """The answer of ``GET /v1/instances``."""

    instances: tuple[Instance, ...] = ()
