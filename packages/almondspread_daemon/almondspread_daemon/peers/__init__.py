"""Streams between instances: calls with replies, and notifications without."""

from almondspread_daemon.peers.links import PeerFault, PeerLink
from almondspread_daemon.peers.server import CallContext, PeerServer

__all__ = ["CallContext", "PeerFault", "PeerLink", "PeerServer"]
