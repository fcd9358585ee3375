"""Finds the end of a msgpack value that arrives in pieces, without decoding it."""

from enum import Enum

# By the first byte of a value: how many bytes of its length follow, or of the value.
_BINARY_LENGTHS = {0xC4: 1, 0xC5: 2, 0xC6: 4, 0xD9: 1, 0xDA: 2, 0xDB: 4}
_ARRAY_LENGTHS = {0xDC: 2, 0xDD: 4}
_MAP_LENGTHS = {0xDE: 2, 0xDF: 4}
_NUMBER_SIZES = {
    **{0xCA: 4, 0xCB: 8},
    **{0xCC: 1, 0xCD: 2, 0xCE: 4, 0xCF: 8},
    **{0xD0: 1, 0xD1: 2, 0xD2: 4, 0xD3: 8},
}
_CONSTANTS = (0xC0, 0xC2, 0xC3)
MAX_DEPTH = 100


class _Kind(Enum):
    """What a length is that follows the first byte of a value."""

    BYTES = "bytes"
    ITEMS = "items"
    PAIRS = "pairs"


class MessageScanner:
    """Reads one value of at most ``max_values`` values, nested ones included.

    >>> import msgpack
    >>> data = msgpack.packb([1, {"a": b"xyz"}])
    >>> scanner = MessageScanner(max_values=10)
    >>> scanner.find_end(data[:4]) is None
    True
    >>> scanner.find_end(data[4:] + b"next") == len(data) - 4
    True
    """

    def __init__(self, max_values: int) -> None:
        self._left = max_values
        # How many values are to come, in each list or map that has not ended.
        self._open = [1]
        # The bytes of a value, or of a length, that are to come.
        self._skip = 0
        self._length_bytes = 0
        self._length = 0
        self._kind = _Kind.BYTES

    def find_end(self, data: bytes) -> int | None:
        """Return where the value ends in the next piece, ``None`` if it does not.

        Raises ``ValueError`` for a value over the limits, and for one that no message
        has.
        """
        position = 0
        while position < len(data):
            if self._skip:
                step = min(self._skip, len(data) - position)
                position += step
                self._skip -= step
                if self._skip:
                    return None
                self._end_value()
            elif self._length_bytes:
                self._length = self._length << 8 | data[position]
                position += 1
                self._length_bytes -= 1
                if not self._length_bytes:
                    self._begin_content(self._kind, self._length)
            else:
                self._begin_value(data[position])
                position += 1
            if not self._open:
                return position
        return None

    def _begin_value(self, first: int) -> None:
        """Take the first byte of a value."""
        self._left -= 1
        if self._left < 0:
            raise ValueError("a message has too many values")
        if first < 0x80 or first >= 0xE0 or first in _CONSTANTS:
            self._end_value()
        elif first < 0x90:
            self._begin_content(_Kind.PAIRS, first & 0x0F)
        elif first < 0xA0:
            self._begin_content(_Kind.ITEMS, first & 0x0F)
        elif first < 0xC0:
            self._begin_content(_Kind.BYTES, first & 0x1F)
        elif first in _NUMBER_SIZES:
            self._skip = _NUMBER_SIZES[first]
        elif first in _BINARY_LENGTHS:
            self._begin_length(_Kind.BYTES, _BINARY_LENGTHS[first])
        elif first in _ARRAY_LENGTHS:
            self._begin_length(_Kind.ITEMS, _ARRAY_LENGTHS[first])
        elif first in _MAP_LENGTHS:
            self._begin_length(_Kind.PAIRS, _MAP_LENGTHS[first])
        else:
            raise ValueError(f"a message has a value that begins with {first:#x}")

    def _begin_length(self, kind: _Kind, size: int) -> None:
        """Expect a length of so many bytes."""
        self._kind, self._length, self._length_bytes = kind, 0, size

    def _begin_content(self, kind: _Kind, count: int) -> None:
        """Expect the bytes or the items of a value."""
        if not count:
            self._end_value()
            return
        if kind == _Kind.BYTES:
            self._skip = count
            return
        if len(self._open) > MAX_DEPTH:
            raise ValueError(f"a message is nested deeper than {MAX_DEPTH}")
        self._open.append(count if kind == _Kind.ITEMS else 2 * count)

    def _end_value(self) -> None:
        """Note the end of a value, and of the lists and maps that end with it."""
        while self._open:
            self._open[-1] -= 1
            if self._open[-1]:
                return
            self._open.pop()
