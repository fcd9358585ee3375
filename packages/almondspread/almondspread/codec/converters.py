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

_strict = Converter(forbid_extra_keys=True)
_lenient = Converter(detailed_validation=False, omit_if_default=True)
for _converter in (_strict, _lenient):
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


def _structure_tuple(value: Any, kind: Any) -> tuple[Any, ...]:
    """Take a list, where a text or an object would also yield items."""
    if not isinstance(value, list | tuple):
        raise WrongValue(f"{reprlib.repr(value)} is not a list")
    list_kind: Any = GenericAlias(list, get_args(kind)[:1])
    return tuple(_strict.structure(value, list_kind))


_strict.register_structure_hook(int, _require(int, "a whole number"))
_strict.register_structure_hook(str, _structure_text)
_strict.register_structure_hook(bool, _require(bool, "true or false"))
_strict.register_structure_hook(float, _structure_float)
_strict.register_structure_hook_func(
    lambda kind: get_origin(kind) is tuple, _structure_tuple
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

    The problem of the error case names every field that is wrong.
    """
    if not isinstance(document, dict):
        return Error(InvalidInput("the document is not an object", "send an object"))
    try:
        return Ok(_strict.structure(document, kind))
    except Exception as error:
        reasons = transform_error(error, format_exception=_explain)
        if len(reasons) > MAX_REASONS:
            reasons[MAX_REASONS:] = [f"and {len(reasons) - MAX_REASONS} more"]
        remedy = "correct the named fields and send the document again"
        return Error(InvalidInput("; ".join(reasons), remedy))


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
