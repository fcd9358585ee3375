"""Routing of callers' requests to minions, and records of idempotency keys."""

from almondspread_daemon.requests.key_shards import KeyShard
from almondspread_daemon.requests.minion_calls import MinionCalls
from almondspread_daemon.requests.minion_pools import MinionPools
from almondspread_daemon.requests.minion_shards import MinionShard, MinionTimings
from almondspread_daemon.requests.peer_handlers import PeerRequestHandlers
from almondspread_daemon.requests.router import RequestRouter

__all__ = [
    "KeyShard",
    "MinionCalls",
    "MinionPools",
    "MinionShard",
    "MinionTimings",
    "PeerRequestHandlers",
    "RequestRouter",
]
