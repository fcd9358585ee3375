"""Admission and choice of minions in their plainest form, for comparison."""

from datetime import timedelta

from almondspread.requests.kinds import LOOKUP, SERVING_ORDER, SHEDDING_ORDER
from almondspread.requests.queues import OTHER_KINDS_INTERVAL, QueuedRequest
from almondspread.requests.slots import MinionSlots


class NaiveQueue:
    """One list of waiting requests, searched from end to end each time."""

    def __init__(self, bounds: dict[str, int]) -> None:
        self._bounds = bounds
        self._waiting: list[QueuedRequest] = []
        self._turn = 0

    def list_kind(self, kind: str) -> list[QueuedRequest]:
        """Return the requests of a kind, the earliest deadline first."""
        found = [waiting for waiting in self._waiting if waiting.kind == kind]
        return sorted(found, key=lambda waiting: waiting.deadline)

    def push(self, waiting: QueuedRequest) -> bool:
        """Let a request wait if its bounds allow, perhaps in place of another."""
        if len(self.list_kind(waiting.kind)) >= self._bounds.get(waiting.kind, 0):
            return False
        calls = [self._bounds[kind] for kind in self._bounds if kind != LOOKUP]
        common = self._bounds.get(LOOKUP, 0) + max(calls, default=0)
        if len(self._waiting) >= common:
            place = SHEDDING_ORDER.index(waiting.kind)
            lower = [w for k in SHEDDING_ORDER[:place] for w in self.list_kind(k)]
            if not lower:
                return False
            first = [w for w in lower if w.kind == lower[0].kind]
            first[-1].shed = True
            self._waiting.remove(first[-1])
        self._waiting.append(waiting)
        return True

    def pop(self, kinds: list[str]) -> QueuedRequest | None:
        """Take out the request that is to be served next."""
        present = [kind for kind in SERVING_ORDER if kind in kinds]
        present = [kind for kind in present if self.list_kind(kind)]
        if not present:
            return None
        chosen = present[0]
        if chosen == LOOKUP and len(present) > 1:
            self._turn += 1
            if self._turn % OTHER_KINDS_INTERVAL == 0:
                chosen = present[1]
        popped = self.list_kind(chosen)[0]
        self._waiting.remove(popped)
        return popped


def choose_naively(
    minions: list[MinionSlots], kind: str, now: timedelta
) -> MinionSlots | None:
    """Return the minion with the lowest product of load and latency."""
    usable = []
    for minion in minions:
        held = minion.shard.count_held(minion, now)
        fits = minion.in_flight + held + 1 <= minion.slots
        if kind != LOOKUP:
            fits = fits and minion.calls_in_flight + held + 1 <= minion.call_slots
        owned = not minion.shard.released and now < minion.shard.may_send_until
        if fits and owned and minion.listed and not minion.leaving:
            usable.append(minion)
    if not usable:
        return None
    return min(
        usable,
        key=lambda minion: (
            (minion.in_flight + 1) * minion.health.estimate_latency_seconds(kind)
        ),
    )
