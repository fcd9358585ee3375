"""Addresses of the form ``IP:port``."""

import ipaddress
import reprlib

MAX_PORT = 65_535
MAX_PORT_DIGITS = 5


def parse_address(address: str) -> tuple[str, int]:
    """Return the IP number and port of an ``IP:port`` text.

    >>> parse_address("[::1]:8101")
    ('::1', 8101)
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


def parse_destination(address: str) -> tuple[str, int]:
    """Return the IP number and port of an address that others have written.

    Raises ``ValueError`` if the host is not an IP number, or the port not a decimal
    number from 1 to 65535.

    >>> parse_destination("10.0.0.9:8080"), parse_destination("[::1]:8101")
    (('10.0.0.9', 8080), ('::1', 8101))
    """
    host, _, port = address.rpartition(":")
    is_number = port.isascii() and port.isdecimal() and len(port) <= MAX_PORT_DIGITS
    if not is_number or not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f"{reprlib.repr(address)} has no port from 1 to {MAX_PORT}")
    is_bracketed = host.startswith("[") and host.endswith("]")
    try:
        if is_bracketed:
            # The name of a network interface after "%" means nothing elsewhere.
            parsed = ipaddress.IPv6Address(host[1:-1].replace("%", " "))
            return str(parsed), int(port)
        return str(ipaddress.IPv4Address(host)), int(port)
    except ValueError:
        raise ValueError(f"{reprlib.repr(address)} has no IP number") from None
