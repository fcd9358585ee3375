"""The demonstration of ``make demo``: one deployment after the other."""

from almondspread_standin.demo.command import demo

__all__ = ["demo"]
