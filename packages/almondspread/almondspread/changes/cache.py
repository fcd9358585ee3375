"""The resources as of one revision, with the latest log entries for watches."""

from collections import deque
from collections.abc import Iterator
from typing import Any

from attrs import define, evolve, field

from almondspread.changes.entries import Change, Entry, load_resource
from almondspread.resources import Resource

MAX_HISTORY_ENTRIES = 4_096


@define(frozen=True)
class CachedResource:
    """The current state of a resource.

    ``created_revision`` distinguishes resources that had the same name one after the
    other. ``resource_version`` is the revision of the latest change of the spec, and
    ``author`` made that change. ``reports`` maps the name of each shard that reports on
    the resource to its status document.
    """

    kind: str
    name: str
    created_revision: int
    resource_version: int
    author: str
    resource: Resource
    reports: dict[str, Any] = field(factory=dict)


@define(frozen=True)
class AppliedChange:
    """A change, with the resource before and after it or ``None`` if absent."""

    change: Change
    before: CachedResource | None
    after: CachedResource | None


@define(frozen=True)
class AppliedEntry:
    """An entry, with those of its changes that had an effect."""

    entry: Entry
    changes: tuple[AppliedChange, ...]


class ResourceCache:
    """The resources that result from applying the entries of the change log in order.

    The cache also keeps the latest ``history_entries`` entries. A watch that needs an
    older one has expired. ``spec_revision`` is the revision of the latest entry that
    changed the spec of a resource.
    """

    def __init__(self, history_entries: int = MAX_HISTORY_ENTRIES) -> None:
        self.revision = 0
        self.spec_revision = 0
        self._items: dict[tuple[str, str], CachedResource] = {}
        self._by_kind: dict[str, dict[str, CachedResource]] = {}
        self._history: deque[AppliedEntry] = deque(maxlen=history_entries)

    def find(self, kind: str, name: str) -> CachedResource | None:
        """Return a resource, ``None`` if no resource has this name."""
        return self._items.get((kind, name))

    def list_items(self, kind: str) -> list[CachedResource]:
        """Return all resources of a kind, sorted by name."""
        items = self._by_kind.get(kind, {})
        return [items[name] for name in sorted(items)]

    def iterate(self) -> Iterator[CachedResource]:
        """Return an iterator over all resources, in no particular order."""
        return iter(list(self._items.values()))

    @property
    def oldest_revision(self) -> int:
        """The oldest revision from which a watch can resume."""
        if not self._history:
            return self.revision
        return self._history[0].entry.revision - 1

    def list_applied_after(self, revision: int) -> list[AppliedEntry] | None:
        """Return the entries after a revision, ``None`` if one is no longer kept."""
        if revision < self.oldest_revision:
            return None
        first = revision - self.oldest_revision
        return [self._history[index] for index in range(first, len(self._history))]

    def find_applied(self, revision: int) -> AppliedEntry | None:
        """Return the entry of a revision, ``None`` if it is not kept."""
        index = revision - self.oldest_revision - 1
        if not 0 <= index < len(self._history):
            return None
        return self._history[index]

    def list_entries_after(self, revision: int) -> list[Entry] | None:
        """Return the entries after a revision as written, ``None`` if not kept."""
        applied = self.list_applied_after(revision)
        return None if applied is None else [entry.entry for entry in applied]

    def fork(self) -> "ResourceCache":
        """Return an independent copy without history."""
        copy = ResourceCache(0)
        copy.revision = self.revision
        copy.spec_revision = self.spec_revision
        copy._items = dict(self._items)
        copy._by_kind = {kind: dict(items) for kind, items in self._by_kind.items()}
        return copy

    def replace_all(
        self, revision: int, spec_revision: int, items: list[CachedResource]
    ) -> None:
        """Replace all resources by those of a later revision and clear the history.

        Raises ``ValueError`` if the revision is not later, because a cache never
        returns to an earlier revision.
        """
        if revision <= self.revision:
            raise ValueError(
                f"resources of revision {revision} are not later than "
                f"revision {self.revision}"
            )
        self.revision = revision
        self.spec_revision = spec_revision
        self._items = {}
        self._by_kind = {}
        self._history.clear()
        for item in items:
            self._store(item)

    def apply(self, entry: Entry) -> None:
        """Apply the next entry.

        Raises ``ValueError`` and leaves the cache unchanged if the entry is not the
        next one or holds a value that cannot be decoded.
        """
        if entry.revision != self.revision + 1:
            raise ValueError(
                f"entry {entry.revision} does not follow revision {self.revision}"
            )
        decoded = [_decode_value(change) for change in entry.changes]
        applied = []
        for change, value in zip(entry.changes, decoded, strict=True):
            effect = self._apply_change(entry, change, value)
            if effect is not None:
                applied.append(effect)
        self.revision = entry.revision
        self._history.append(AppliedEntry(entry, tuple(applied)))

    def _apply_change(
        self, entry: Entry, change: Change, value: Any
    ) -> AppliedChange | None:
        """Apply one change to its resource; return ``None`` if it has no effect."""
        key = (change.kind, change.name)
        before = self._items.get(key)
        if change.part != "spec":
            return self._apply_report(before, change, value)
        self.spec_revision = entry.revision
        if value is None:
            self._items.pop(key, None)
            self._by_kind.get(change.kind, {}).pop(change.name, None)
            return AppliedChange(change, before, None) if before else None
        after = CachedResource(
            kind=change.kind,
            name=change.name,
            created_revision=before.created_revision if before else entry.revision,
            resource_version=entry.revision,
            author=change.author or entry.author,
            resource=value,
            reports=before.reports if before else {},
        )
        self._store(after)
        return AppliedChange(change, before, after)

    def _apply_report(
        self, before: CachedResource | None, change: Change, report: Any
    ) -> AppliedChange | None:
        """Set the report of one shard, unless the resource was removed or replaced."""
        if before is None or report is None:
            return None
        created_revision = report.get("created_revision", before.created_revision)
        if created_revision != before.created_revision:
            return None
        reports = dict(before.reports)
        reports[change.part.removeprefix("status/")] = report
        after = evolve(before, reports=reports)
        self._store(after)
        return AppliedChange(change, before, after)

    def _store(self, item: CachedResource) -> None:
        """Store a resource under its kind and name."""
        self._items[(item.kind, item.name)] = item
        self._by_kind.setdefault(item.kind, {})[item.name] = item


def _decode_value(change: Change) -> Any:
    """Decode the resource or report that a change sets, ``None`` for a removal."""
    if change.value is None:
        return None
    if change.part == "spec":
        return load_resource(change)
    report = change.load()
    if not isinstance(report, dict):
        raise ValueError(f"stored status of {change.kind}/{change.name} is not a map")
    return report
