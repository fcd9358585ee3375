"""Failure domains with their racks, minions and entries."""

from attrs import define

from almondspread.interfaces import Instance
from almondspread.resources import Capacity


@define(frozen=True)
class Rack:
    """Equal workers in one rack."""

    name: str
    workers: int
    capacity: Capacity

    def list_worker_names(self) -> list[str]:
        """Return the names of its workers, numbered from 1."""
        return [f"{self.name}-{number}" for number in range(1, self.workers + 1)]


@define(frozen=True)
class MinionGroup:
    """Equal minions of one service."""

    service: str
    count: int
    slots: int = 8
    connections: int = 64

    def list_minion_names(self, failure_domain: str) -> list[str]:
        """Return the names of its minions in a failure domain, numbered from 1."""
        names: list[str] = []
        for number in range(1, self.count + 1):
            names.append(f"{self.service}-{failure_domain}-{number}")
        return names


@define(frozen=True)
class FailureDomain:
    """The workers and minions that can be cut off together."""

    name: str
    racks: tuple[Rack, ...]
    minions: tuple[MinionGroup, ...] = ()


@define(frozen=True)
class Entry:
    """One entry instance and the loopback ports that it listens on."""

    name: str
    failure_domain: str
    http_port: int
    peer_port: int

    def describe_instance(self, host: str) -> Instance:
        """Return the entry as the instance list tells of it."""
        address = f"{host}:{self.peer_port}"
        return Instance(self.name, "entry", address, self.failure_domain)


@define(frozen=True)
class Deployment:
    """All that one operator runs."""

    operator: str
    region: str
    failure_domains: tuple[FailureDomain, ...]
    entries: tuple[Entry, ...]

    def find_total_capacity(self) -> Capacity:
        """Return the sum over all workers."""
        total = Capacity(0, 0, 0)
        for domain in self.failure_domains:
            for rack in domain.racks:
                total = total.plus(rack.capacity.times(rack.workers))
        return total

    def find_conflicts(self) -> list[str]:
        """Return what contradicts itself: names and ports used twice, lost entries."""
        conflicts: list[str] = []
        names: set[str] = set()
        for name in self._list_names():
            if name in names:
                conflicts.append(f"the name {name!r} is used twice")
            names.add(name)
        domains = {domain.name for domain in self.failure_domains}
        ports: set[int] = set()
        for entry in self.entries:
            if entry.failure_domain not in domains:
                conflicts.append(
                    f"entry {entry.name!r} is in unknown {entry.failure_domain!r}"
                )
            for port in (entry.http_port, entry.peer_port):
                if port in ports:
                    conflicts.append(f"the port {port} is used twice")
                ports.add(port)
        return conflicts

    def _list_names(self) -> list[str]:
        """Return the names of all instances."""
        names = [entry.name for entry in self.entries]
        for domain in self.failure_domains:
            for rack in domain.racks:
                names.extend(rack.list_worker_names())
            for group in domain.minions:
                names.extend(group.list_minion_names(domain.name))
        return names
