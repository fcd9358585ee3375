"""The lines of watches: each entry is rendered once for all who watch."""

import json
from collections import OrderedDict
from typing import Any

from attrs import define

from almondspread.changes import AppliedChange, AppliedEntry, CachedResource
from almondspread_daemon.resources import documents

MAX_CACHED_ENTRIES = 1_024


@define(frozen=True)
class WatchLine:
    """One change as a line, and the line for those whose selection it leaves."""

    kind: str
    before: CachedResource | None
    after: CachedResource | None
    data: bytes
    deselected_data: bytes


@define(frozen=True)
class EntryLines:
    """All lines of an entry; ``whole`` is what a watch of everything is sent."""

    revision: int
    lines: tuple[WatchLine, ...]
    all_data: bytes


@define(frozen=True)
class Selection:
    """The kinds and labels that a watch asks for."""

    kinds: frozenset[str]
    labels: dict[str, str]
    is_unfiltered: bool

    def select(self, entry: EntryLines) -> bytes:
        """Return those lines of an entry that the watch is to be sent.

        A resource that leaves the selection is told of as deleted.
        """
        if self.is_unfiltered:
            return entry.all_data
        chosen = []
        for line in entry.lines:
            if line.kind not in self.kinds:
                continue
            if self._matches(line.after):
                chosen.append(line.data)
            elif self._matches(line.before):
                chosen.append(line.deselected_data)
        return b"".join(chosen)

    def _matches(self, item: CachedResource | None) -> bool:
        """Tell whether a resource is in the selection."""
        return item is not None and documents.has_labels(item, self.labels)


class LineCache:
    """Renders entries and keeps the lines of the latest."""

    def __init__(self, kept_entries: int = MAX_CACHED_ENTRIES) -> None:
        self._max_entries = kept_entries
        self._entries: OrderedDict[int, EntryLines] = OrderedDict()

    def get_lines(self, applied: AppliedEntry) -> EntryLines:
        """Return the lines of an entry."""
        revision = applied.entry.revision
        found = self._entries.get(revision)
        if found is not None:
            return found
        rendered = render_entry(applied)
        self._entries[revision] = rendered
        if len(self._entries) > self._max_entries:
            self._entries.popitem(last=False)
        return rendered


def render_entry(applied: AppliedEntry) -> EntryLines:
    """Return the lines of an entry, the same at every instance.

    A line shows the resource as of its entry; of the status of a configuration it
    has only what the log tells, not on which instances it is in force.
    """
    revision = applied.entry.revision
    lines = []
    for effect in applied.changes:
        head = {
            "revision": revision,
            "kind": effect.change.kind,
            "name": effect.change.name,
        }
        left = {"type": "deleted", **head, "left_selection": True}
        lines.append(
            WatchLine(
                effect.change.kind,
                effect.before,
                effect.after,
                encode_line(_make_line(effect, head)),
                encode_line(left if effect.after else {"type": "deleted", **head}),
            )
        )
    whole = b"".join(line.data for line in lines)
    return EntryLines(revision, tuple(lines), whole)


def _make_line(effect: AppliedChange, head: dict[str, Any]) -> dict[str, Any]:
    """Return the line of a change for a watch that selects the resource."""
    item = effect.after
    if item is None:
        return {"type": "deleted", **head}
    status = documents.summarize_logged_status(item)
    if effect.change.part != "spec":
        return {"type": "status", **head, "status": status}
    return {
        "type": "changed",
        **head,
        "document": effect.change.load(),
        "status": status,
    }


def encode_line(line: dict[str, Any]) -> bytes:
    """Return a document as one line."""
    return json.dumps(line, separators=(",", ":")).encode() + b"\n"
