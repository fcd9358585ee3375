"""Encoding of typed values as msgpack and as JSON documents."""

from almondspread.codec.converters import (
    decode_message,
    encode_message,
    structure_document,
    unstructure_value,
)
from almondspread.codec.json_size import count_values
from almondspread.codec.tagged import TaggedCodec

__all__ = [
    "TaggedCodec",
    "count_values",
    "decode_message",
    "encode_message",
    "structure_document",
    "unstructure_value",
]
