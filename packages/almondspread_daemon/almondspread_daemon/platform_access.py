"""The clients of everything that the platform gives one instance."""

from datetime import timedelta
from urllib.parse import urlsplit

from attrs import define, evolve

from almondspread.interfaces import (
    InstanceList,
    ObjectStore,
    TableService,
    WorkerGateway,
)
from almondspread_daemon.settings import Settings
from almondspread_daemon.telemetry.observed_clients import (
    ObservedMinions,
    ObservedTable,
    ObservedWorkers,
)
from almondspread_daemon.telemetry.telemetry import Telemetry
from almondspread_platform import (
    HttpCaller,
    HttpInstanceList,
    HttpObjectStore,
    HttpTable,
    HttpWorkerGateway,
    MinionClient,
    open_client,
)

# The curl client makes all its handles at once, each of some ten kilobytes.
MAX_PLATFORM_CALLS = 64
MAX_MINION_CALLS = 128
CONNECTIONS_PER_ADDRESS = 32
MINION_CONNECTIONS = 64
MAX_ANSWER_BYTES = 8 * 1024 * 1024
EXCHANGE_TIMEOUT = timedelta(seconds=2)


@define(frozen=True)
class PlatformAccess:
    """The platform's services, the workers and the minions."""

    table: TableService
    store: ObjectStore
    instances: InstanceList
    workers: WorkerGateway
    minions: MinionClient | ObservedMinions
    callers: tuple[HttpCaller, ...]


def open_platform(settings: Settings) -> PlatformAccess:
    """Return clients for the services that the settings name."""
    caller = HttpCaller(
        open_client(MAX_PLATFORM_CALLS),
        per_address=CONNECTIONS_PER_ADDRESS,
        overall=MAX_PLATFORM_CALLS,
        caller_domain=settings.failure_domain,
    )
    # Minions have a client of their own, which a slow store cannot occupy.
    minion_caller = HttpCaller(
        open_client(MAX_MINION_CALLS, MAX_ANSWER_BYTES),
        per_address=MINION_CONNECTIONS,
        overall=MAX_MINION_CALLS,
        caller_domain=settings.failure_domain,
    )
    platform = settings.platform
    return PlatformAccess(
        table=HttpTable(caller, find_host(platform.table_url), platform.timeout),
        store=HttpObjectStore(caller, find_host(platform.store_url), platform.timeout),
        instances=HttpInstanceList(
            caller, find_host(platform.instances_url), platform.timeout
        ),
        workers=HttpWorkerGateway(caller, EXCHANGE_TIMEOUT),
        minions=MinionClient(minion_caller),
        callers=(caller, minion_caller),
    )


def observe_platform(platform: PlatformAccess, telemetry: Telemetry) -> PlatformAccess:
    """Return the same clients with a span and counts for each call."""
    return evolve(
        platform,
        table=ObservedTable(platform.table, telemetry.traces, telemetry.instruments),
        workers=ObservedWorkers(platform.workers, telemetry.traces),
        minions=ObservedMinions(platform.minions, telemetry.traces),
    )


def find_host(url: str) -> str:
    """Return the ``IP:port`` of a URL.

    >>> find_host("http://127.0.0.1:7000/")
    '127.0.0.1:7000'
    """
    return urlsplit(url).netloc
