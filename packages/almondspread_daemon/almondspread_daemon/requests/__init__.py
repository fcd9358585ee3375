"""Requests of callers: their way to a minion, and the records of their keys."""

from almondspread_daemon.requests.keys import KeyShard
from almondspread_daemon.requests.minions import MinionPools
from almondspread_daemon.requests.router import RequestRouter

__all__ = ["KeyShard", "MinionPools", "RequestRouter"]
