"""What a single value of the settings may be, stated once for check and schema.

A constraint is attached to a field by ``typing.Annotated``. The loader asks it to
judge values; the schema generator asks it for its JSON Schema keywords.
"""

import ipaddress
import re
from typing import Any
from urllib.parse import urlsplit

from attrs import define

from almondspread_daemon.addresses import parse_address

_OCTET = r"(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"
_PORT = (
    r"(6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}|[1-5][0-9]{4}"
    r"|[1-9][0-9]{0,3})"
)
_ADDRESS_PATTERN = rf"^(({_OCTET}\.){{3}}{_OCTET}|\[[0-9a-fA-F:.]+\]):{_PORT}$"
_URL_PATTERN = r"^https?://[^/?# ]+(/[^?# ]*)?$"
_NAME_PATTERN = r"^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$"
_SHA256_PATTERN = r"^[0-9a-f]{64}$"


@define(frozen=True)
class Range:
    """A number from ``low`` to ``high``, both included, in ``unit``."""

    low: float
    high: float
    unit: str = ""

    def accepts(self, value: Any) -> bool:
        """Tell whether the number lies in the range."""
        return self.low <= value <= self.high

    def describe(self) -> str:
        """Return what is allowed, for an error message."""
        return f"from {self.low:,} to {self.high:,} {self.unit}".rstrip()

    def to_schema(self) -> dict[str, Any]:
        """Return the JSON Schema keywords of the range."""
        return {"minimum": self.low, "maximum": self.high}

    @property
    def remedy(self) -> str:
        """What to do about a number outside the range."""
        return "set a number in the range, or leave the key out for its default"


@define(frozen=True)
class Choice:
    """One of a few texts."""

    texts: tuple[str, ...]

    def accepts(self, value: Any) -> bool:
        """Tell whether the text is one of the choices."""
        return value in self.texts

    def describe(self) -> str:
        """Return what is allowed, for an error message."""
        return "one of " + ", ".join(self.texts)

    def to_schema(self) -> dict[str, Any]:
        """Return the JSON Schema keywords of the choice."""
        return {"enum": list(self.texts)}

    @property
    def remedy(self) -> str:
        """What to do about another text."""
        return "use one of the listed words"


@define(frozen=True)
class Text:
    """A text of a given form.

    ``secret`` keeps a refused value out of the error message, since a text put there
    by mistake may be the secret itself.
    """

    pattern: str
    form: str
    remedy: str
    example: str
    secret: bool = False
    optional: bool = False

    def accepts(self, value: Any) -> bool:
        """Tell whether the text has the form, or is empty where that is allowed."""
        if not value:
            return self.optional
        return re.fullmatch(self.pattern, value) is not None and self._parses(value)

    def _parses(self, value: str) -> bool:
        """Check by the standard library what a pattern cannot express."""
        if self.pattern == _ADDRESS_PATTERN:
            return _is_address(value)
        if self.pattern == _URL_PATTERN:
            return _is_ip_url(value)
        return True

    def describe(self) -> str:
        """Return what is allowed, for an error message."""
        return f"{self.form}, for example {self.example}"

    def to_schema(self) -> dict[str, Any]:
        """Return the JSON Schema keywords of the form."""
        pattern = self.pattern
        if self.optional:
            pattern = f"^$|{pattern}"
        return {"pattern": pattern, "examples": [self.example]}


Constraint = Range | Choice | Text


def _is_address(value: str) -> bool:
    """Tell whether the host of an ``IP:port`` text is an IP number."""
    return _is_ip_number(parse_address(value)[0])


def _is_ip_number(host: str) -> bool:
    """Tell whether a text is an IP number of version 4 or 6."""
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def _is_ip_url(value: str) -> bool:
    """Tell whether a URL names its host by IP number and has a valid port."""
    try:
        parts = urlsplit(value)
        port = parts.port
    except ValueError:
        return False
    return port != 0 and _is_ip_number(parts.hostname or "")


ADDRESS = Text(
    _ADDRESS_PATTERN,
    "an IP number and a port",
    "write the IP number of a network interface; host names are not resolved",
    "127.0.0.1:8101",
)
URL = Text(
    _URL_PATTERN,
    "an http or https URL whose host is an IP number",
    "write the IP number in place of the host name, without a query",
    "http://127.0.0.1:7000",
)
OPTIONAL_URL = Text(URL.pattern, URL.form, URL.remedy, URL.example, optional=True)
NAME = Text(
    _NAME_PATTERN,
    "1 to 63 lower-case letters, digits, dots or dashes, a letter or digit at the ends",
    "choose such a name",
    "umea-1",
)
OPTIONAL_NAME = Text(NAME.pattern, NAME.form, NAME.remedy, "routes", optional=True)
FILE = Text(
    r"^[^\u0000]+$",
    "the path of a PEM file",
    "write the path, or leave the key out",
    "/etc/almondspread/entry.pem",
    optional=True,
)
SHA256 = Text(
    _SHA256_PATTERN,
    "64 lower-case hexadecimal digits",
    "put the SHA-256 of the token here, never the token: printf %s TOKEN | sha256sum",
    "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08",
    secret=True,
)
