"""What is wrong with a settings file, one line for each wrong key."""

import json
from typing import Any

from attrs import define

MAX_VALUE_CHARACTERS = 60


@define(frozen=True)
class Fault:
    """One wrong key: its path, the value as shown, what is allowed, the remedy."""

    key: str
    value: str
    allowed: str
    remedy: str

    def to_line(self) -> str:
        """Return the fault as one line of text."""
        return f"{self.key}: {self.value} is refused; {self.allowed}; {self.remedy}"


@define(frozen=True)
class InvalidSettings:
    """Every fault of a settings file."""

    faults: tuple[Fault, ...]

    def to_text(self) -> str:
        """Return the faults, one a line."""
        return "\n".join(fault.to_line() for fault in self.faults)


def show_value(value: Any) -> str:
    """Return a value as short JSON for an error message.

    >>> show_value([1, True, "a"])
    '[1, true, "a"]'
    """
    text = json.dumps(value, ensure_ascii=False, default=str)
    if len(text) <= MAX_VALUE_CHARACTERS:
        return text
    return text[: MAX_VALUE_CHARACTERS - 3] + "..."
