"""Addresses of the form ``IP:port``."""


def parse_address(address: str) -> tuple[str, int]:
    """Return the IP number and port of an ``IP:port`` text.

    >>> parse_address("[::1]:8101")
    ('::1', 8101)
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
