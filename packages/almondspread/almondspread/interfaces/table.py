"""The platform's transactional table service.

Rows have a text key, a value of bytes and a version. The version is the revision
of the table at which the row was last written, and 0 while the row is absent. A
transaction takes effect whole or not at all.
"""

from typing import Protocol

from attrs import define
from expression import Result


@define(frozen=True)
class Row:
    """One row as it was read."""

    key: str
    value: bytes
    version: int


@define(frozen=True)
class Condition:
    """A transaction takes effect only while ``key`` is at ``version``."""

    key: str
    version: int


@define(frozen=True)
class Write:
    """Sets one row, or deletes it where ``value`` is ``None``."""

    key: str
    value: bytes | None


@define(frozen=True)
class ConditionFailed:
    """The transaction did not take effect: ``key`` is at ``version``."""

    key: str
    version: int


@define(frozen=True)
class TableUnavailable:
    """No answer came. A transaction may or may not have taken effect, also later."""

    reason: str


class TableService(Protocol):
    """The calls that the table service answers."""

    async def transact(
        self, conditions: list[Condition], writes: list[Write]
    ) -> Result[int, ConditionFailed | TableUnavailable]:
        """Apply all writes if all conditions hold; return the new revision."""

    async def read(self, keys: list[str]) -> Result[list[Row], TableUnavailable]:
        """Return those of the named rows that exist, all as of one revision."""

    async def scan(
        self, prefix: str, after: str, limit: int
    ) -> Result[list[Row], TableUnavailable]:
        """Return rows whose key has ``prefix`` and sorts after ``after``, in order."""
