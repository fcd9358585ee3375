"""The JSON Schema of the settings, generated from their types."""

from typing import Annotated, Any, get_args, get_origin

import attrs

from almondspread_daemon.settings.sections import Settings

_JSON_TYPES = {str: "string", int: "integer", float: "number"}


def make_schema() -> dict[str, Any]:
    """Return the JSON Schema of a settings file.

    Rules that tie several keys together are beyond it; only the loader checks them.

    >>> make_schema()["properties"]["log"]["properties"]["format"]["enum"]
    ['json', 'text']
    """
    schema = _describe_section(Settings)
    schema["$schema"] = "https://json-schema.org/draft/2020-12/schema"
    schema["title"] = "almondspreadd settings"
    return schema


def _describe_section(section: type) -> dict[str, Any]:
    """Return the schema of one section."""
    properties: dict[str, Any] = {}
    required = []
    for attribute in attrs.fields(section):
        properties[attribute.name] = _describe_type(attribute.type)
        if attribute.default is attrs.NOTHING:
            required.append(attribute.name)
            continue
        if attrs.has(attribute.type):
            continue
        default = attribute.default
        if isinstance(default, tuple):
            default = list(default)
        properties[attribute.name]["default"] = default
    description = " ".join((section.__doc__ or "").split())
    return {
        "type": "object",
        "description": description,
        "properties": properties,
        "required": required,
        "additionalProperties": False,
    }


def _describe_type(kind: Any) -> dict[str, Any]:
    """Return the schema of a section, a list or a value with its constraint."""
    if get_origin(kind) is tuple:
        return {"type": "array", "items": _describe_type(get_args(kind)[0])}
    if get_origin(kind) is Annotated:
        base, constraint = get_args(kind)
        return {"type": _JSON_TYPES[base], **constraint.to_schema()}
    return _describe_section(kind)
