"""One pair of functions for msgpack bytes and one for JSON documents.

Both go through ``cattrs``. The strict converter for documents of callers refuses
fields that a type does not have; the lenient one for stored rows and peers ignores
them, so that instances of two versions can run side by side.
"""

import reprlib
from types import GenericAlias
from typing import Any, TypeVar, get_args, get_origin

import msgpack
from cattrs import Converter, transform_error
from cattrs.v import format_exception
from expression import Error, Ok, Result

from almondspread.errors import InvalidInput

T = TypeVar("T")

MAX_REASONS = 20
MAX_REASON_LETTERS = 300
# Each value that is wrong costs about 1.5 KiB while all reasons are collected.
MAX_EXPLAINED_VALUES = 2_000

_strict = Converter(forbid_extra_keys=True)
# Stops at the first value that is wrong.
_quick = Converter(forbid_extra_keys=True, detailed_validation=False)
_lenient = Converter(detailed_validation=False, omit_if_default=True)
for _converter in (_strict, _quick, _lenient):
    _converter.register_unstructure_hook(bytes, lambda value: value)
    _converter.register_structure_hook(bytes, lambda value, _: bytes(value))


class WrongValue(ValueError):
    """A value that a field cannot take; the text says why."""


def _require(kind: type, names: str) -> Any:
    """Return a hook that takes only values of ``kind``, never a look-alike."""

    def structure(value: Any, _: Any) -> Any:
        if not isinstance(value, kind) or isinstance(value, bool) != (kind is bool):
            raise WrongValue(f"{reprlib.repr(value)} is not {names}")
        return value

    return structure


def _structure_text(value: Any, _: Any) -> str:
    """Take a text that can be stored, which a lone surrogate cannot."""
    if not isinstance(value, str):
        raise WrongValue(f"{reprlib.repr(value)} is not a text")
    try:
        value.encode()
    except UnicodeEncodeError:
        raise WrongValue(f"{reprlib.repr(value)} is not valid Unicode") from None
    return value


def _structure_float(value: Any, _: Any) -> float:
    """Take a whole number or a fraction, but no boolean and no text."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise WrongValue(f"{reprlib.repr(value)} is not a number")
    try:
        return float(value)
    except OverflowError:
        raise WrongValue("the number is too large") from None


def _make_tuple_hook(converter: Converter) -> Any:
    """Return a hook that takes a list, where a text would also yield items."""

    def structure(value: Any, kind: Any) -> tuple[Any, ...]:
        if not isinstance(value, list | tuple):
            raise WrongValue(f"{reprlib.repr(value)} is not a list")
        list_kind: Any = GenericAlias(list, get_args(kind)[:1])
        return tuple(converter.structure(value, list_kind))

    return structure


for _converter in (_strict, _quick):
    _converter.register_structure_hook(int, _require(int, "a whole number"))
    _converter.register_structure_hook(str, _structure_text)
    _converter.register_structure_hook(bool, _require(bool, "true or false"))
    _converter.register_structure_hook(float, _structure_float)
    _converter.register_structure_hook_func(
        lambda kind: get_origin(kind) is tuple, _make_tuple_hook(_converter)
    )


def encode_message(value: Any) -> bytes:
    """Return an attrs value as msgpack bytes.

    >>> from attrs import define
    >>> @define
    ... class Point:
    ...     x: int
    >>> decode_message(encode_message(Point(3)), Point)
    Point(x=3)
    """
    return bytes(msgpack.packb(_lenient.unstructure(value)))


def decode_message(data: bytes, kind: type[T]) -> T:
    """Return the value of type ``kind`` held by msgpack bytes.

    Raises ``ValueError`` for bytes that do not hold such a value.
    """
    try:
        return _lenient.structure(msgpack.unpackb(data, strict_map_key=False), kind)
    except Exception as error:
        raise ValueError(f"not a {kind.__name__}: {error}") from error


def unstructure_value(value: Any) -> Any:
    """Return an attrs value as plain values for a JSON document."""
    return _strict.unstructure(value)


def structure_document(document: Any, kind: type[T]) -> Result[T, InvalidInput]:
    """Return the value that a caller's JSON document describes.

    The problem of the error case names every field that is wrong, or one of them if the
    document has more than ``MAX_EXPLAINED_VALUES`` values.
    """
    if not isinstance(document, dict):
        return Error(InvalidInput("the document is not an object", "send an object"))
    try:
        return Ok(_quick.structure(document, kind))
    except Exception as error:
        reasons = [_explain(error, kind)]
    if not _has_more_values(document, MAX_EXPLAINED_VALUES):
        reasons = _list_reasons(document, kind) or reasons
    if len(reasons) > MAX_REASONS:
        reasons[MAX_REASONS:] = [f"and {len(reasons) - MAX_REASONS} more"]
    remedy = "correct the named fields and send the document again"
    return Error(InvalidInput("; ".join(reasons), remedy))


def _list_reasons(document: Any, kind: type) -> list[str]:
    """Return what is wrong with each field of a document."""
    try:
        _strict.structure(document, kind)
    except Exception as error:
        return transform_error(error, format_exception=_explain)
    return []


def _has_more_values(document: Any, limit: int) -> bool:
    """Tell whether a JSON document has more than ``limit`` values."""
    values = [document]
    for value in values:
        if isinstance(value, dict | list):
            if len(values) + len(value) > limit:
                return True
            values.extend(value.values() if isinstance(value, dict) else value)
    return False


def _explain(error: BaseException, kind: type | None) -> str:
    """Return what is wrong with one value; validators say it in their own words."""
    if isinstance(error, AttributeError | TypeError):
        # The converter took something else for the object that it expected.
        reason = "the value is not an object"
    elif type(error) in (ValueError, WrongValue):
        reason = str(error)
    else:
        reason = format_exception(error, kind)
    return reason[:MAX_REASON_LETTERS]
