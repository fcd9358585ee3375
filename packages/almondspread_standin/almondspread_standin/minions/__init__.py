"""Stand-ins for minions, and the truth of which requests they ran."""

from almondspread_standin.minions.agent import KindBehaviour, MinionAgent, MinionRun
from almondspread_standin.minions.faults import MinionFaults
from almondspread_standin.minions.server import MinionServer

__all__ = [
    "KindBehaviour",
    "MinionAgent",
    "MinionFaults",
    "MinionRun",
    "MinionServer",
]
