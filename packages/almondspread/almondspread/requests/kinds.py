"""Kinds of requests, and the order in which they are served and shed."""

from datetime import timedelta

LOOKUP = "lookup"
RESERVATION = "reservation"
RECALCULATION = "recalculation"
MONITOR = "monitor"

SERVING_ORDER = (LOOKUP, RESERVATION, RECALCULATION, MONITOR)
SHEDDING_ORDER = tuple(reversed(SERVING_ORDER))
KEYED_KINDS = (RECALCULATION, RESERVATION)

LOOKUP_GRACE_PERIOD = timedelta(seconds=2)
CALL_GRACE_PERIOD = timedelta(seconds=30)


def get_grace_period(kind: str) -> timedelta:
    """Return how long after its deadline a request of a kind may occupy a slot.

    During this time the connection stays open, so that a late response is still
    received. Then the connection is closed and the slot counts as free.
    """
    return LOOKUP_GRACE_PERIOD if kind == LOOKUP else CALL_GRACE_PERIOD
