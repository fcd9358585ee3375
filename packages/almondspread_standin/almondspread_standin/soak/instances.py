"""The instance processes of a soak, and the proxies around them.

A process reaches the store and its peers only through the proxies.
"""

import asyncio
import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path

from attrs import define, field

from almondspread_standin.soak.proxy import Proxy
from platform_standin.store_server import ClientFaults

PEER_PORT = 7720
CALLER_PORT = 8161
STOP_SECONDS = 20.0
# Each soak process uses a loopback network of its own, by its process ID, so that
# soaks that run at the same time do not share addresses.
FIRST_NETWORK = 20
NETWORKS = 200
PROGRAM = Path("platform") / "serve.py"

EncodeSettings = Callable[["Instance"], bytes]


@define(eq=False)
class Instance:
    """One instance: its addresses, its proxies and its current process.

    ``start_count`` is how often its process was started. ``paused_until`` is when the
    last pause of the process ended, by the event loop's clock, or a time in the future
    while it is paused; what the instance reports soon after may be stale.
    """

    name: str
    domain: str
    address: str
    peer_ip: str
    store_proxy: Proxy
    peer_proxy: Proxy
    store_faults: ClientFaults = field(factory=ClientFaults)
    start_count: int = 0
    paused_until: float = 0.0
    process: asyncio.subprocess.Process | None = None

    @property
    def caller_address(self) -> str:
        """The address at which clients reach the instance, as ``IP:port``."""
        return f"{self.address}:{CALLER_PORT}"

    @property
    def is_alive(self) -> bool:
        """Whether the instance's process is running."""
        return self.process is not None and self.process.returncode is None


@define(eq=False)
class Instances:
    """All instances of a soak; signals go only to processes that were started here."""

    root: Path
    directory: Path
    encode_settings: EncodeSettings
    instances: list[Instance] = field(factory=list)

    async def add(
        self, number: int, domain: str, store: tuple[str, int], faults: ClientFaults
    ) -> Instance:
        """Add an instance and start its proxies, but not yet its process.

        It reaches the store at ``store``, where it sees ``faults``.
        """
        network = FIRST_NETWORK + os.getpid() % NETWORKS
        address, peer_ip = f"127.{network}.0.{number}", f"127.{network}.1.{number}"
        instance = Instance(
            f"instance-{number}",
            domain,
            address,
            peer_ip,
            Proxy(address, store),
            Proxy(peer_ip, (address, PEER_PORT), PEER_PORT),
            faults,
        )
        await instance.store_proxy.start()
        await instance.peer_proxy.start()
        self.instances.append(instance)
        return instance

    async def start(self, instance: Instance) -> None:
        """Write an instance's settings file and start its process."""
        path = self.directory / f"{instance.name}.json"
        path.write_bytes(self.encode_settings(instance))
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

    def send_signal(self, instance: Instance, signal_number: signal.Signals) -> None:
        """Send a signal to an instance's process, if it is running."""
        if instance.is_alive:
            assert instance.process is not None
            instance.process.send_signal(signal_number)

    async def end(self, instance: Instance, signal_number: signal.Signals) -> None:
        """Signal an instance's process and wait for its exit, killing it if overdue."""
        process = instance.process
        if process is None or process.returncode is not None:
            return
        process.send_signal(signal_number)
        try:
            async with asyncio.timeout(STOP_SECONDS):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()

    async def restart(
        self, instance: Instance, signal_number: signal.Signals, seconds: float
    ) -> None:
        """End an instance's process, and start it again some seconds after its end."""
        start_count = instance.start_count
        await self.end(instance, signal_number)
        await asyncio.sleep(seconds)
        if instance.start_count == start_count and not instance.is_alive:
            await self.start(instance)

    async def pause(self, instance: Instance, seconds: float) -> None:
        """Suspend an instance's process for some seconds."""
        self.send_signal(instance, signal.SIGSTOP)
        # The end of the pause is not known yet; no pause lasts 60 seconds.
        instance.paused_until = asyncio.get_running_loop().time() + 60
        await asyncio.sleep(seconds)
        self.send_signal(instance, signal.SIGCONT)
        instance.paused_until = asyncio.get_running_loop().time()

    async def stop(self) -> None:
        """Kill all processes, then stop the proxies."""
        for instance in self.instances:
            await self.end(instance, signal.SIGKILL)
        for instance in self.instances:
            await instance.store_proxy.stop()
            await instance.peer_proxy.stop()
