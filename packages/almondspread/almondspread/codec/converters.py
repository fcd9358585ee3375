"""One pair of functions for msgpack bytes and one for JSON documents.

Both go through ``cattrs``. The strict converter for documents of callers refuses
fields that a type does not have; the lenient one for stored rows and peers ignores
them, so that instances of two versions can run side by side.
"""

from typing import Any, TypeVar

import msgpack
from cattrs import Converter, transform_error
from expression import Error, Ok, Result

from almondspread.errors import InvalidInput

T = TypeVar("T")

_strict = Converter(forbid_extra_keys=True)
_lenient = Converter(detailed_validation=False, omit_if_default=True)
for _converter in (_strict, _lenient):
    _converter.register_unstructure_hook(bytes, lambda value: value)
    _converter.register_structure_hook(bytes, lambda value, _: bytes(value))


def _require(kind: type, names: str) -> Any:
    """Return a hook that takes only values of ``kind``, never a look-alike."""

    def structure(value: Any, _: Any) -> Any:
        if not isinstance(value, kind) or isinstance(value, bool) != (kind is bool):
            raise ValueError(f"{value!r} is not {names}")
        return value

    return structure


def _structure_float(value: Any, _: Any) -> float:
    """Take a whole number or a fraction, but no boolean and no text."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{value!r} is not a number")
    return float(value)


_strict.register_structure_hook(int, _require(int, "a whole number"))
_strict.register_structure_hook(str, _require(str, "a text"))
_strict.register_structure_hook(bool, _require(bool, "true or false"))
_strict.register_structure_hook(float, _structure_float)


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
        return _lenient.structure(msgpack.unpackb(data), kind)
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
        reasons = "; ".join(transform_error(error))
        remedy = "correct the named fields and send the document again"
        return Error(InvalidInput(reasons, remedy))
