"""What goes out as heartbeats, and how often to whom.

Instances of the same failure domain take over each other's shards, so they hear of one
another often. Instances elsewhere only route to each other and report revisions, and
hear less often, but at once of every change. A whole heartbeat goes out where there is
something new; in between a short pulse says that it still holds.
"""

from collections.abc import Callable
from datetime import timedelta

from attrs import define, evolve

from almondspread.clock import Clock
from almondspread_daemon.peers.messages import Heartbeat, Pulse

REMOTE_INTERVAL_FACTOR = 8
BEATS_PER_FULL_HEARTBEAT = 16


@define
class LinkBeats:
    """How a link stands: when its next beat is due, and what was told last."""

    due: timedelta = timedelta(0)
    last_heartbeat: Heartbeat | None = None
    beats_since_full: int = 0


class HeartbeatSchedule:
    """Decides for each link which beat it gets now, if any."""

    def __init__(
        self,
        clock: Clock,
        interval: timedelta,
        compose: Callable[[], Heartbeat],
        is_near: Callable[[str], bool],
    ) -> None:
        self._clock = clock
        self._interval = interval
        self._compose_heartbeat = compose
        self._is_same_domain = is_near
        self._link_states: dict[str, LinkBeats] = {}

    def compose_due(self, addresses: list[str]) -> dict[str, Heartbeat | Pulse]:
        """Return the beat for each address that gets one now."""
        current = self._compose_heartbeat()
        now = self._clock.monotonic()
        chosen: dict[str, Heartbeat | Pulse] = {}
        for address in addresses:
            beat = self._link_states.setdefault(address, LinkBeats())
            if beat.last_heartbeat is not None and not _has_changed(
                beat.last_heartbeat, current
            ):
                if now < beat.due:
                    continue
            chosen[address] = self._compose_beat(beat, address, current, now)
        return chosen

    def reset(self, address: str) -> None:
        """Have an address get a whole heartbeat next, as its stream is new."""
        self._link_states.pop(address, None)

    def _compose_beat(
        self, beat: LinkBeats, address: str, current: Heartbeat, now: timedelta
    ) -> Heartbeat | Pulse:
        """Return the next beat of one link and note it."""
        near = self._is_same_domain(address)
        interval = self._interval if near else self._interval * REMOTE_INTERVAL_FACTOR
        beat.due = now + interval
        beat.beats_since_full += 1
        seconds = interval.total_seconds()
        told = beat.last_heartbeat
        if (
            told is None
            or _has_changed(told, current)
            or beat.beats_since_full >= BEATS_PER_FULL_HEARTBEAT
        ):
            beat.last_heartbeat = current
            beat.beats_since_full = 0
            return evolve(current, interval=seconds)
        return Pulse(current.name, current.incarnation, current.revision, seconds)


def _has_changed(told: Heartbeat, current: Heartbeat) -> bool:
    """Tell whether a heartbeat says more than another revision."""
    return evolve(told, revision=current.revision) != current
