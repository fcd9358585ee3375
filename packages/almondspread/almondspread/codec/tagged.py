"""Messages of several types in one stream or row, told apart by a tag."""

from datetime import timedelta
from typing import Any

import msgpack
from cattrs import Converter


class TaggedCodec:
    """Encodes values of a fixed set of attrs types with the name of their type.

    Durations become seconds.

    >>> from attrs import define
    >>> @define(frozen=True)
    ... class Ping:
    ...     count: int
    >>> codec = TaggedCodec((Ping,))
    >>> codec.decode(codec.encode(Ping(3)))
    Ping(count=3)
    """

    def __init__(self, kinds: tuple[type, ...]) -> None:
        self._kinds = {kind.__name__: kind for kind in kinds}
        self._converter = Converter(detailed_validation=False, omit_if_default=True)
        self._converter.register_unstructure_hook(bytes, lambda value: value)
        self._converter.register_structure_hook(bytes, lambda value, _: bytes(value))
        self._converter.register_unstructure_hook(timedelta, timedelta.total_seconds)
        self._converter.register_structure_hook(
            timedelta, lambda value, _: timedelta(seconds=value)
        )

    def to_plain(self, value: Any) -> list[Any]:
        """Return a value as its tag and its fields."""
        return [type(value).__name__, self._converter.unstructure(value)]

    def from_plain(self, plain: Any) -> Any:
        """Return the value of a tag and fields; raises ``ValueError``."""
        try:
            tag, fields = plain
            return self._converter.structure(fields, self._kinds[tag])
        except Exception as error:
            raise ValueError(f"not a known message: {error!r}") from error

    def encode(self, value: Any) -> bytes:
        """Return a value as msgpack bytes."""
        return bytes(msgpack.packb(self.to_plain(value)))

    def decode(self, data: bytes) -> Any:
        """Return the value held by msgpack bytes; raises ``ValueError``."""
        try:
            plain = msgpack.unpackb(data)
        except Exception as error:
            raise ValueError(f"not msgpack: {error!r}") from error
        return self.from_plain(plain)
