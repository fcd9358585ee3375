"""The operators' page of settings, rendered from the JSON Schema."""

import json
import textwrap
from typing import Any

from almondspread_daemon.settings.schema import make_schema

PAGE_WIDTH = 88
TITLE = "# Settings of an entry instance"
INTRODUCTION = """\
This page is written by `almondspreadd schema --page` from the same types that the
daemon checks its settings with; a test keeps it true. Settings are one JSON file. A key
that is left out has its default; an unknown key, a wrong type or a value outside its
range stops the daemon at once, with all faults together. `almondspreadd check-config
FILE` checks without starting. Changed `tokens` are taken without a restart, but
not the removal of all, and certificates when their files change; everything else takes
a restart."""


def render_settings_page() -> str:
    """Return the page in Markdown.

    >>> "peer.heartbeat_milliseconds" in render_settings_page()
    True
    """
    lines = [TITLE, "", INTRODUCTION, ""]
    lines.extend(_render_section(make_schema(), ""))
    return "\n".join(lines).rstrip() + "\n"


def _render_section(section: dict[str, Any], path: str) -> list[str]:
    """Return the table of one section and of the sections in it."""
    rows = []
    nested: list[str] = []
    required = section.get("required", [])
    for name, described in section["properties"].items():
        full = f"{path}.{name}" if path else name
        if "properties" in described:
            nested.extend(_render_section(described, full))
            continue
        items = described.get("items", {})
        if "properties" in items:
            nested.extend(_render_section(items, f"{full}[]"))
        rows.append(_render_row(full, described, name in required))
    heading = f"## {path}" if path else "## The instance"
    text = textwrap.fill(section["description"].replace("``", "`"), PAGE_WIDTH)
    table = ["| key | type | default | allowed |", "|---|---|---|---|", *rows]
    return [heading, "", text, "", *table, "", *nested]


def _render_row(path: str, described: dict[str, Any], required: bool) -> str:
    """Return one row of a table."""
    default = "required" if required else "—"
    if "default" in described:
        default = f"`{json.dumps(described['default'])}`"
    kind = described.get("type", "")
    return f"| `{path}` | {kind} | {default} | {_describe_allowed(described)} |"


def _describe_allowed(described: dict[str, Any]) -> str:
    """Return what values a key accepts."""
    if "enum" in described:
        return ", ".join(f"`{value}`" for value in described["enum"])
    if "minimum" in described:
        return f"{described['minimum']:,} to {described['maximum']:,}"
    if described.get("examples"):
        return f"such as `{described['examples'][0]}`"
    return "—"
