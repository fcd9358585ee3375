"""Measurements on real instances; each prints one JSON object as its last line."""

from almondspread_standin.measures.command import measure

__all__ = ["measure"]
