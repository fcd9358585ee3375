"""Measurements of the decisions and daemons, each beside its naive version."""

from almondspread_standin.measures.command import measure

__all__ = ["measure"]
