"""Requests to minions: records of idempotency keys, slots, and admission."""

from almondspread.requests.events import KEY_EVENT_CODEC, Answered, Dispatched
from almondspread.requests.keys import KeyRecord, KeyTable, find_key_shard
from almondspread.requests.slots import MinionSlots, SlotPool

__all__ = [
    "KEY_EVENT_CODEC",
    "Answered",
    "Dispatched",
    "KeyRecord",
    "KeyTable",
    "MinionSlots",
    "SlotPool",
    "find_key_shard",
]
