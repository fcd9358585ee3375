"""Plain text tables for resources and for the state of the cell."""

from collections.abc import Callable, Sequence
from typing import Any

COLUMN_GAP = "  "

Row = list[str]
Cells = Callable[[dict[str, Any], dict[str, Any]], Row]


def render_table(header: Sequence[str], rows: Sequence[Row]) -> str:
    """Return aligned columns under a header.

    >>> print(render_table(["NAME", "N"], [["stops", "3"]]))
    NAME   N
    stops  3
    """
    table = [list(header)]
    for row in rows:
        table.append([clean_text(cell) for cell in row])
    widths = [max(len(row[column]) for row in table) for column in range(len(header))]
    lines = []
    for row in table:
        cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        lines.append(COLUMN_GAP.join(cells).rstrip())
    return "\n".join(lines)


def clean_text(text: str) -> str:
    """Return a text without characters that would steer the terminal."""
    return "".join(letter if letter.isprintable() else "?" for letter in text)


def show(value: Any) -> str:
    """Return a cell's text; ``-`` for what is not known.

    >>> show(True), show(None), show(2.0)
    ('yes', '-', '2')
    """
    if value is None or value == "":
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:g}"
    return str(value)


def _list_service(document: dict[str, Any], status: dict[str, Any]) -> Row:
    running = f"{show(status.get('running'))}/{show(document.get('replicas'))}"
    waiting = show(status.get("waiting"))
    return [show(status.get("ready")), running, waiting, show(status.get("message"))]


def _list_job(document: dict[str, Any], status: dict[str, Any]) -> Row:
    keys = ("phase", "running", "waiting", "finished", "failed")
    row = [show(status.get(key)) for key in keys]
    return [*row, show(document.get("tasks")), show(status.get("message"))]


def _list_team(document: dict[str, Any], status: dict[str, Any]) -> Row:
    keys = ("cpu_millis", "memory_mib", "accelerators", "weight")
    return [show(document.get(key)) for key in keys]


def _list_worker(document: dict[str, Any], status: dict[str, Any]) -> Row:
    return [show(bool(document.get("drain")))]


def _list_request_service(document: dict[str, Any], status: dict[str, Any]) -> Row:
    keys = (
        "lookup_deadline_seconds",
        "call_deadline_seconds",
        "lookup_queue",
        "call_queue",
    )
    return [show(document.get(key)) for key in keys]


def _list_configuration(document: dict[str, Any], status: dict[str, Any]) -> Row:
    in_force = str(len(status.get("in_force") or []))
    missing = str(len(status.get("not_in_force") or {}))
    return [show(document.get("policy")), in_force, missing]


_JOB_COLUMNS = (
    "PHASE",
    "RUNNING",
    "WAITING",
    "FINISHED",
    "FAILED",
    "TASKS",
    "MESSAGE",
)
_COLUMNS: dict[str, tuple[tuple[str, ...], Cells]] = {
    "service": (("READY", "RUNNING", "WAITING", "MESSAGE"), _list_service),
    "batch": (_JOB_COLUMNS, _list_job),
    "gang": (_JOB_COLUMNS, _list_job),
    "team": (("CPU-MILLIS", "MEMORY-MIB", "ACCELERATORS", "WEIGHT"), _list_team),
    "worker": (("DRAIN",), _list_worker),
    "request-service": (
        ("LOOKUP-DEADLINE", "CALL-DEADLINE", "LOOKUP-QUEUE", "CALL-QUEUE"),
        _list_request_service,
    ),
    "configuration": (("POLICY", "IN-FORCE", "NOT-IN-FORCE"), _list_configuration),
}


def render_items(kind: str, items: Sequence[dict[str, Any]]) -> str:
    """Return the table of resources of one kind."""
    columns, list_cells = _COLUMNS[kind]
    rows = []
    for item in items:
        document = item.get("document") or {}
        metadata = document.get("metadata") or {}
        row = [show(item.get("name")), show(metadata.get("team"))]
        row.extend(list_cells(document, item.get("status") or {}))
        row.append(show(item.get("resource_version")))
        rows.append(row)
    return render_table(["NAME", "TEAM", *columns, "VERSION"], rows)


def summarize_status(status: dict[str, Any] | None) -> str:
    """Return a status on one line.

    >>> summarize_status({"running": 2, "ready": True, "message": ""})
    'running=2 ready=yes'
    """
    words = []
    for key, value in (status or {}).items():
        if value is None or value == "":
            continue
        words.append(f"{key}={show(value)}")
    return clean_text(" ".join(words))
