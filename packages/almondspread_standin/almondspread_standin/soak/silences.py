"""Connections that fall silent for good, while new ones work."""

import asyncio
import random

from attrs import define

from almondspread_standin.soak.instances import Instances
from almondspread_standin.soak.pool import UpstreamPool
from almondspread_standin.soak.proxy import Proxy

# One trouble silences a set of links so often, with pauses between.
MAX_SILENCES = 4
MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS = 0.02, 1.5


@define(eq=False)
class Silences:
    """Silences links of one kind or of all kinds, several times in a row.

    With such pauses they meet what is under way: changes of the configuration, starts,
    acknowledgements, and the attempts to connect again.
    """

    instances: Instances
    pool: UpstreamPool
    rng: random.Random

    async def silence_peers(self) -> None:
        """Silence links between instances."""
        await self._silence(self._list_peers())

    async def silence_stores(self) -> None:
        """Silence the connections of instances to the store."""
        await self._silence(self._list_stores())

    async def silence_upstreams(self) -> None:
        """Silence the connections of all instances to some upstreams."""
        await self._silence(self._list_upstreams())

    async def silence_all(self) -> None:
        """Silence connections of every kind."""
        proxies = [*self._list_peers(), *self._list_stores(), *self._list_upstreams()]
        await self._silence(proxies)

    def _list_peers(self) -> list[Proxy]:
        return [instance.peer_proxy for instance in self.instances.instances]

    def _list_stores(self) -> list[Proxy]:
        return [instance.store_proxy for instance in self.instances.instances]

    def _list_upstreams(self) -> list[Proxy]:
        return [member.proxy for member in self.pool.members]

    async def _silence(self, proxies: list[Proxy]) -> None:
        """Silence some of the links, or all of them, again and again."""
        count = self.rng.choice((len(proxies), self.rng.randint(1, len(proxies))))
        chosen = self.rng.sample(proxies, count)
        for _ in range(self.rng.randint(1, MAX_SILENCES)):
            for proxy in chosen:
                proxy.silence()
            await asyncio.sleep(self.rng.uniform(MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS))
