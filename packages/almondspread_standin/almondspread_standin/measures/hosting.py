"""Several entry instances in one process, whose peers can be cut off."""

import asyncio
import signal
from pathlib import Path
from typing import Any

from attrs import define, evolve
from expression import Ok, Result
from tornado.httpserver import HTTPServer

from almondspread.clock import SystemClock
from almondspread_daemon.entry import Entry
from almondspread_daemon.settings import Settings, read_settings
from almondspread_daemon.telemetry.logs import configure_logs
from almondspread_standin.control import describe_controls
from almondspread_standin.listening import bind_loopback, build_application
from almondspread_standin.partitions import CuttableClient


@define(frozen=True)
class HostFaults:
    """Fault switches of hosted entries.

    ``cut_ports`` are the peer ports that cannot be reached; with ``poll_only`` no
    entry of the change log is pushed.
    """

    cut_ports: tuple[int, ...] = ()
    poll_only: bool = False


@define(frozen=True)
class HostCounters:
    """How many entries are hosted and how many of them are ready."""

    entries: int = 0
    ready: int = 0


class EntryHost:
    """Runs entries in this process under common fault switches."""

    def __init__(self, settings: list[Settings]) -> None:
        self.faults = HostFaults()
        self._entries: list[Entry] = []
        self._clients: list[CuttableClient] = []
        for one in settings:
            entry = Entry(one, SystemClock())
            client = CuttableClient(lambda port: port in self.faults.cut_ports)
            entry.neighbours._client = client
            push = entry.follower.push_entry
            entry.follower.push_entry = self._make_push(push)  # type: ignore[method-assign]
            self._entries.append(entry)
            self._clients.append(client)

    def _make_push(self, push: Any) -> Any:
        """Return a push that does nothing while only polls are wanted."""

        def push_unless_off(*arguments: Any) -> None:
            if not self.faults.poll_only:
                push(*arguments)

        return push_unless_off

    def set_faults(self, **changes: Any) -> None:
        """Set the named switches and close the streams that are cut now."""
        self.faults = evolve(self.faults, **changes)
        for client in self._clients:
            client.close_cut()

    def count(self) -> HostCounters:
        """Return how many entries there are and are ready."""
        ready = [entry for entry in self._entries if entry.is_ready]
        return HostCounters(len(self._entries), len(ready))

    async def run(self, control_port: int) -> None:
        """Serve until the process is told to stop."""
        stopped = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stopped.set)
        routes = describe_controls(lambda: self.faults, self.set_faults, self.count)
        server = HTTPServer(build_application(routes))
        server.add_sockets(bind_loopback(control_port))
        for entry in self._entries:
            await entry.start()
        await stopped.wait()
        for entry in self._entries:
            await entry.close()


def load_settings(paths: tuple[Path, ...]) -> Result[list[Settings], Any]:
    """Return the settings of all files, or the faults of the first wrong one."""
    loaded = []
    for path in paths:
        read = read_settings(path)
        if read.is_error():
            return read
        loaded.append(read.ok)
    return Ok(loaded)


def host_entries(settings: list[Settings], control_port: int) -> None:
    """Run entries until the process is told to stop."""
    configure_logs(settings[0].log, settings[0].name, SystemClock())

    async def run() -> None:
        await EntryHost(settings).run(control_port)

    asyncio.run(run())
