"""The minions that this instance owns, and requests to them within their slots."""

from collections.abc import Callable, Iterable
from datetime import timedelta

from expression import Error, Ok, Result
from loguru import logger

from almondspread.clock import Clock
from almondspread.errors import OutcomeUnknown, Overloaded, Problem
from almondspread.interfaces import Instance, MinionAnswer, MinionRequest
from almondspread.ownership import rank_owners
from almondspread.requests import MinionSlots, SlotPool
from almondspread_platform import MinionClient

RETRY_AFTER_SECONDS = 1.0
LOOK_AGAIN_SECONDS = 0.1


class MinionPools:
    """Counts the slots of owned minions and passes requests on to them."""

    def __init__(
        self,
        name: str,
        failure_domain: str,
        client: MinionClient,
        clock: Clock,
        queue_length: int,
        settle_time: timedelta,
        list_peers: Callable[[], list[str]],
    ) -> None:
        self.pools: dict[str, SlotPool] = {}
        self._name = name
        self._failure_domain = failure_domain
        self._client = client
        self._clock = clock
        self._queue_length = queue_length
        self._settle_time = settle_time
        self._list_peers = list_peers

    def update(self, instances: Iterable[Instance]) -> None:
        """Follow the platform's list and the instances that share its minions."""
        owners = [self._name, *self._list_peers()]
        for instance in instances:
            if instance.role != "minion":
                continue
            if instance.failure_domain != self._failure_domain:
                continue
            owned = rank_owners(f"minion/{instance.name}", owners)[0] == self._name
            self._update_minion(instance, owned)

    def _update_minion(self, instance: Instance, owned: bool) -> None:
        """Add, mark or drop one minion."""
        pool = self.pools.get(instance.service)
        if pool is None:
            pool = self.pools[instance.service] = SlotPool(self._queue_length)
        known = pool.minions.get(instance.name)
        if known is None and owned:
            # The former owner may still have requests in flight.
            ready_at = self._clock.monotonic() + self._settle_time
            pool.minions[instance.name] = MinionSlots(
                instance.name, instance.address, instance.slots, ready_at=ready_at
            )
            return
        if known is None:
            return
        known.leaving = known.leaving or instance.leaving or not owned
        if not owned and known.in_flight == 0:
            del pool.minions[instance.name]

    async def call(
        self, request: MinionRequest, wait: bool
    ) -> Result[MinionAnswer, Problem]:
        """Pass a request to an owned minion of its service.

        Waits for a free slot until the request's deadline where ``wait`` is set.
        """
        pool = self.pools.get(request.service)
        if pool is None:
            return Error(self._refuse(request, "has no minion here"))
        while True:
            left = request.deadline - self._clock.now().timestamp()
            if left <= 0:
                return Error(self._refuse(request, "has no free slot in time"))
            minion = pool.take(self._clock.monotonic())
            if minion is not None:
                return await self._send(pool, minion, request, left)
            if not wait or pool.is_queue_full:
                return Error(self._refuse(request, "has all slots in use"))
            await pool.wait(min(left, LOOK_AGAIN_SECONDS))

    async def _send(
        self, pool: SlotPool, minion: MinionSlots, request: MinionRequest, left: float
    ) -> Result[MinionAnswer, Problem]:
        """Send a request that holds a slot."""
        try:
            answer = await self._client.call(
                minion.address, request, timedelta(seconds=left)
            )
        finally:
            pool.give_back(minion)
        if answer.is_error():
            return Error(_explain_fault(minion, answer.error.reason, answer.error))
        if answer.ok.leaving and not minion.leaving:
            logger.info("minion {} says that it is leaving", minion.name)
            minion.leaving = True
        return Ok(answer.ok)

    def _refuse(self, request: MinionRequest, reason: str) -> Problem:
        """Return the refusal of a request that was given to no minion."""
        return Overloaded(
            f"service {request.service} {reason}",
            "send the request again later",
            not_run=True,
            retry_after_seconds=RETRY_AFTER_SECONDS,
        )


def _explain_fault(minion: MinionSlots, reason: str, fault: object) -> Problem:
    """Return the problem for a request that brought no whole answer."""
    if getattr(fault, "not_sent", False):
        return Overloaded(
            f"minion {minion.name} cannot be reached: {reason}",
            "send the request again",
            not_run=True,
            retry_after_seconds=RETRY_AFTER_SECONDS,
        )
    return OutcomeUnknown(
        f"minion {minion.name} gave no whole answer: {reason}",
        "ask for the recorded answer under the key before sending anything again",
    )
