"""What the advice service has told about the upstreams that may run a step."""

from collections.abc import Iterable
from datetime import timedelta

from attrs import define, field

# The service has answered by then, or the request is lost.
REQUEST_TIMEOUT = timedelta(seconds=4)
# A request that the service rejects is repeated after this delay.
RETRY_DELAY = timedelta(milliseconds=200)
# Requests for further upstreams follow each other at this interval at the least.
NEXT_REQUEST_DELAY = timedelta(milliseconds=300)
# Whether a request has become useful is looked at again after this delay.
REVIEW_DELAY = timedelta(milliseconds=50)
# A ticket must still be valid when the start call that carries it arrives.
TICKET_MARGIN = timedelta(milliseconds=200)
# A queue of which nothing is known is expected to be allowed on every second upstream.
PRIOR_ALLOWED, PRIOR_ASKED = 4, 8


@define(frozen=True)
class Ticket:
    """A permit to start a step's tasks on one upstream, usable until ``expires``."""

    text: str
    expires: timedelta


@define(eq=False)
class StepPermits:
    """The answers of the advice service on one step.

    Which upstreams may run a step does not change, but each ticket expires. So an
    upstream is asked about once, and again only for another ticket. ``allowed`` and
    ``denied`` hold the upstreams that the service has decided on, and ``requested``
    the names in the pending request.

    >>> second = timedelta(seconds=1)
    >>> permits = StepPermits()
    >>> permits.record_request(("u1", "u2"), second)
    >>> permits.may_ask(2 * second)
    False
    >>> permits.record_answer({"u1": "abc"}, 2 * second, 2 * second)
    >>> permits.find_ticket("u1", 3 * second), permits.denied
    ('abc', {'u2'})
    >>> permits.find_ticket("u1", 4 * second) is None
    True
    """

    allowed: set[str] = field(factory=set)
    denied: set[str] = field(factory=set)
    _tickets: dict[str, Ticket] = field(factory=dict)
    requested: tuple[str, ...] = ()
    _next_request: timedelta = timedelta(0)

    @property
    def is_unknown(self) -> bool:
        """Whether the service has decided on no upstream yet."""
        return not self.allowed and not self.denied

    def find_ticket(self, upstream: str, now: timedelta) -> str | None:
        """Return the valid ticket for an upstream, if there is one."""
        ticket = self._tickets.get(upstream)
        if ticket is None or ticket.expires <= now:
            return None
        return ticket.text

    def list_usable(self, now: timedelta) -> list[str]:
        """Return the names of the upstreams with a valid ticket."""
        return [name for name, ticket in self._tickets.items() if ticket.expires > now]

    def has_ticket(self, now: timedelta) -> bool:
        """Return whether any ticket is valid."""
        return any(ticket.expires > now for ticket in self._tickets.values())

    def may_ask(self, now: timedelta) -> bool:
        """Return whether no request is pending and the last is not too recent."""
        return now >= self._next_request

    def postpone(self, now: timedelta) -> None:
        """Put off the next request, since its answer could not be used now."""
        self._next_request = now + REVIEW_DELAY

    def record_request(self, names: tuple[str, ...], now: timedelta) -> None:
        """Record that the service is being asked about some upstreams."""
        self.requested = names
        self._next_request = now + REQUEST_TIMEOUT

    def record_answer(
        self, tickets: dict[str, str] | None, validity: timedelta, now: timedelta
    ) -> None:
        """Record the answer to the last request, ``None`` for one that failed.

        An answer after the request has timed out only adds tickets, since another
        request may be pending.
        """
        asked, self.requested = self.requested, ()
        self._next_request = now + NEXT_REQUEST_DELAY
        if tickets is None:
            self._next_request = now + RETRY_DELAY
            return
        self.allowed.update(tickets)
        self.denied.update(name for name in asked if name not in self.allowed)
        self.denied.difference_update(tickets)
        expires = now + validity - TICKET_MARGIN
        for name, text in tickets.items():
            self._tickets[name] = Ticket(text, expires)

    def discard_tickets(self) -> None:
        """Forget all tickets, after an upstream has rejected one."""
        self._tickets.clear()
        self._next_request = timedelta(0)


@define(eq=False)
class AllowedShares:
    """The share of the upstreams asked about that the service allows, by queue.

    >>> shares = AllowedShares()
    >>> shares.find("queue")
    0.5
    >>> shares.record("queue", ("u1", "u2"), [])
    >>> shares.find("queue")
    0.4
    """

    _counts: dict[str, tuple[int, int]] = field(factory=dict)

    def record(self, queue: str, asked: Iterable[str], allowed: Iterable[str]) -> None:
        """Record the answer to one request."""
        known_allowed, known_asked = self._counts.get(queue, (0, 0))
        self._counts[queue] = (
            known_allowed + len(list(allowed)),
            known_asked + len(list(asked)),
        )

    def find(self, queue: str) -> float:
        """Return the share that is allowed of what a queue's steps ask about."""
        allowed, asked = self._counts.get(queue, (0, 0))
        return (allowed + PRIOR_ALLOWED) / (asked + PRIOR_ASKED)
