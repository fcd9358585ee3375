"""Requests to minions: idempotency keys, slots, admission and retries."""

from almondspread.requests.budget import RetryBudget, choose_backoff
from almondspread.requests.events import KEY_EVENT_CODEC, Answered, Dispatched
from almondspread.requests.health import MinionHealth, eject_outlier
from almondspread.requests.keys import KeyRecord, KeyTable, find_key_shard
from almondspread.requests.queues import QueuedRequest, RequestQueue, estimate_wait
from almondspread.requests.slots import (
    MinionSlots,
    ShardSlots,
    choose_minion,
    find_minion_shard,
)

__all__ = [
    "KEY_EVENT_CODEC",
    "Answered",
    "Dispatched",
    "KeyRecord",
    "KeyTable",
    "MinionHealth",
    "MinionSlots",
    "RequestQueue",
    "RetryBudget",
    "ShardSlots",
    "QueuedRequest",
    "choose_minion",
    "eject_outlier",
    "estimate_wait",
    "choose_backoff",
    "find_key_shard",
    "find_minion_shard",
]
