"""Which other instances live, by their heartbeats and the platform's list."""

from almondspread_daemon.membership.neighbours import Neighbours

__all__ = ["Neighbours"]
