"""Follows the change log: by pushes of peers, the table, and peers in an outage."""

from almondspread_daemon.following.follower import ChangeFollower

__all__ = ["ChangeFollower"]
