"""The schedule of heartbeats to each other instance.

Instances of the same failure domain take over each other's shards, so they send each
other heartbeats often. Instances of different failure domains only route requests to
each other and report revisions; they send heartbeats less often, but at once after a
change. A full heartbeat is sent after a change, and as every sixteenth message on a
link. In between, a short pulse confirms that the latest full heartbeat is valid.
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
    """The heartbeat state of one link.

    ``due`` is the monotonic time of the next heartbeat or pulse, ``last_heartbeat`` is
    the latest full heartbeat sent, and ``beats_since_full`` counts what was sent since.
    """

    due: timedelta = timedelta(0)
    last_heartbeat: Heartbeat | None = None
    beats_since_full: int = 0


class HeartbeatSchedule:
    """Decides for each link whether a full heartbeat, a pulse or nothing is sent.

    ``interval`` is that within the failure domain; ``is_same_domain`` tells whether an
    address may belong to that domain.
    """

    def __init__(
        self,
        clock: Clock,
        interval: timedelta,
        compose_heartbeat: Callable[[], Heartbeat],
        is_same_domain: Callable[[str], bool],
    ) -> None:
        self._clock = clock
        self._interval = interval
        self._compose_heartbeat = compose_heartbeat
        self._is_same_domain = is_same_domain
        self._link_states: dict[str, LinkBeats] = {}

    def compose_due(self, addresses: list[str]) -> dict[str, Heartbeat | Pulse]:
        """Return the message for each address to which one is due, and record it."""
        current = self._compose_heartbeat()
        now = self._clock.monotonic()
        messages: dict[str, Heartbeat | Pulse] = {}
        for address in addresses:
            state = self._link_states.setdefault(address, LinkBeats())
            if state.last_heartbeat is not None and not _has_changed(
                state.last_heartbeat, current
            ):
                if now < state.due:
                    continue
            messages[address] = self._compose_beat(state, address, current, now)
        return messages

    def reset(self, address: str) -> None:
        """Make the next message to an address a full heartbeat.

        Called for a new stream, whose peer may not know the latest heartbeat.
        """
        self._link_states.pop(address, None)

    def _compose_beat(
        self, state: LinkBeats, address: str, current: Heartbeat, now: timedelta
    ) -> Heartbeat | Pulse:
        """Return the next message for a link, and update the state of the link."""
        is_same_domain = self._is_same_domain(address)
        interval = (
            self._interval
            if is_same_domain
            else self._interval * REMOTE_INTERVAL_FACTOR
        )
        state.due = now + interval
        state.beats_since_full += 1
        seconds = interval.total_seconds()
        last = state.last_heartbeat
        if (
            last is None
            or _has_changed(last, current)
            or state.beats_since_full >= BEATS_PER_FULL_HEARTBEAT
        ):
            state.last_heartbeat = current
            state.beats_since_full = 0
            return evolve(current, interval=seconds)
        return Pulse(current.name, current.incarnation, current.revision, seconds)


def _has_changed(last: Heartbeat, current: Heartbeat) -> bool:
    """Tell whether two heartbeats differ in more than their revisions."""
    return evolve(last, revision=current.revision) != current
