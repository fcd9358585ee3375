"""The kinds of request, and the order in which they are served and shed."""

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
    """Return how long after its deadline a request may still occupy a slot.

    The connection stays open that long, so that a late answer is still received;
    then it is closed, and the minion counts as done with the request.
    """
    return LOOKUP_GRACE_PERIOD if kind == LOOKUP else CALL_GRACE_PERIOD
