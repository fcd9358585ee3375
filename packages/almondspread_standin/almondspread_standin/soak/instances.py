"""The real processes of a soak, each reached only through proxies."""

import asyncio
import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path

from attrs import define, field

from almondspread_standin.soak.proxy import Proxy

PEER_PORT = 7720
CALLER_PORT = 8161
STOP_SECONDS = 20.0
# Loopback networks, so that soaks at the same time do not meet.
FIRST_NETWORK = 20
NETWORKS = 200
PROGRAM = Path("platform") / "serve.py"

WriteSettings = Callable[["Instance"], bytes]


@define(eq=False)
class Instance:
    """One process with its addresses; ``life`` counts its starts.

    ``disturbed_at`` is the last moment at which it was paused, on the event loop's
    clock: what it tells soon after may be old.
    """

    name: str
    domain: str
    address: str
    peer_ip: str
    store_proxy: Proxy
    peer_proxy: Proxy
    start_count: int = 0
    paused_until: float = 0.0
    process: asyncio.subprocess.Process | None = None

    @property
    def caller_address(self) -> str:
        """Where callers reach it."""
        return f"{self.address}:{CALLER_PORT}"

    @property
    def is_alive(self) -> bool:
        """Whether its process runs."""
        return self.process is not None and self.process.returncode is None


@define(eq=False)
class Instances:
    """Starts, signals and ends the processes; it touches no others."""

    root: Path
    directory: Path
    write_settings: WriteSettings
    instances: list[Instance] = field(factory=list)

    async def add(self, number: int, domain: str, store: tuple[str, int]) -> Instance:
        """Add an instance with its proxies; it is not started yet."""
        network = FIRST_NETWORK + os.getpid() % NETWORKS
        address, peer_ip = f"127.{network}.0.{number}", f"127.{network}.1.{number}"
        instance = Instance(
            f"instance-{number}",
            domain,
            address,
            peer_ip,
            Proxy(address, store),
            Proxy(peer_ip, (address, PEER_PORT), PEER_PORT),
        )
        await instance.store_proxy.start()
        await instance.peer_proxy.start()
        self.instances.append(instance)
        return instance

    async def start(self, instance: Instance) -> None:
        """Start the process of an instance."""
        path = self.directory / f"{instance.name}.json"
        path.write_bytes(self.write_settings(instance))
        instance.start_count += 1
        log = (self.directory / f"{instance.name}.log").open("ab")
        environment = {**os.environ, "ALMONDSPREAD_BOOT": str(path)}
        instance.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(self.root / PROGRAM),
            env=environment,
            stdout=log,
            stderr=log,
        )
        log.close()

    def send_signal(self, instance: Instance, number: signal.Signals) -> None:
        """Send a signal to the process of an instance."""
        if instance.is_alive:
            assert instance.process is not None
            instance.process.send_signal(number)

    async def end(self, instance: Instance, number: signal.Signals) -> None:
        """End the process of an instance, by force where it takes too long."""
        process = instance.process
        if process is None or process.returncode is not None:
            return
        process.send_signal(number)
        try:
            async with asyncio.timeout(STOP_SECONDS):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()

    async def stop(self) -> None:
        """End all processes and proxies."""
        for instance in self.instances:
            await self.end(instance, signal.SIGKILL)
        for instance in self.instances:
            await instance.store_proxy.stop()
            await instance.peer_proxy.stop()
