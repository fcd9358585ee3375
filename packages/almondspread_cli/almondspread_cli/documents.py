"""Files of resources that operators write."""

import json
from pathlib import Path
from typing import Any

import click
from expression import Error, Ok, Result

from almondspread.errors import InvalidInput
from almondspread.resources import parse_resource

_REMEDY = "give a resource, a list of resources, or what `get -o json` printed"


def read_documents(path: str) -> Result[list[dict[str, Any]], InvalidInput]:
    """Return the items of a file, or of the standard input for ``-``.

    An item is the document and the version that it was made from, ``None`` for a
    document that was not read from the system.
    """
    try:
        if path == "-":
            text = click.get_text_stream("stdin").read()
        else:
            text = Path(path).read_text(encoding="utf-8")
        content = json.loads(text)
    except (OSError, ValueError, RecursionError) as error:
        return Error(InvalidInput(f"{path}: {error}", "give a readable JSON file"))
    items = []
    for index, entry in enumerate(_split(content)):
        item = _make_item(entry)
        parsed = parse_resource(item["document"])
        if parsed.is_error():
            problem = parsed.error
            message = f"{path}: resource {index + 1}: {problem.message}"
            return Error(InvalidInput(message, problem.remedy))
        items.append(item)
    if not items:
        return Error(InvalidInput(f"{path}: no resource in it", _REMEDY))
    return Ok(items)


def _split(content: Any) -> list[Any]:
    """Return the resources of a file's content, one by one."""
    if isinstance(content, list):
        return content
    if isinstance(content, dict) and isinstance(content.get("items"), list):
        return list(content["items"])
    return [content]


def _make_item(entry: Any) -> dict[str, Any]:
    """Return the document of an entry with the version it was read at."""
    if isinstance(entry, dict) and "document" in entry:
        version = entry.get("resource_version")
        return {"document": entry["document"], "resource_version": version}
    return {"document": entry, "resource_version": None}
