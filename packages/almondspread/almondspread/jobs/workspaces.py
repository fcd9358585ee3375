"""Workspaces: customers of the cell, with their keys, weight and limit."""

import hashlib

from attrs import define

from almondspread.resources.capacity import Capacity


@define(frozen=True)
class Workspace:
    """A customer of the cell.

    ``weight`` is its part of a service that is full, and the number of jobs a second
    that it may submit then. ``limit`` is what it may have running over all upstreams;
    an amount of 0 sets no limit. Of its keys only the digests are kept.
    """

    name: str
    weight: float = 1.0
    limit: Capacity = Capacity(0, 0, 0)
    key_digests: frozenset[bytes] = frozenset()


def digest_key(key: str) -> bytes:
    """Return the digest by which a caller's key is kept and compared.

    >>> digest_key("k-1") == digest_key("k-2")
    False
    """
    return hashlib.sha256(key.encode("utf-8", "surrogatepass")).digest()
