"""Choice of the upstreams that a step asks the advice service about.

The service takes time for each upstream that a request names, and this time is part of
the wait of the step's first task. A step therefore names only as many upstreams as it
is likely to need, beginning with those that have room.
"""

from attrs import define

from almondspread.jobs.progress import StepProgress
from almondspread.jobs.upstreams import Upstream

MAX_UPSTREAMS_PER_REQUEST = 64
# Other steps may take the room while the service decides, so more is asked for than
# the waiting tasks need.
EXCESS_FACTOR = 2.0
# A rejected request costs more time than a few further names.
MIN_UPSTREAMS_PER_REQUEST = 16


@define(frozen=True)
class AskableUpstream:
    """An upstream that a request may name, and how many tasks it has room for now."""

    upstream: Upstream
    room: int


def list_askable(
    progress: StepProgress, suitable: list[Upstream]
) -> list[AskableUpstream]:
    """Return the upstreams that a request for permits of a step may name.

    These are the ones that could run a task of the step if they were idle, but those
    that the service has denied.
    """
    step = progress.step
    found = []
    for upstream in suitable:
        if upstream.name in progress.permits.denied:
            continue
        if not step.claim.fits_in(upstream.entry.capacity):
            continue
        if not upstream.has_label(step.required_label):
            continue
        found.append(AskableUpstream(upstream, count_room(progress, upstream)))
    return found


def count_room(progress: StepProgress, upstream: Upstream) -> int:
    """Return how many of a step's waiting tasks an upstream has room for now."""
    step = progress.step
    room = min(len(progress.waiting), step.claim.count_in(upstream.free))
    if step.spread_limit:
        room = min(room, step.spread_limit - upstream.count_step(progress.key))
    return max(room, 0)


def choose_asked(
    progress: StepProgress, askable: list[AskableUpstream], allowed_share: float
) -> tuple[str, ...]:
    """Return the names of the upstreams that a request should name.

    Upstreams that are known to be allowed come first, then those with the most room.
    ``allowed_share`` is the share of the others that the service is likely to allow.
    """
    allowed = progress.permits.allowed

    def rank(candidate: AskableUpstream) -> tuple[bool, bool, int]:
        upstream = candidate.upstream
        return (
            upstream.name not in allowed,
            not candidate.room,
            -upstream.free.cpu_millis,
        )

    names: list[str] = []
    expected = 0.0
    needed = EXCESS_FACTOR * len(progress.waiting)
    for candidate in sorted(askable, key=rank)[:MAX_UPSTREAMS_PER_REQUEST]:
        if expected >= needed and len(names) >= MIN_UPSTREAMS_PER_REQUEST:
            break
        name = candidate.upstream.name
        names.append(name)
        expected += candidate.room * (1.0 if name in allowed else allowed_share)
    return tuple(names)
