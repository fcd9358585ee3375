"""Rules that tie several keys of the settings together."""

import ipaddress
from collections.abc import Callable

from attrs import define

from almondspread_daemon.addresses import parse_address
from almondspread_daemon.settings.faults import Fault, show_value
from almondspread_daemon.settings.sections import Settings


@define(frozen=True)
class Rule:
    """A check and the keys that it reads; the first one is the key it blames."""

    keys: tuple[str, ...]
    check: Callable[[Settings], list[Fault]]


def is_loopback(address: str) -> bool:
    """Tell whether an ``IP:port`` text can be reached from this machine only.

    >>> is_loopback("127.0.0.1:8101"), is_loopback("0.0.0.0:8101")
    (True, False)
    """
    return ipaddress.ip_address(parse_address(address)[0]).is_loopback


def _check_failure_domain(settings: Settings) -> list[Fault]:
    """Refuse a failure domain that is not among the operator's."""
    if settings.failure_domain in settings.failure_domains:
        return []
    allowed = "allowed is one of failure_domains"
    remedy = "correct it, or add it to failure_domains on every instance"
    return [
        Fault("failure_domain", show_value(settings.failure_domain), allowed, remedy)
    ]


def _check_failure_domains(settings: Settings) -> list[Fault]:
    """Refuse a failure domain that is listed twice."""
    domains = settings.failure_domains
    if len(set(domains)) == len(domains):
        return []
    allowed = "each failure domain may be listed once"
    return [
        Fault("failure_domains", show_value(domains), allowed, "remove the repeats")
    ]


def _check_http_listener(settings: Settings) -> list[Fault]:
    """Refuse a listener that others can reach without credentials."""
    http = settings.http
    if is_loopback(http.listen) or (settings.tokens and http.certificate):
        return []
    allowed = "without tokens and http.certificate only a loopback address is allowed"
    remedy = "set tokens, http.certificate and http.key, or listen on 127.0.0.1"
    return [Fault("http.listen", show_value(http.listen), allowed, remedy)]


def _check_peer_listener(settings: Settings) -> list[Fault]:
    """Refuse a peer listener that others can reach without certificates."""
    peer = settings.peer
    if is_loopback(peer.listen) or (peer.certificate and peer.authority):
        return []
    allowed = "without peer.certificate and peer.authority only loopback is allowed"
    remedy = "set peer.certificate, peer.key and peer.authority, or listen on 127.0.0.1"
    return [Fault("peer.listen", show_value(peer.listen), allowed, remedy)]


def _check_same_listener(settings: Settings) -> list[Fault]:
    """Refuse one address for both listeners."""
    if settings.http.listen != settings.peer.listen:
        return []
    allowed = "peer.listen and http.listen must differ"
    shown = show_value(settings.peer.listen)
    return [Fault("peer.listen", shown, allowed, "choose another port")]


def _check_http_key(settings: Settings) -> list[Fault]:
    """Refuse a certificate without its key, or a key alone."""
    return _check_pair("http", settings.http.certificate, settings.http.key)


def _check_peer_key(settings: Settings) -> list[Fault]:
    """Refuse a certificate without its key, or a key alone."""
    return _check_pair("peer", settings.peer.certificate, settings.peer.key)


def _check_pair(section: str, certificate: str, key: str) -> list[Fault]:
    """Return a fault unless certificate and key are both set or both empty."""
    if bool(certificate) == bool(key):
        return []
    allowed = f"{section}.certificate and {section}.key go together"
    return [Fault(f"{section}.key", show_value(key), allowed, "set both or neither")]


def _check_suspicion(settings: Settings) -> list[Fault]:
    """Refuse to suspect a peer after fewer than two missed heartbeats."""
    peer = settings.peer
    if peer.suspect_after_milliseconds >= 2 * peer.heartbeat_milliseconds:
        return []
    allowed = "allowed is at least twice peer.heartbeat_milliseconds"
    remedy = f"set {2 * peer.heartbeat_milliseconds} or more"
    shown = str(peer.suspect_after_milliseconds)
    return [Fault("peer.suspect_after_milliseconds", shown, allowed, remedy)]


def _check_task_lease(settings: Settings) -> list[Fault]:
    """Refuse a task lease that two lost exchanges would let lapse."""
    scheduling = settings.scheduling
    longest = max(scheduling.exchange, scheduling.idle_exchange)
    shortest = 3 * longest.total_seconds()
    if scheduling.task_lease_seconds >= shortest:
        return []
    allowed = "allowed is at least three times the longer exchange interval"
    shown = f"{scheduling.task_lease_seconds:g}"
    remedy = f"set {shortest:g} or more"
    return [Fault("scheduling.task_lease_seconds", shown, allowed, remedy)]


def _check_tokens(settings: Settings) -> list[Fault]:
    """Refuse one token with two roles."""
    seen: set[str] = set()
    found = []
    for index, token in enumerate(settings.tokens):
        if token.sha256 not in seen:
            seen.add(token.sha256)
            continue
        allowed = "each token may be listed once"
        key = f"tokens[{index}].sha256"
        found.append(Fault(key, "a repeated hash", allowed, "remove the repeat"))
    return found


RULES = (
    Rule(("failure_domain", "failure_domains"), _check_failure_domain),
    Rule(("failure_domains",), _check_failure_domains),
    Rule(("http.listen", "http.certificate", "tokens"), _check_http_listener),
    Rule(("peer.listen", "peer.certificate", "peer.authority"), _check_peer_listener),
    Rule(("peer.listen", "http.listen"), _check_same_listener),
    Rule(("http.key", "http.certificate"), _check_http_key),
    Rule(("peer.key", "peer.certificate"), _check_peer_key),
    Rule(
        ("peer.suspect_after_milliseconds", "peer.heartbeat_milliseconds"),
        _check_suspicion,
    ),
    Rule(
        (
            "scheduling.task_lease_seconds",
            "scheduling.exchange_milliseconds",
            "scheduling.idle_exchange_milliseconds",
        ),
        _check_task_lease,
    ),
    Rule(("tokens",), _check_tokens),
)
