"""Stand-ins for the platform's agents on workers, and the truth of what ran."""

from almondspread_standin.workers.agent import WorkerAgent
from almondspread_standin.workers.faults import WorkerFaults
from almondspread_standin.workers.ledger import DoubleRun, Ledger, OverCommitment
from almondspread_standin.workers.server import WorkerServer

__all__ = [
    "DoubleRun",
    "Ledger",
    "OverCommitment",
    "WorkerAgent",
    "WorkerFaults",
    "WorkerServer",
]
