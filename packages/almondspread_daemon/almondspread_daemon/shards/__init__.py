"""Ownership of shards by this instance, and the runners of scheduling shards."""

from almondspread_daemon.shards.manager import ShardManager, ShardRunner
from almondspread_daemon.shards.schedule import ScheduleShard
from almondspread_daemon.shards.transfers import CellView, RoomCache

__all__ = ["CellView", "RoomCache", "ScheduleShard", "ShardManager", "ShardRunner"]
