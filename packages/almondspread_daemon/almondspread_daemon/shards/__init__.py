"""Shards that this instance owns, and the tasks that act for them."""

from almondspread_daemon.shards.manager import ShardManager, ShardRunner
from almondspread_daemon.shards.schedule import ScheduleShard
from almondspread_daemon.shards.transfers import CellView, RoomCache

__all__ = ["CellView", "RoomCache", "ScheduleShard", "ShardManager", "ShardRunner"]
