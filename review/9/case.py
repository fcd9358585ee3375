"""A zone is lost with the leader, and tasks that last have to run elsewhere."""

import asyncio
import os
import signal
import sys
import tempfile
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin_2"))

from parts import Cell, Record, make_configuration, now  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
JOB = "00000000000000aa"
TASKS = 4
# The rule asks for a run from 6 s after the last one, and finds it broken after 3 s.
WITHOUT_RUN_S = 9.0
CALM_S = 7.0
WATCH_S = 30.0


async def lose_zone(cell: Cell, zone: str) -> None:
    """Lose all machines of a zone for good, in one moment."""
    cell.record.write(f"zone {zone} is lost")
    for machine in cell.machines:
        if machine.zone == zone:
            cell.spawn(machine.lose_power())
    ends = [p.end(signal.SIGKILL) for p in cell.processes if p.zone == zone]
    await asyncio.gather(*ends)


def find_lost(cell: Cell, lost_at: float) -> list[str]:
    """Return the tasks that the rule finds without a run."""
    found = []
    for task, runs in cell.ledger.running.items():
        without = now() - cell.ledger.ended_at.get(task, now())
        if not runs and without >= WITHOUT_RUN_S and now() - lost_at >= CALM_S:
            found.append(f"{task} has had no run for {without:.1f} s")
    return found


async def play(directory: Path, record: Record) -> int:
    """Play the case, and return the exit status."""
    zones = ("a", "b", "c")
    cell = Cell(
        directory, record, lambda task: None, zones=zones, processes=6, machines=9
    )
    try:
        await cell.open(make_configuration())
        await asyncio.sleep(4.0)
        zone = cell.leader().zone
        step = {
            "count": TASKS,
            "cpu": 1000,
            "mem_mb": 256,
            "estimate_ms": 500,
            "long_running": True,
            "affinity": f"rack-{zone}",
        }
        status = await cell.submit(JOB, {"spec": "s", "steps": [step]})
        await asyncio.sleep(4.0)
        running = [task for task, runs in cell.ledger.running.items() if runs]
        if not 200 <= status < 300 or len(running) < TASKS:
            return 2
        record.write(f"leader {cell.leader().name} in zone {zone}")
        lost_at = now()
        if TROUBLE:
            await lose_zone(cell, cell.leader().zone)
        lost: list[str] = []
        while now() < lost_at + WATCH_S and not lost:
            await asyncio.sleep(0.05)
            lost = find_lost(cell, lost_at)
        for each in lost:
            record.write(f"LOST task {each}")
        limit = now() + 20
        while now() < limit and not all(cell.ledger.running.values()):
            await asyncio.sleep(0.05)
        record.write(
            f"starts {cell.ledger.starts}, overlapping {len(cell.ledger.overlaps)},"
            f" tasks running {sum(map(bool, cell.ledger.running.values()))},"
            f" {now() - lost_at:.1f} s after the loss"
        )
        return 1 if lost else 0
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
