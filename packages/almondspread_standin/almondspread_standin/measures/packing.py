"""Measures packing and waiting times of a day's arrivals, beside first fit."""

from typing import Any

import click
from attrs import evolve

from almondspread.resources.capacity import Capacity
from almondspread_standin.measures.days import PLANS, DayJob, list_jobs
from almondspread_standin.measures.replay import DayReplay, DayReport
from almondspread_standin.measures.results import find_quantile, print_result
from almondspread_standin.measures.schedulers import (
    DayScheduler,
    FirstFitScheduler,
    PolicyScheduler,
    fill_cell,
)


def run_day(
    scheduler: DayScheduler, total: Capacity, jobs: list[DayJob]
) -> dict[str, Any]:
    """Return the figures of one replay."""
    return describe_report(DayReplay(scheduler, total, jobs).run())


def describe_report(report: DayReport) -> dict[str, Any]:
    """Return the figures of a report."""
    median = {}
    tail = {}
    mean = {}
    for label, waits in sorted(report.waits.items()):
        median[label] = round(find_quantile(waits, 0.5), 2)
        tail[label] = round(find_quantile(waits, 0.99), 2)
        mean[label] = round(sum(waits) / len(waits), 2)
    return {
        "packing": round(report.committed / report.possible, 4),
        "wait_p50_s": median,
        "wait_p99_s": tail,
        "wait_mean_s": mean,
        "urgent_start_p99_s": round(find_quantile(report.urgent_at_full, 0.99), 2),
        "urgent_at_full": len(report.urgent_at_full),
        "preempted": report.preempted,
        "lost_core_seconds": round(report.lost_core_seconds),
        "unstarted": report.unstarted,
        "overcommitted": report.overcommitted,
    }


@click.command("packing")
@click.option("--deployment", type=click.Choice(sorted(PLANS)), required=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--load", type=float, help="Work of the day as a part of the cell.")
def measure_packing(deployment: str, seed: int, load: float | None) -> None:
    """Replay a day of arrivals through the decision code and through first fit."""
    plan = PLANS[deployment]
    if load is not None:
        plan = evolve(plan, load=load)
    jobs = list_jobs(plan, seed)
    _, total = fill_cell(plan)
    result: dict[str, Any] = {
        "measure": "packing",
        "deployment": deployment,
        "seed": seed,
        "jobs": len(jobs),
        "tasks": sum(len(job.runs) for job in jobs),
    }
    result.update(run_day(PolicyScheduler(plan), total, jobs))
    baselines = {
        "baseline": FirstFitScheduler(plan, skips=False),
        "baseline_skipping": FirstFitScheduler(plan, skips=True),
    }
    for prefix, scheduler in baselines.items():
        for name, value in run_day(scheduler, total, jobs).items():
            result[f"{prefix}_{name}"] = value
    print_result(result)
