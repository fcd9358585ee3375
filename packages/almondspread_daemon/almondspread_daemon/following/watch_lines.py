"""The JSON lines of watches: each log entry is rendered once for all watches."""

import json
from collections import OrderedDict
from typing import Any

from attrs import define

from almondspread.changes import AppliedChange, AppliedEntry, CachedResource
from almondspread_daemon.resources import documents

MAX_CACHED_ENTRIES = 1_024


@define(frozen=True)
class WatchLine:
    """The rendered lines of one change.

    ``data`` is the line for watches that select the resource after the change;
    ``deselected_data`` is the line for those that selected the resource only before.
    """

    kind: str
    before: CachedResource | None
    after: CachedResource | None
    data: bytes
    deselected_data: bytes


@define(frozen=True)
class EntryLines:
    """All lines of an entry; ``all_data`` is sent to watches without a filter."""

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
        """Return the lines of an entry that match the watch.

        A resource that no longer matches is reported as deleted.
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
        """Tell whether a resource exists and its labels match the selection."""
        return item is not None and documents.has_labels(item, self.labels)


class LineCache:
    """Renders entries, and caches the lines of those rendered most recently."""

    def __init__(self, kept_entries: int = MAX_CACHED_ENTRIES) -> None:
        self._max_entries = kept_entries
        self._entries: OrderedDict[int, EntryLines] = OrderedDict()

    def get_lines(self, applied: AppliedEntry) -> EntryLines:
        """Return the lines of an entry, from the cache if it has them."""
        revision = applied.entry.revision
        cached = self._entries.get(revision)
        if cached is not None:
            return cached
        rendered = render_entry(applied)
        self._entries[revision] = rendered
        if len(self._entries) > self._max_entries:
            self._entries.popitem(last=False)
        return rendered


def render_entry(applied: AppliedEntry) -> EntryLines:
    """Return the lines of an entry, the same at every instance.

    A line shows the resource as of its entry. The status of a configuration contains
    only what the log records, not on which instances the configuration is in force.
    """
    revision = applied.entry.revision
    lines = []
    for effect in applied.changes:
        head = {
            "revision": revision,
            "kind": effect.change.kind,
            "name": effect.change.name,
        }
        deselected = {"type": "deleted", **head, "left_selection": True}
        lines.append(
            WatchLine(
                effect.change.kind,
                effect.before,
                effect.after,
                encode_line(_make_line(effect, head)),
                encode_line(
                    deselected if effect.after else {"type": "deleted", **head}
                ),
            )
        )
    whole = b"".join(line.data for line in lines)
    return EntryLines(revision, tuple(lines), whole)


def _make_line(effect: AppliedChange, head: dict[str, Any]) -> dict[str, Any]:
    """Return the line of a change, for watches that select the resource, as a dict."""
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
    """Return a document as one line of JSON."""
    return json.dumps(line, separators=(",", ":")).encode() + b"\n"
