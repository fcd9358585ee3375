"""HTTP clients for what the platform gives: table, objects, list, workers, minions.

Every client takes one :class:`HttpCaller`, which bounds connections and timeouts
and tells a call that surely never left from one whose outcome is not known.
"""

from almondspread_platform.caller import CallFault, HttpCaller, open_client
from almondspread_platform.instances import HttpInstanceList
from almondspread_platform.minions import MinionClient, MinionFault
from almondspread_platform.store import HttpObjectStore
from almondspread_platform.table import HttpTable
from almondspread_platform.workers import HttpWorkerGateway

__all__ = [
    "CallFault",
    "HttpCaller",
    "HttpInstanceList",
    "HttpObjectStore",
    "HttpTable",
    "HttpWorkerGateway",
    "MinionClient",
    "MinionFault",
    "open_client",
]
