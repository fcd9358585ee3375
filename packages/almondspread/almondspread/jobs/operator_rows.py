"""The rows that operators write, as one instance knows them from several sources.

The store tells an instance of these rows, and so do other instances. Each state of a
row has the version of the store at which the row took it, so that the order in which
states arrive does not matter.
"""

from collections.abc import Iterable, Mapping

from attrs import define, field


@define(frozen=True)
class OperatorRow:
    """One state of a row; ``value`` is ``None`` where the row does not exist.

    The row took this state at ``version`` of the store, or before it where a row is
    known only to be missing at that version. The value may hold callers' keys, so that
    it is left out of the representation, which logs and errors may show.
    """

    key: str
    version: int
    value: bytes | None = field(repr=False)


@define(frozen=True)
class OperatorRowStates:
    """States of operators' rows, as the store told them at ``version``."""

    rows: tuple[OperatorRow, ...]
    version: int


class OperatorRows:
    """The newest known state of each row that operators write.

    >>> rows = OperatorRows()
    >>> rows.merge([OperatorRow("config", 7, b"new"), OperatorRow("config", 3, b"old")])
    True
    >>> rows.list_rows()
    (OperatorRow(key='config', version=7),)
    >>> rows.revision
    7
    """

    def __init__(self) -> None:
        self._rows: dict[str, OperatorRow] = {}
        # All rows that existed at this version of the store are known.
        self._complete_at = 0

    @property
    def revision(self) -> int:
        """The highest version among the known states, 0 if none is known."""
        return max((row.version for row in self._rows.values()), default=0)

    def merge(self, rows: Iterable[OperatorRow]) -> bool:
        """Keep the states that are newer than the known ones; tell if there are any.

        A state of a row that a later reading of all rows lacked is an old one.
        """
        changed = False
        for row in rows:
            known = self._rows.get(row.key)
            known_version = known.version if known is not None else self._complete_at
            if row.version <= known_version:
                continue
            self._rows[row.key] = row
            changed = True
        return changed

    def replace(self, reading: OperatorRowStates) -> bool:
        """Merge a reading of all rows; tell whether anything has changed.

        A known row that the reading lacks has been removed, unless it is known to be
        newer than the reading.
        """
        found = {row.key for row in reading.rows}
        removed = []
        for row in self._rows.values():
            if row.key not in found and row.value is not None:
                removed.append(OperatorRow(row.key, reading.version, None))
        changed = self.merge([*reading.rows, *removed])
        self._complete_at = max(self._complete_at, reading.version)
        return changed

    def list_rows(self) -> tuple[OperatorRow, ...]:
        """Return the newest states of the rows that exist, ordered by key."""
        return tuple(
            self._rows[key]
            for key in sorted(self._rows)
            if self._rows[key].value is not None
        )

    def list_versions(self) -> dict[str, int]:
        """Return the version of the newest known state of each row, by its key."""
        return {row.key: row.version for row in self._rows.values()}

    def list_newer(self, versions: Mapping[str, int]) -> tuple[OperatorRow, ...]:
        """Return the states, of removed rows too, that are newer than ``versions``."""
        newer = []
        for key in sorted(self._rows):
            if self._rows[key].version > versions.get(key, 0):
                newer.append(self._rows[key])
        return tuple(newer)
