"""Deployments of any size, for measurements."""

from almondspread.resources import Capacity
from almondspread_standin.deployment.layout import (
    Deployment,
    Entry,
    FailureDomain,
    MinionGroup,
    Rack,
)

WORKERS_PER_RACK = 8
WORKER_CAPACITY = Capacity(16_000, 32_768, 0)
ACCELERATOR_CAPACITY = Capacity(16_000, 32_768, 4)


def make_deployment(
    *,
    failure_domains: int,
    workers: int,
    entries: int,
    minions: int = 0,
    accelerator_racks: int = 0,
) -> Deployment:
    """Return a deployment of equal racks dealt out over failure domains in turn.

    The first ``accelerator_racks`` racks have four accelerators a worker.
    """
    names = [f"domain-{index}" for index in range(failure_domains)]
    racks: dict[str, list[Rack]] = {name: [] for name in names}
    count = -(-workers // WORKERS_PER_RACK)
    left = workers
    for index in range(count):
        size = min(left, WORKERS_PER_RACK)
        left -= size
        domain = names[index % failure_domains]
        capacity = (
            ACCELERATOR_CAPACITY if index < accelerator_racks else WORKER_CAPACITY
        )
        racks[domain].append(Rack(f"rack-{index}", size, capacity))
    domains = []
    for index, name in enumerate(names):
        share = minions // failure_domains + (index < minions % failure_domains)
        group = (MinionGroup("route", share),) if share else ()
        domains.append(FailureDomain(name, tuple(racks[name]), group))
    planned = []
    for index in range(entries):
        domain = names[index % failure_domains]
        planned.append(Entry(f"entry-{index}", domain, 0, 0))
    return Deployment("measured", "north", tuple(domains), tuple(planned))
