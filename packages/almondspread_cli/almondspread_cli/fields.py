"""The fields of resource kinds, read from their attrs types."""

import inspect
import math
import types
from typing import Any, get_args, get_origin

import attrs
from attrs import define

_SIMPLE = {str: "text", int: "whole number", float: "number", bool: "true or false"}
# A value of each type that every validator refuses, to learn what it allows.
_PROBES: dict[Any, Any] = {str: "?" * 99, int: math.inf, float: math.inf}
_PROBES.update({tuple: ("?",) * 10_000, dict: {"?": "?"}})


@define(frozen=True)
class FieldDescription:
    """One field: its dotted path, type, default and what it allows."""

    path: str
    type_name: str
    default: str
    allowed: str


def describe_fields(kind: type, prefix: str = "") -> list[FieldDescription]:
    """Return the fields of an attrs type, those of nested types after their holder.

    >>> from almondspread.resources import Team
    >>> describe_fields(Team)[-1].path
    'weight'
    """
    found = []
    for attribute in attrs.fields(kind):
        path = f"{prefix}{attribute.name}"
        description = FieldDescription(
            path,
            _name_type(attribute.type),
            _show_default(attribute),
            _describe_allowed(attribute),
        )
        found.append(description)
        if attrs.has(attribute.type):
            found.extend(describe_fields(attribute.type, path + "."))
    return found


def _name_type(kind: Any) -> str:
    """Return the name that a JSON author uses for a type."""
    if kind in _SIMPLE:
        return _SIMPLE[kind]
    if get_origin(kind) is tuple:
        return f"list of {_name_type(get_args(kind)[0])}"
    if get_origin(kind) is dict:
        key, value = get_args(kind)
        return f"object of {_name_type(key)} to {_name_type(value)}"
    return "object"


def _show_default(attribute: "attrs.Attribute[Any]") -> str:
    """Return the default of a field as JSON would show it."""
    default = attribute.default
    if default is attrs.NOTHING:
        return "required"
    if isinstance(default, attrs.Factory):  # type: ignore[arg-type]
        return "empty"
    if default in ("", ()):
        return "empty"
    return str(default).lower() if isinstance(default, bool) else f"{default}"


def _describe_allowed(attribute: "attrs.Attribute[Any]") -> str:
    """Return what a field's validator allows, in words."""
    validator = attribute.validator
    if validator is None:
        return ""
    limits = _find_limits(validator)
    if limits is not None:
        return f"{limits[0]:,} to {limits[1]:,}"
    kind = get_origin(attribute.type) or attribute.type
    try:
        validator(None, attribute, _PROBES.get(kind))  # type: ignore[misc]
    except ValueError as error:
        _, found, rule = str(error).partition(" must be ")
        return rule if found else str(error).rpartition(", ")[2]
    return ""


def _find_limits(validator: Any) -> tuple[float, float] | None:
    """Return the bounds that a range validator closes over."""
    if not isinstance(validator, types.FunctionType):
        return None
    held = inspect.getclosurevars(validator).nonlocals
    if "low" in held and "high" in held:
        return held["low"], held["high"]
    return None
