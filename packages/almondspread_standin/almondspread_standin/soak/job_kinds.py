"""The kinds of jobs that the clients of a soak submit, drawn at random."""

import random
import time
from collections.abc import Callable
from datetime import UTC, datetime, timedelta

from attrs import define, field

from almondspread.jobs.submissions import Repetition, Step, Submission, TaskId
from almondspread.resources.capacity import Capacity

MILLISECOND = timedelta(milliseconds=1)
SHORT_TASK = 50 * MILLISECOND
# Longer than any soak: such a task ends only when it is stopped.
ENDLESS = timedelta(hours=1)
SMALL = Capacity(100, 64, 0)
# This share of the tasks of an unsteady job fail, after a time between these.
UNSTEADY_SHARE = 0.7
MIN_UNSTEADY_SECONDS, MAX_UNSTEADY_SECONDS = 1.0, 9.0
# Longer than the longest lease, so that an end cannot be mistaken for a lapse.
MIN_LONG_SECONDS, MAX_LONG_SECONDS = 6.0, 12.0
# Those with many tasks have them started in a burst.
LONG_COUNTS = (1, 2, 4, 12, 30)


@define(eq=False)
class TaskBehaviour:
    """How tasks behave on every upstream: how long they run, and which of them fail."""

    durations: dict[TaskId, timedelta] = field(factory=dict)
    failing: set[TaskId] = field(factory=set)


def draw_steps(rng: random.Random) -> tuple[Step, ...]:
    """Return up to three steps of tasks that take a second."""
    steps = []
    for number in range(rng.choice((1, 1, 2, 3))):
        steps.append(
            Step(
                rng.randint(1, 5),
                Capacity(rng.choice((500, 1_000, 2_000)), 500, 0),
                timedelta(seconds=1),
                after=(number - 1,) if number else (),
                gang=rng.random() < 0.15,
                duplicates=rng.random() < 0.2,
            )
        )
    return tuple(steps)


def draw_batch_job(name: str, queue: str, rng: random.Random) -> Submission:
    """Return a job of one or more steps."""
    return Submission(name, queue, "payload", draw_steps(rng))


def draw_scheduled_job(
    name: str, queue: str, rng: random.Random, behaviour: TaskBehaviour
) -> Submission:
    """Return a job that runs some hundred times, a few short tasks each time."""
    steps = rng.randint(1, 3)
    count = rng.randint(50, 200)
    for occurrence in range(count):
        for step in range(steps):
            behaviour.durations[TaskId(name, occurrence, step, 0)] = SHORT_TASK
    first = datetime.fromtimestamp(round(time.time() + rng.uniform(0.0, 2.0), 3), UTC)
    repetition = Repetition(first, rng.randint(20, 80) * MILLISECOND, count)
    step = Step(1, SMALL, SHORT_TASK)
    return Submission(name, queue, "payload", (step,) * steps, repetition)


def draw_lasting_job(
    name: str, queue: str, rng: random.Random, behaviour: TaskBehaviour
) -> Submission:
    """Return a job whose tasks last until it is cancelled."""
    count = rng.randint(1, 4)
    for index in range(count):
        behaviour.durations[TaskId(name, 0, 0, index)] = ENDLESS
    step = Step(count, SMALL, lasting=True, unavailable_limit=rng.randint(0, 2))
    return Submission(name, queue, "payload", (step,))


def draw_unsteady_job(
    name: str, queue: str, rng: random.Random, behaviour: TaskBehaviour
) -> Submission:
    """Return a job whose tasks last, and most of which fail after a while each time."""
    submission = draw_lasting_job(name, queue, rng, behaviour)
    for index in range(submission.steps[0].count):
        if rng.random() >= UNSTEADY_SHARE:
            continue
        task = TaskId(name, 0, 0, index)
        seconds = rng.uniform(MIN_UNSTEADY_SECONDS, MAX_UNSTEADY_SECONDS)
        behaviour.durations[task] = timedelta(seconds=seconds)
        behaviour.failing.add(task)
    return submission


def draw_failing_job(
    name: str, queue: str, rng: random.Random, behaviour: TaskBehaviour
) -> Submission:
    """Return a job of which one task fails at each attempt."""
    count = rng.randint(1, 4)
    task = TaskId(name, 0, 0, rng.randrange(count))
    behaviour.failing.add(task)
    behaviour.durations[task] = SHORT_TASK
    return Submission(name, queue, "payload", (Step(count, SMALL, SHORT_TASK),))


def draw_long_job(
    name: str, queue: str, rng: random.Random, behaviour: TaskBehaviour
) -> Submission:
    """Return a job of tasks that run for long, and only once; some have many."""
    count = rng.choice(LONG_COUNTS)
    for index in range(count):
        seconds = rng.uniform(MIN_LONG_SECONDS, MAX_LONG_SECONDS)
        behaviour.durations[TaskId(name, 0, 0, index)] = timedelta(seconds=seconds)
    step = Step(count, SMALL, timedelta(seconds=MIN_LONG_SECONDS))
    return Submission(name, queue, "payload", (step,))


DrawJob = Callable[[str, str, random.Random, TaskBehaviour], Submission]
# What clients draw from; a ``None`` stands for a job of one or more steps.
ALL_KINDS: tuple[DrawJob | None, ...] = (
    None,
    draw_scheduled_job,
    draw_lasting_job,
    draw_failing_job,
)
LASTING_KINDS: tuple[DrawJob | None, ...] = (
    None,
    None,
    draw_lasting_job,
    draw_unsteady_job,
)
RESTART_KINDS = (*ALL_KINDS, *(draw_long_job,) * 4)
