"""Tracks the other live instances by heartbeats and the platform's list."""

from almondspread_daemon.membership.neighbours import Neighbours

__all__ = ["Neighbours"]
