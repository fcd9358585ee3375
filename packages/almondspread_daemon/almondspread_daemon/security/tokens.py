"""Bearer tokens, known by their SHA-256 only."""

import hashlib
import hmac

from almondspread_daemon.security.access import NOBODY, UNGUARDED, Identity
from almondspread_daemon.settings import Token

SCHEME = "bearer"
SHOWN_DIGITS = 8


class TokenTable:
    """The tokens in force. Without any, every request counts as an administrator's.

    Settings allow that on loopback listeners only.
    """

    def __init__(self, tokens: tuple[Token, ...]) -> None:
        self._tokens = tokens

    @property
    def is_guarded(self) -> bool:
        """Whether requests need a token."""
        return bool(self._tokens)

    def replace(self, tokens: tuple[Token, ...]) -> bool:
        """Put other tokens in force; return whether they differ from the former."""
        changed = tokens != self._tokens
        self._tokens = tokens
        return changed

    def identify(self, header: str) -> Identity:
        """Return who an ``Authorization`` header stands for."""
        if not self._tokens:
            return UNGUARDED
        scheme, _, value = header.partition(" ")
        if scheme.lower() != SCHEME:
            return NOBODY
        digest = hashlib.sha256(value.strip().encode()).hexdigest()
        found = NOBODY
        # Every token is compared, so that the time taken tells nothing of the match.
        for token in self._tokens:
            if hmac.compare_digest(token.sha256, digest):
                found = _describe(token)
        return found


def _describe(token: Token) -> Identity:
    """Return the identity of a token."""
    name = f"{token.role}:{token.sha256[:SHOWN_DIGITS]}"
    return Identity(token.role, token.team, name)
