"""The relative speed of upstreams, learnt from the runs that have ended there.

Upstreams of one kind, which is the labels before the rack, are alike: their speed is
steady, and many runs tell it. A single upstream may be slow for some seconds, which
only its own newest runs tell. The tasks of one step have like durations, so that their
runs on different upstreams compare the upstreams. A step with too few runs is compared
with the newest runs of its queue, of which many more are needed, since estimates err.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable
from datetime import timedelta
from math import exp, log, sqrt
from statistics import median

from attrs import define, field

from almondspread.jobs.durations import MIN_ESTIMATE
from almondspread.jobs.step_progress import StepProgress
from almondspread.jobs.upstreams import Upstream
from almondspread.resources.capacity import Capacity

REFERENCE_SPEED = 1.0
# The real speeds in a cell lie well within this range.
MIN_SPEED = 0.4
MAX_SPEED = 2.5
# A single upstream may be slow beyond what kinds differ by.
MIN_SINGLE_SPEED = 0.1
MIN_KIND_SAMPLES = 24
MAX_KIND_SAMPLES = 256
# Of three samples, two often lie in the long tail of the same job.
MIN_SINGLE_SAMPLES = 4
MAX_SINGLE_SAMPLES = 6
# A slow upstream ends less than one run a second.
MAX_SINGLE_AGE = timedelta(seconds=12)
# A slow upstream may be given no more runs that would show its recovery.
MAX_SINGLE_SILENCE = timedelta(seconds=6)
# Smaller differences matter less than how tightly a task fits.
MIN_KIND_DIFFERENCE = log(1.1)
MIN_SINGLE_DIFFERENCE = log(2.0)
# A difference counts from this many standard errors on.
CLEAR_ERRORS = 3.0
# The standard deviation of normal noise is this multiple of the median deviation, and
# the error of a median this multiple of the error of a mean.
DEVIATIONS_PER_MEDIAN = 1.48
MEDIAN_ERROR = 1.25
# Spread that is assumed at least: a few equal samples are no proof.
MIN_SPREAD = 0.1
MIN_QUEUE_RUNS = 8
MIN_QUEUE_RUNS_OF_KIND = 3
MAX_QUEUE_RUNS = 40
MIN_STEP_RUNS = 3
# A step with more runs is compared in parts, which costs little accuracy.
MAX_STEP_RUNS = 128
MAX_OPEN_STEPS = 512
MAX_QUEUES = 256
# Labels that tell single upstreams apart say nothing about kinds.
MAX_KINDS = 64
# A refresh over 350 upstreams takes over a millisecond, and changes last for seconds.
REFRESH_INTERVAL = timedelta(milliseconds=300)


@define(frozen=True)
class Kind:
    """The service of an upstream and its labels before the rack label.

    >>> str(Kind("render", ("large", "new")))
    'render/large/new'
    """

    service: str
    labels: tuple[str, ...]

    def __str__(self) -> str:
        return "/".join((self.service, *self.labels))


@define(frozen=True)
class KindSpeed:
    """The speed in use for a kind, with the number of runs that tell it."""

    kind: Kind
    speed: float
    samples: int


@define(frozen=True)
class _EndedRun:
    """The logarithm of the ratio of a run's duration to its estimate."""

    upstream: str
    kind: Kind
    log_ratio: float


@define(eq=False)
class _KindSamples:
    """By how much steps were faster on a kind than elsewhere, as logarithms.

    ``gain`` is their median, relative to all kinds of the service. ``residuals`` tell
    how much single runs differ from what the kind lets expect, and ``spread`` is the
    standard deviation of these. ``speed`` is what decisions use.
    """

    samples: deque[float] = field(factory=lambda: deque(maxlen=MAX_KIND_SAMPLES))
    residuals: deque[float] = field(factory=lambda: deque(maxlen=MAX_KIND_SAMPLES))
    gain: float = 0.0
    spread: float = MIN_SPREAD
    speed: float = REFERENCE_SPEED


@define(eq=False)
class _SingleSamples:
    """By how much the newest runs of one upstream were faster than its kind."""

    kind: Kind
    samples: deque[tuple[timedelta, float]] = field(
        factory=lambda: deque(maxlen=MAX_SINGLE_SAMPLES)
    )
    factor: float = 1.0

    def update(self, known: _KindSamples, now: timedelta) -> None:
        """Set the factor from the samples that are new enough."""
        if self.samples and now - self.samples[-1][0] > MAX_SINGLE_SILENCE:
            self.samples.clear()
        while self.samples and now - self.samples[0][0] > MAX_SINGLE_AGE:
            self.samples.popleft()
        self.factor = 1.0
        is_known = len(known.residuals) >= MIN_KIND_SAMPLES
        if len(self.samples) < MIN_SINGLE_SAMPLES or not is_known:
            return
        values = sorted(value for _, value in self.samples)
        middles = (values[(len(values) - 1) // 2], values[len(values) // 2])
        # Between two middle samples, that which differs less counts.
        middle = min(middles, key=abs)
        error = MEDIAN_ERROR * known.spread / sqrt(len(self.samples))
        if abs(middle) >= max(MIN_SINGLE_DIFFERENCE, CLEAR_ERRORS * error):
            self.factor = exp(middle)


def find_kind(upstream: Upstream) -> Kind:
    """Return the kind of an upstream."""
    return Kind(upstream.entry.service, upstream.entry.labels[:-1])


@define(eq=False)
class UpstreamSpeeds:
    """The speeds of kinds and of single upstreams, where 1.0 is that of the service.

    ``slowness`` ranks the upstreams whose speed in use is not 1.0 by name: lower ones
    are clearly faster, and 0 is the rank of all others. Samples of single upstreams
    are kept by name, which another incarnation does not share.
    """

    slowness: dict[str, int] = field(factory=dict)
    _kinds: dict[Kind, _KindSamples] = field(factory=dict)
    _singles: dict[str, _SingleSamples] = field(factory=dict)
    _steps: OrderedDict[tuple[str, int, int], list[_EndedRun]] = field(
        factory=OrderedDict
    )
    _queues: OrderedDict[str, deque[_EndedRun]] = field(factory=OrderedDict)
    _changed: set[Kind] = field(factory=set)
    _speeds: dict[str, float] = field(factory=dict)
    _kind_speeds: dict[str, float] = field(factory=dict)
    _refreshed_at: timedelta = timedelta(0)

    def find_speed(self, upstream: Upstream) -> float:
        """Return the speed of an upstream, with what only its own runs tell."""
        return self._speeds.get(upstream.name, REFERENCE_SPEED)

    def find_kind_speed(self, upstream: Upstream) -> float:
        """Return the speed of the kind of an upstream."""
        return self._kind_speeds.get(upstream.name, REFERENCE_SPEED)

    def list_kinds(self) -> list[KindSpeed]:
        """Return the kinds with enough samples, those with the most samples first."""
        found = []
        for kind, known in self._kinds.items():
            if len(known.samples) >= MIN_KIND_SAMPLES:
                found.append(KindSpeed(kind, known.speed, len(known.samples)))
        found.sort(key=lambda each: (-each.samples, each.kind.labels))
        return found

    def record(
        self,
        progress: StepProgress,
        upstream: Upstream,
        duration: timedelta,
        now: timedelta,
    ) -> None:
        """Record a run that has done the whole work of its task.

        Members of a gang end together, and runs far from their data are slow for that:
        both tell nothing about the upstream.
        """
        step = progress.step
        kind = find_kind(upstream)
        if kind not in self._kinds and len(self._kinds) >= MAX_KINDS:
            return
        is_remote = bool(step.preferred_rack) and step.preferred_rack != upstream.rack
        if step.gang or is_remote or duration <= timedelta(0):
            return
        ratio = duration / max(step.estimate, MIN_ESTIMATE)
        ended = _EndedRun(upstream.name, kind, log(ratio))
        runs = self._steps.setdefault(progress.key, [])
        runs.append(ended)
        if len(runs) >= MAX_STEP_RUNS:
            self.close_step(progress, now)
        elif len(self._steps) > MAX_OPEN_STEPS:
            # Its job has ended early, or takes longer than its runs tell anything.
            self._steps.popitem(last=False)

    def close_step(self, progress: StepProgress, now: timedelta) -> None:
        """Compare the runs of a step that is complete.

        Before that, those that have ended are the short ones.
        """
        runs = self._steps.pop(progress.key, None)
        if not runs:
            return
        recent = self._find_recent(progress.job.submission.queue)
        self._compare_kinds(runs, recent)
        comparable = self._list_comparable(runs)
        upstreams = {run.upstream: run for run in comparable}
        if len(comparable) >= MIN_STEP_RUNS and len(upstreams) > 1:
            self._compare_upstreams(comparable, comparable, now)
        else:
            others = self._list_comparable(recent)
            if len(others) >= MIN_QUEUE_RUNS:
                # Runs of one step on one upstream err alike, and count once.
                self._compare_upstreams(list(upstreams.values()), others, now)
        recent.extend(runs)

    def _list_comparable(self, runs: Iterable[_EndedRun]) -> list[_EndedRun]:
        """Return the runs of one kind, or those of the kinds whose speed is known.

        As long as it is not known, a difference of kinds looks like one of upstreams.
        """
        runs = list(runs)
        if len({run.kind for run in runs}) < 2:
            return runs
        found = []
        for run in runs:
            known = self._kinds.get(run.kind)
            if known is not None and len(known.samples) >= MIN_KIND_SAMPLES:
                found.append(run)
        return found

    def _find_recent(self, queue: str) -> deque[_EndedRun]:
        """Return the newest runs of a queue; those of the queues in use are kept."""
        recent = self._queues.setdefault(queue, deque(maxlen=MAX_QUEUE_RUNS))
        self._queues.move_to_end(queue)
        if len(self._queues) > MAX_QUEUES:
            self._queues.popitem(last=False)
        return recent

    def _compare_kinds(self, runs: list[_EndedRun], recent: deque[_EndedRun]) -> None:
        """Add one sample for each kind that has run tasks of a step.

        All kinds in the comparison count alike: the most frequent one is not the
        measure of the others. Runs of a single kind tell nothing of it.
        """
        medians = _find_medians(runs, 1)
        others = medians
        if len(medians) < 2:
            others = _find_medians(recent, MIN_QUEUE_RUNS_OF_KIND)
        if len(others) < 2:
            return
        work = sum(middle + self._find_gain(kind) for kind, middle in others.items())
        for kind, middle in medians.items():
            known = self._kinds.setdefault(kind, _KindSamples())
            known.samples.append(work / len(others) - middle)
            self._changed.add(kind)

    def _compare_upstreams(
        self, runs: list[_EndedRun], others: Iterable[_EndedRun], now: timedelta
    ) -> None:
        """Add samples of single upstreams, by what ``others`` take on their kinds."""
        work = median([each.log_ratio + self._find_gain(each.kind) for each in others])
        for run in runs:
            kind = self._kinds.setdefault(run.kind, _KindSamples())
            faster = work - run.log_ratio - kind.gain
            kind.residuals.append(faster)
            self._changed.add(run.kind)
            single = self._singles.get(run.upstream)
            if single is None or single.kind != run.kind:
                single = self._singles[run.upstream] = _SingleSamples(run.kind)
            single.samples.append((now, faster))
            single.update(kind, now)

    def _find_gain(self, kind: Kind) -> float:
        """Return by how much a kind is faster, as a logarithm; 0 if it is unknown."""
        return self._kinds[kind].gain if kind in self._kinds else 0.0

    def refresh(self, upstreams: Iterable[Upstream], now: timedelta) -> None:
        """Update the speeds in use, at most once per ``REFRESH_INTERVAL``."""
        if now - self._refreshed_at < REFRESH_INTERVAL:
            return
        self._refreshed_at = now
        for service in {kind.service for kind in self._changed}:
            self._refresh_service(service)
        self._changed.clear()
        for name, single in list(self._singles.items()):
            age = now - single.samples[0][0]
            silence = now - single.samples[-1][0]
            if age <= MAX_SINGLE_AGE and silence <= MAX_SINGLE_SILENCE:
                continue
            single.update(self._kinds[single.kind], now)
            if not single.samples:
                del self._singles[name]
        self._refresh_upstreams(upstreams)

    def _refresh_upstreams(self, upstreams: Iterable[Upstream]) -> None:
        """Update the speed in use of each upstream.

        One that was registered again as another kind has no samples as that kind.
        """
        self._speeds.clear()
        self._kind_speeds.clear()
        self.slowness.clear()
        differ = any(each.speed != REFERENCE_SPEED for each in self._kinds.values())
        if not differ and all(each.factor == 1.0 for each in self._singles.values()):
            return
        for upstream in upstreams:
            kind = find_kind(upstream)
            known = self._kinds.get(kind)
            if known is None:
                continue
            speed = known.speed
            single = self._singles.get(upstream.name)
            if speed != REFERENCE_SPEED:
                self._kind_speeds[upstream.name] = speed
            if single is not None and single.kind == kind:
                speed = min(max(speed * single.factor, MIN_SINGLE_SPEED), MAX_SPEED)
            if speed != REFERENCE_SPEED:
                self._speeds[upstream.name] = speed
                rank = -round(log(speed) / MIN_KIND_DIFFERENCE)
                self.slowness[upstream.name] = rank

    def _refresh_service(self, service: str) -> None:
        """Update the speeds of the kinds of one service, relative to their mean."""
        known = []
        for kind, each in self._kinds.items():
            if kind.service != service:
                continue
            if each.residuals:
                each.spread = _measure_spread(each.residuals, median(each.residuals))
            if len(each.samples) >= MIN_KIND_SAMPLES:
                known.append(each)
        medians = [median(each.samples) for each in known]
        weights = [len(each.samples) for each in known]
        total = sum(weights)
        if not total:
            return
        pairs = zip(medians, weights, strict=True)
        mean = sum(middle * weight for middle, weight in pairs) / total
        for each, middle in zip(known, medians, strict=True):
            each.gain = middle - mean
            spread = _measure_spread(each.samples, middle)
            error = MEDIAN_ERROR * spread / sqrt(len(each.samples))
            each.speed = REFERENCE_SPEED
            if abs(each.gain) >= max(MIN_KIND_DIFFERENCE, CLEAR_ERRORS * error):
                each.speed = min(max(exp(each.gain), MIN_SPEED), MAX_SPEED)


def _find_medians(runs: Iterable[_EndedRun], least: int) -> dict[Kind, float]:
    """Return the median of each kind that has at least that many of the runs."""
    values: dict[Kind, list[float]] = {}
    for run in runs:
        values.setdefault(run.kind, []).append(run.log_ratio)
    return {kind: median(row) for kind, row in values.items() if len(row) >= least}


def _measure_spread(samples: Iterable[float], middle: float) -> float:
    """Return the standard deviation of samples, which ignores a few far ones."""
    deviation = median([abs(sample - middle) for sample in samples])
    return max(DEVIATIONS_PER_MEDIAN * deviation, MIN_SPREAD)


def sum_effective_capacity(
    upstreams: Iterable[Upstream], speeds: UpstreamSpeeds
) -> Capacity:
    """Return the capacity of upstreams, each in units of the reference speed.

    Work that is measured at the reference speed, as ``DurationRatios`` has it, takes
    this capacity for its duration.
    """
    total = Capacity(0, 0, 0)
    for upstream in upstreams:
        whole = upstream.entry.capacity
        speed = speeds.find_speed(upstream)
        if speed != REFERENCE_SPEED:
            whole = Capacity(
                int(whole.cpu_millis * speed),
                int(whole.memory_mib * speed),
                int(whole.accelerators * speed),
            )
        total = total.plus(whole)
    return total
