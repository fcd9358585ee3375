"""Checks which configuration instances use, and since when."""

import asyncio
from collections.abc import Callable

from attrs import define, field

from almondspread_standin.soak.clients import OK, JobClients
from almondspread_standin.soak.instances import Instance
from platform_standin.formats import CONFIG_APPLY_MS, format_probe_path

PROBE_INTERVAL_SECONDS = 0.05
MAX_AGE = 2
NOT_FOUND = 404
APPLY_SECONDS = CONFIG_APPLY_MS / 1000


@define(eq=False)
class ConfigurationProbe:
    """Asks instances for routes that only one version of the configuration has.

    ``published_at`` has when each version was acknowledged, by the event loop's clock.
    While ``is_disturbed``, versions may come into force late, but never go back.
    """

    clients: JobClients
    published_at: dict[int, float]
    is_disturbed: Callable[[], bool]
    _newest_seen: dict[tuple[str, int], int] = field(factory=dict)

    async def run(self) -> None:
        """Probe one instance after another until cancelled."""
        while True:
            instance = self.clients.pick_instance()
            newest = max(self.published_at)
            version = max(1, newest - self.clients.rng.randint(0, MAX_AGE))
            await self._probe(instance, version)
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)

    async def _probe(self, instance: Instance, version: int) -> None:
        """Ask an instance for the route of a version, and check the answer."""
        start = (instance.name, instance.start_count)
        was_disturbed = self.is_disturbed()
        sent_at = asyncio.get_running_loop().time()
        path = format_probe_path(version)
        status, _ = await self.clients.call(instance, "GET", path)
        if start != (instance.name, instance.start_count):
            return
        if status == OK:
            seen = self._newest_seen.get(start, 0)
            if version < seen:
                self._record(f"{instance.name} went back to version {version}")
            self._newest_seen[start] = max(seen, version)
        if not was_disturbed and not self.is_disturbed():
            self._check_time(instance, version, status, sent_at)

    def _check_time(
        self, instance: Instance, version: int, status: int, sent_at: float
    ) -> None:
        """Check that a version that is long acknowledged was used for a request."""
        replaced_at = self.published_at.get(version + 1)
        if status == OK and replaced_at is not None:
            late = sent_at - replaced_at
            if late > APPLY_SECONDS:
                self._record(
                    f"{instance.name} used version {version}, replaced {late:.2f} s ago"
                )
        late = sent_at - self.published_at[version]
        if status == NOT_FOUND and replaced_at is None and late > APPLY_SECONDS:
            self._record(
                f"{instance.name} does not know version {version} of {late:.2f} s ago"
            )

    def _record(self, text: str) -> None:
        """Record a violation."""
        self.clients.record_violation(text)
