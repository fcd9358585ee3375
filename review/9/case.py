"""A task crashes each minion that starts it, and each time the leader is killed too."""

import asyncio
import os
import signal
import sys
import tempfile
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin_2"))

from parts import BEAT_S, Cell, Record, make_configuration, now  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
JOB = "00000000000000dd"
CRASHES_AFTER_S = 0.3
BACK_AFTER_S = 5.0
RESTARTED_AFTER_S = 1.5
# Starts after the third crash that the rule forbids.
FORBIDDEN_STARTS = 3
WATCH_S = 80.0


class DeadlyTask:
    """Crashes each minion some time after it has started the task."""

    def __init__(self, cell: Cell) -> None:
        self.cell = cell
        self.crashes = 0
        self.starts = 0
        self.late_starts = 0

    async def watch(self) -> None:
        """Wait for starts of the task, one after another."""
        known: set[tuple[str, int]] = set()
        while True:
            await asyncio.sleep(0.005)
            for machine in self.cell.machines:
                minion = machine.minion
                if minion is None:
                    continue
                for task, run in list(minion.runs.items()):
                    key = (minion.name, run["run"])
                    if task.startswith(JOB) and key not in known:
                        known.add(key)
                        self.starts += 1
                        self.late_starts += self.crashes >= 3
                        self.cell.spawn(self.crash(machine))

    async def crash(self, machine) -> None:
        """Crash a minion, and have the machine come back with the next one."""
        await asyncio.sleep(CRASHES_AFTER_S)
        self.crashes += 1
        self.cell.record.write(f"{machine.minion.name} crashes ({self.crashes})")
        if TROUBLE:
            leader = self.cell.leader()
            self.cell.spawn(self.lose_leader(leader))
        await machine.crash(BACK_AFTER_S)

    async def lose_leader(self, process) -> None:
        """Kill the leader, and start it again."""
        await process.end(signal.SIGKILL)
        await asyncio.sleep(RESTARTED_AFTER_S)
        process.bootstrap = False
        await process.start()


async def play(directory: Path, record: Record) -> int:
    """Play the case, and return the exit status."""
    cell = Cell(
        directory,
        record,
        lambda task: 2.0,
        zones=("a", "b", "c"),
        processes=6,
        machines=9,
    )
    try:
        await cell.open(make_configuration())
        await asyncio.sleep(4.0)
        deadly = DeadlyTask(cell)
        cell.spawn(deadly.watch())
        step = {"count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": 2000}
        status = await cell.submit(JOB, {"spec": "s", "steps": [step]})
        if not 200 <= status < 300:
            return 2
        until = now() + WATCH_S
        while now() < until and deadly.late_starts < FORBIDDEN_STARTS:
            await asyncio.sleep(0.1)
        record.write(
            f"starts {deadly.starts}, crashes {deadly.crashes}, starts after the third"
            f" crash {deadly.late_starts}, beats of {BEAT_S} s"
        )
        if not deadly.crashes:
            return 2
        return 1 if deadly.late_starts >= FORBIDDEN_STARTS else 0
    finally:
        await cell.close()


def main() -> int:
    """Run the case and write its record."""
    record = Record(HERE / "record.txt")
    with tempfile.TemporaryDirectory() as directory:
        try:
            code = asyncio.run(play(Path(directory), record))
        except Exception as error:
            record.write(f"could not run: {error!r}")
            code = 2
        if os.environ.get("KEEP_LOGS"):
            import shutil

            shutil.copytree(directory, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
    record.write(f"exit {code}")
    return code


if __name__ == "__main__":
    sys.exit(main())
