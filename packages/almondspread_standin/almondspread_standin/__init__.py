"""Stand-ins for the platform, its workers and its minions; development only.

They keep a truth of their own, against which the promises of the system are
checked, and have switches for the faults that it must survive.
"""

from almondspread_standin.cell import StandInDeployment

__all__ = ["StandInDeployment"]
