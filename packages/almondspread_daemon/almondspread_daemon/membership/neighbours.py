"""Links to all other instances, heartbeats over them, and the platform's list."""

import asyncio
import random
import ssl
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from attrs import evolve
from expression import Error, Result
from loguru import logger
from tornado.tcpclient import TCPClient

from almondspread.clock import Clock
from almondspread.interfaces import Instance, InstanceList
from almondspread.ownership import Member, Members
from almondspread_daemon.background import start_task
from almondspread_daemon.membership.heartbeats import HeartbeatSchedule
from almondspread_daemon.peers import CallContext, PeerFault, PeerLink
from almondspread_daemon.peers.links import NO_GRACE
from almondspread_daemon.peers.messages import Accepted, Heartbeat, Pulse
from almondspread_daemon.telemetry.traces import TracePipeline


class Neighbours:
    """Keeps a link to each other instance, and sends heartbeats over the links.

    Addresses come from ``seeds``, from the platform's list and from the heartbeats of
    peers. ``listed`` holds the instances on the latest list by name;
    ``list_is_known`` is false until that list was read for the first time.
    """

    def __init__(
        self,
        own_address: str,
        failure_domain: str,
        seeds: tuple[str, ...],
        members: Members,
        instance_list: InstanceList,
        clock: Clock,
        random_source: random.Random,
        compose_heartbeat: Callable[[], Heartbeat],
        heartbeat_interval: timedelta,
        list_interval: timedelta,
        traces: TracePipeline,
        ssl_options: ssl.SSLContext | None = None,
    ) -> None:
        self.members = members
        self.listed: dict[str, Instance] = {}
        self.list_is_known = False
        self._own_address = own_address
        self._seeds = seeds
        self._instance_list = instance_list
        self._clock = clock
        self._random = random_source
        self._heartbeats = HeartbeatSchedule(
            clock, heartbeat_interval, compose_heartbeat, self._is_same_domain
        )
        self._failure_domain = failure_domain
        self._heartbeat_interval = heartbeat_interval
        self._list_interval = list_interval
        self._traces = traces
        self._ssl_options = ssl_options
        self._client = TCPClient()
        self._domains_by_address: dict[str, str] = {}
        self._links: dict[str, PeerLink] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Send heartbeats and poll the platform's list until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._send_heartbeats())
                group.create_task(self._poll_list())
        finally:
            for task in self._tasks.values():
                task.cancel()

    async def _send_heartbeats(self) -> None:
        """Open the links to the seeds, then send heartbeats periodically."""
        for address in self._seeds:
            self._open_link(address)
        while True:
            self.send_heartbeat()
            await self._clock.sleep(self._heartbeat_interval)

    def send_heartbeat(self) -> None:
        """Send a heartbeat over each open link where one is due or has changed."""
        opened = [address for address, link in self._links.items() if link.is_open]
        for address, message in self._heartbeats.compose_due(opened).items():
            self._links[address].notify(message)

    async def _poll_list(self) -> None:
        """Read the platform's list periodically; keep the last one while that fails."""
        while True:
            listed = await self._instance_list.list()
            if listed.is_ok():
                self._update_list(listed.ok)
            await self._clock.sleep(self._list_interval)

    def _update_list(self, instances: list[Instance]) -> None:
        """Adopt a new list: open links to its entries, close those of removed ones."""
        current = {instance.name: instance for instance in instances}
        for name, instance in self.listed.items():
            if instance.role != "entry":
                continue
            listed = current.get(name)
            if listed is not None and listed.address == instance.address:
                continue
            logger.info("entry {} was removed from the platform's list", name)
            self.members.mark_unlisted(name, instance.address)
            self._close_link(instance.address)
        self.listed = current
        self.list_is_known = True
        for instance in instances:
            if instance.role == "entry":
                self._open_link(instance.address)

    def replace_ssl_options(self, ssl_options: ssl.SSLContext | None) -> None:
        """Use another TLS context for the streams that are opened from now on."""
        self._ssl_options = ssl_options
        for link in self._links.values():
            link.ssl_options = ssl_options

    def _open_link(self, address: str) -> None:
        """Open a link to an address, unless one exists or the address is our own."""
        if address == self._own_address or address in self._links:
            return
        link = PeerLink(
            address,
            self._clock,
            self._random,
            self._client,
            self._traces,
            self._ssl_options,
        )
        link.on_open = lambda: self._heartbeats.reset(address)
        self._links[address] = link
        self._tasks[address] = start_task(link.run())

    def _close_link(self, address: str) -> None:
        """Close the link to an address; links to seeds stay open."""
        if address in self._seeds or address not in self._links:
            return
        del self._links[address]
        self._tasks.pop(address).cancel()

    async def handle_heartbeat(self, beat: Heartbeat, _: CallContext) -> Accepted:
        """Record a peer's heartbeat, and open a link to a peer that is new."""
        self.members.record_heartbeat(
            Member(
                name=beat.name,
                address=beat.address,
                failure_domain=beat.failure_domain,
                incarnation=beat.incarnation,
                heard_at=self._clock.monotonic(),
                ready=beat.ready,
                leaving=beat.leaving,
                revision=beat.revision,
                shards=beat.shards,
                fault=beat.fault,
                interval=timedelta(seconds=beat.interval),
            )
        )
        self._domains_by_address[beat.address] = beat.failure_domain
        self._open_link(beat.address)
        return Accepted()

    async def handle_pulse(self, pulse: Pulse, _: CallContext) -> Accepted:
        """Record that a peer's latest heartbeat is still valid.

        A pulse of an unknown member, or of another incarnation, is ignored.
        """
        known = self.members.find(pulse.name)
        if known is not None and known.incarnation == pulse.incarnation:
            self.members.record_heartbeat(
                evolve(
                    known,
                    heard_at=self._clock.monotonic(),
                    revision=pulse.revision,
                    interval=timedelta(seconds=pulse.interval),
                )
            )
        return Accepted()

    def _is_same_domain(self, address: str) -> bool:
        """Tell whether an address may belong to this failure domain.

        An address whose failure domain is still unknown is taken to belong to it.
        """
        domain = self._domains_by_address.get(address, self._failure_domain)
        return domain == self._failure_domain

    def list_live(self) -> list[Member]:
        """Return the members that are considered live now."""
        return self.members.list_live(self._clock.monotonic())

    def find_owner(self, shard: str) -> Member | None:
        """Return the live member that owns a shard."""
        return self.members.find_owner(shard, self._clock.monotonic())

    def count_bytes(self) -> tuple[int, int]:
        """Return how many bytes all links have sent and received."""
        sent = sum(link.bytes_sent for link in self._links.values())
        received = sum(link.bytes_received for link in self._links.values())
        return sent, received

    def notify_all(self, message: Any) -> None:
        """Send a message without reply over every link whose stream is open."""
        for link in self._links.values():
            link.notify(message)

    def notify_same_domain(self, message: Any) -> None:
        """Send a message without reply to every instance of this failure domain."""
        for address, link in self._links.items():
            if self._is_same_domain(address):
                link.notify(message)

    def notify_other_domains(self, message: Any) -> None:
        """Send a message without reply to every instance of other domains."""
        for address, link in self._links.items():
            if not self._is_same_domain(address):
                link.notify(message)

    def notify(self, address: str, message: Any) -> None:
        """Send a message without reply to one address, if its stream is open."""
        link = self._links.get(address)
        if link is not None:
            link.notify(message)

    async def call(
        self,
        address: str,
        message: Any,
        timeout: timedelta,
        grace: timedelta = NO_GRACE,
    ) -> Result[Any, PeerFault]:
        """Send a message to one address and return its reply.

        ``timeout`` is how long the peer may take; a reply is still accepted for
        ``grace`` longer.
        """
        link = self._links.get(address)
        if link is None:
            return Error(PeerFault(f"no link to {address}", True))
        return await link.call(message, timeout, grace)
