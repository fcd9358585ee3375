"""Addresses of entry instances and the paths of their API."""

import re
from collections.abc import Sequence
from typing import Any
from urllib.parse import quote, urlencode

from attrs import define

from almondspread_cli.failures import refuse_usage

CONNECT_TIMEOUT_SECONDS = 3.0

_ENTRY = re.compile(r"https?://[A-Za-z0-9.:\[\]-]+")


@define(frozen=True)
class Target:
    """Where to send calls and what to present there.

    ``entries`` are base URLs; ``authority`` is a PEM file of the authority that
    signed their certificates, empty for the system's own.
    """

    entries: tuple[str, ...]
    token: str = ""
    authority: str = ""
    timeout_seconds: float = 30.0
    connect_timeout_seconds: float = CONNECT_TIMEOUT_SECONDS


def make_path(*parts: str, **query: Any) -> str:
    """Return the path of a call with each part and query value quoted.

    >>> make_path("resources", "batch", "a/b", limit=5, after=None)
    '/v1/resources/batch/a%2Fb?limit=5'
    """
    path = "/v1/" + "/".join(quote(part, safe="") for part in parts)
    given = {}
    for name, value in query.items():
        if value is None or value == "":
            continue
        given[name] = value
    return f"{path}?{urlencode(given)}" if given else path


def normalize_entries(entries: Sequence[str]) -> tuple[str, ...]:
    """Return base URLs for entries given as ``IP:port`` or as URLs.

    Raises ``CommandError`` for an entry that is neither.

    >>> normalize_entries(["127.0.0.1:8101", "https://10.0.0.1:443/"])
    ('http://127.0.0.1:8101', 'https://10.0.0.1:443')
    """
    found: list[str] = []
    for entry in entries:
        url = entry if "://" in entry else f"http://{entry}"
        url = url.rstrip("/")
        if not _ENTRY.fullmatch(url):
            remedy = "write IP:port, or a URL such as https://10.0.0.1:8101"
            raise refuse_usage(f"{entry!r} is no address of an entry", remedy)
        if url not in found:
            found.append(url)
    return tuple(found)
