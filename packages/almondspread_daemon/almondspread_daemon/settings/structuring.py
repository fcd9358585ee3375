"""A document into sections, with every wrong key found in one pass."""

import difflib
import math
from collections.abc import Callable
from typing import Annotated, Any, get_args, get_origin

import attrs
from cattrs import ClassValidationError, Converter, IterableValidationError
from cattrs.errors import ForbiddenExtraKeysError
from cattrs.gen import make_dict_structure_fn

from almondspread_daemon.settings.constraints import Constraint
from almondspread_daemon.settings.faults import Fault, show_value

Path = tuple[str | int, ...]
Hook = Callable[[Any, Any], Any]

_KIND_NAMES = {str: "a text", int: "a whole number", float: "a number"}
_converter = Converter()


@attrs.define
class _Refused(ValueError):
    """A value that its field does not allow."""

    value: str
    allowed: str
    remedy: str


def format_path(path: Path) -> str:
    """Return a path as operators write it.

    >>> format_path(("tokens", 2, "role"))
    'tokens[2].role'
    """
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
            continue
        text += f".{part}" if text else part
    return text


def _has_kind(value: Any, kind: type) -> bool:
    """Tell whether a JSON value is of a kind; a boolean is never a number."""
    if isinstance(value, bool):
        return False
    if kind is float:
        return isinstance(value, int | float) and math.isfinite(value)
    if kind is int and isinstance(value, float):
        return value.is_integer()
    return isinstance(value, kind)


def _make_value_hook(annotated: Any) -> Hook:
    """Return the hook of a field that carries a constraint."""
    kind = get_args(annotated)[0]
    constraint: Constraint = get_args(annotated)[1]

    def structure(value: Any, _: Any) -> Any:
        if _has_kind(value, kind) and constraint.accepts(value):
            return kind(value)
        shown = show_value(value)
        if getattr(constraint, "secret", False):
            shown = "the value (not shown)"
        allowed = f"allowed is {_KIND_NAMES[kind]}: {constraint.describe()}"
        raise _Refused(shown, allowed, constraint.remedy)

    return structure


def _make_section_hook(section: Any) -> Hook:
    """Return the hook of a section, which takes an object of known keys only."""
    structure_fields = make_dict_structure_fn(
        section, _converter, _cattrs_forbid_extra_keys=True
    )

    def structure(value: Any, _: Any) -> Any:
        if isinstance(value, dict):
            return structure_fields(value, section)
        names = ", ".join(attrs.fields_dict(section))
        allowed = f"allowed is an object with the keys {names}"
        raise _Refused(show_value(value), allowed, "write an object in braces")

    return structure


def _make_list_hook(annotated: Any) -> Hook:
    """Return the hook of a list of values of one type."""
    item = get_args(annotated)[0]

    def structure(value: Any, _: Any) -> Any:
        if isinstance(value, list):
            return tuple(_converter.structure(value, list[item]))
        remedy = "write a list in square brackets"
        raise _Refused(show_value(value), "allowed is a list", remedy)

    return structure


def _is_list(kind: Any) -> bool:
    """Tell whether a type is a tuple of any length."""
    return get_origin(kind) is tuple


def _is_constrained(kind: Any) -> bool:
    """Tell whether a type carries a constraint."""
    return get_origin(kind) is Annotated


_converter.register_structure_hook_factory(attrs.has, _make_section_hook)
_converter.register_structure_hook_factory(_is_list, _make_list_hook)
_converter.register_structure_hook_factory(_is_constrained, _make_value_hook)


def _list_unknown(error: ForbiddenExtraKeysError, path: Path) -> list[Any]:
    """Return a fault for each key that a section does not have."""
    known = list(attrs.fields_dict(error.cl))
    found = []
    for key in sorted(error.extra_fields):
        nearest = difflib.get_close_matches(key, known, n=1, cutoff=0.0)
        allowed = "allowed keys here are " + ", ".join(known)
        remedy = f"remove it, or write the nearest known key {nearest[0]!r}"
        where = (*path, key)
        found.append((where, Fault(format_path(where), "the key", allowed, remedy)))
    return found


def _list_single(error: Exception, path: Path) -> list[Any]:
    """Return the fault of one wrong value or missing key."""
    key = format_path(path) or "the file"
    if isinstance(error, _Refused):
        return [(path, Fault(key, error.value, error.allowed, error.remedy))]
    if isinstance(error, KeyError):
        remedy = "add the key with a value for this instance"
        fault = Fault(key, "leaving the key out", "the key is required", remedy)
        return [(path, fault)]
    raise error


def _list_faults(error: Exception, path: Path) -> list[Any]:
    """Walk a validation error and return its faults with their paths."""
    found: list[Any] = []
    if isinstance(error, ForbiddenExtraKeysError):
        return _list_unknown(error, path)
    if isinstance(error, ClassValidationError):
        with_notes, without = error.group_exceptions()
        for nested, note in with_notes:
            found.extend(_list_faults(nested, (*path, note.name)))
        for nested in without:
            found.extend(_list_faults(nested, path))
        return found
    if isinstance(error, IterableValidationError):
        for nested, item in error.group_exceptions()[0]:
            found.extend(_list_faults(nested, (*path, int(item.index))))
        return found
    return _list_single(error, path)


def structure_section(document: Any, section: type) -> tuple[Any, dict[Path, Fault]]:
    """Return the section that a document describes and the faults by path.

    The section is ``None`` where there is any fault.
    """
    try:
        return _converter.structure(document, section), {}
    except (ClassValidationError, _Refused) as error:
        return None, dict(_list_faults(error, ()))
