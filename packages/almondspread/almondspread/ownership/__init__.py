"""Ownership of shards by instances, and the fencing of former owners."""

from almondspread.ownership.authority import Authority
from almondspread.ownership.claims import (
    Claimant,
    OwnerRecord,
    OwnerRow,
    Ownership,
    claim_shard,
    make_owner_key,
    read_owner,
    read_owner_versions,
    release_shards,
)
from almondspread.ownership.members import Member, Members, make_incarnation
from almondspread.ownership.ranking import rank_owners

__all__ = [
    "Authority",
    "Claimant",
    "Member",
    "Members",
    "OwnerRecord",
    "OwnerRow",
    "Ownership",
    "claim_shard",
    "make_incarnation",
    "make_owner_key",
    "rank_owners",
    "read_owner",
    "read_owner_versions",
    "release_shards",
]
