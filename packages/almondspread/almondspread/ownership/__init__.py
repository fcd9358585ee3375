"""Which instance owns which shard, and the fence that says so."""

from almondspread.ownership.claims import (
    OwnerRecord,
    Ownership,
    claim_shard,
    make_owner_key,
    read_owner,
)
from almondspread.ownership.members import Member, Members
from almondspread.ownership.ranking import rank_owners

__all__ = [
    "Member",
    "Members",
    "OwnerRecord",
    "Ownership",
    "claim_shard",
    "make_owner_key",
    "rank_owners",
    "read_owner",
]
