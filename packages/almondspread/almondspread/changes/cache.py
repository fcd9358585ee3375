"""All resources as of one revision, with the latest entries for watches."""

from collections import deque
from collections.abc import Iterator
from typing import Any

from attrs import define, evolve, field

from almondspread.changes.entries import Change, Entry, load_resource
from almondspread.resources import Resource

HISTORY_ENTRIES = 4_096


@define(frozen=True)
class Item:
    """A resource as it stands.

    ``created_revision`` tells apart resources that had one name after another;
    ``resource_version`` is the revision of the latest change of the spec.
    ``reports`` holds the status document of each shard that reports one.
    """

    kind: str
    name: str
    created_revision: int
    resource_version: int
    author: str
    resource: Resource
    reports: dict[str, Any] = field(factory=dict)


class ResourceCache:
    """What the change log adds up to, advanced one entry after another.

    ``history`` keeps the latest entries in order; a watch that needs an older one
    has expired. ``spec_revision`` is the latest that changed a declaration.
    """

    def __init__(self, history_entries: int = HISTORY_ENTRIES) -> None:
        self.revision = 0
        self.spec_revision = 0
        self._items: dict[tuple[str, str], Item] = {}
        self._by_kind: dict[str, dict[str, Item]] = {}
        self._history: deque[Entry] = deque(maxlen=history_entries)

    def find(self, kind: str, name: str) -> Item | None:
        """Return a resource, ``None`` where there is none of that name."""
        return self._items.get((kind, name))

    def list_items(self, kind: str) -> list[Item]:
        """Return all resources of a kind, in the order of their names."""
        items = self._by_kind.get(kind, {})
        return [items[name] for name in sorted(items)]

    def iterate(self) -> Iterator[Item]:
        """Return all resources, in no stated order."""
        return iter(list(self._items.values()))

    @property
    def oldest_revision(self) -> int:
        """The oldest revision from which a watch can be resumed."""
        if not self._history:
            return self.revision
        return self._history[0].revision - 1

    def list_entries_after(self, revision: int) -> list[Entry] | None:
        """Return the entries after a revision, ``None`` where they are not kept."""
        if revision < self.oldest_revision:
            return None
        skipped = max(0, revision - self.oldest_revision)
        return list(self._history)[skipped:] if skipped else list(self._history)

    def find_batch(self, batch: str) -> int:
        """Return the revision of the kept entry that a batch wrote, 0 for none."""
        for entry in reversed(self._history):
            if batch and entry.batch == batch:
                return entry.revision
        return 0

    def apply(self, entry: Entry) -> None:
        """Advance by the next entry; raises ``ValueError`` for any other entry."""
        if entry.revision != self.revision + 1:
            raise ValueError(f"entry {entry.revision} after revision {self.revision}")
        for change in entry.changes:
            self._apply_change(entry, change)
        self.revision = entry.revision
        self._history.append(entry)

    def _apply_change(self, entry: Entry, change: Change) -> None:
        """Advance one resource by one change."""
        key = (change.kind, change.name)
        current = self._items.get(key)
        if change.part != "spec":
            self._apply_report(current, change)
            return
        self.spec_revision = entry.revision
        if change.value is None:
            self._items.pop(key, None)
            self._by_kind.get(change.kind, {}).pop(change.name, None)
            return
        self._store(
            Item(
                kind=change.kind,
                name=change.name,
                created_revision=current.created_revision
                if current
                else entry.revision,
                resource_version=entry.revision,
                author=entry.author,
                resource=load_resource(change),
                reports=current.reports if current else {},
            )
        )

    def _apply_report(self, current: Item | None, change: Change) -> None:
        """Set what one shard reports, unless the resource is gone or was replaced."""
        if current is None or change.value is None:
            return
        report = change.load()
        if report.get("created_revision", current.created_revision) != (
            current.created_revision
        ):
            return
        reports = dict(current.reports)
        reports[change.part.removeprefix("status/")] = report
        self._store(evolve(current, reports=reports))

    def _store(self, item: Item) -> None:
        """Keep a resource under its kind and name."""
        self._items[(item.kind, item.name)] = item
        self._by_kind.setdefault(item.kind, {})[item.name] = item
