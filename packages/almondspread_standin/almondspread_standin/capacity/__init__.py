"""Measures how cost grows with size, and writes the page of capacity."""

from almondspread_standin.capacity.command import capacity

__all__ = ["capacity"]
