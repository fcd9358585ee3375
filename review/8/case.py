"""The leader is removed for good while a machine has its upkeep; lasting tasks fail."""

import asyncio
import os
import signal
import sys
import tempfile
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin_2"))

from parts import Cell, Process, Record, make_configuration, now  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
JOB = "00000000000000aa"
REPLACED_AFTER_S = 4.0
KILL_AFTER_S = 0.1
FAILS_AFTER_S = 2.0
# The rule asks for a run from 6 s after the last one, and finds it broken after 3 s.
WITHOUT_RUN_S = 9.0
CALM_S = 7.0
WATCH_S = 26.0


async def play(directory: Path, record: Record) -> int:
    cell = Cell(directory, record, lambda task: None, zones=("a", "b", "c"), machines=6)
    for machine in cell.machines:
        machine.moves = True
    disturbed = [now()]

    async def replace(process: Process) -> None:
        await asyncio.sleep(KILL_AFTER_S)
        await process.end(signal.SIGKILL)
        disturbed[0] = now()
        await asyncio.sleep(REPLACED_AFTER_S)
        other = Process(cell, 4, process.zone)
        other.bootstrap = False
        await cell.open_store_for(other)
        cell.processes.append(other)
        await other.start()
        disturbed[0] = now()

    ordered: list[str] = []

    def on_upkeep(machine, holder: str) -> None:
        ordered.append(holder)
        disturbed[0] = now()
        if TROUBLE and len(ordered) == 1:
            process = next(p for p in cell.processes if p.name == holder)
            cell.spawn(replace(process))

    cell.on_upkeep = on_upkeep
    try:
        await cell.open(make_configuration())
        await asyncio.sleep(3.0)
        step = {
            "count": 6,
            "cpu": 1000,
            "mem_mb": 256,
            "estimate_ms": 500,
            "long_running": True,
            "anti_affinity": 1,
        }
        status = await cell.submit(JOB, {"spec": "s", "steps": [step]})
        await asyncio.sleep(4.0)
        if not 200 <= status < 300 or len(cell.ledger.running) < 6:
            return 2
        # A planned restart of the first leader, in both kinds of run: its successor
        # looks after the minions of its own zone, where no other instance is.
        first = cell.leader()
        await first.end(signal.SIGTERM)
        await asyncio.sleep(1.0)
        await first.start()
        await cell.wait_ready()
        await asyncio.sleep(8.0)
        if len([t for t, runs in cell.ledger.running.items() if runs]) < 6:
            return 2
        leader = cell.leader()
        chosen = next(m for m in cell.machines if m.zone == leader.zone)
        cell.waves[1] = {
            "wave": 1,
            "machines": [chosen.name],
            "within_s": 20,
            "at_most": 1,
        }
        await cell.put("op", "wave/1", cell.waves[1])
        record.write(f"wave 1 asked for, leader {leader.name}, {chosen.name}")
        limit = now() + 20
        while not ordered and now() < limit:
            await asyncio.sleep(0.02)
        if not ordered:
            return 2
        await asyncio.sleep(FAILS_AFTER_S)
        # Tasks that last may fail at any time.
        victim = next(m for m in cell.machines if m is not chosen and m.minion.runs)
        failed = next(iter(victim.minion.runs))
        victim.minion.fail(failed)
        until = now() + WATCH_S
        broken = False
        while now() < until and not broken:
            await asyncio.sleep(0.05)
            for task, runs in cell.ledger.running.items():
                without = now() - cell.ledger.ended_at.get(task, now())
                if runs or now() - disturbed[0] < CALM_S:
                    continue
                if without >= WITHOUT_RUN_S:
                    broken = True
                    record.write(
                        f"LOST task {task} has had no run for {without:.1f} s, the"
                        f" last {now() - disturbed[0]:.1f} s of them calm"
                    )
        limit = now() + 20
        while now() < limit and not all(cell.ledger.running.values()):
            await asyncio.sleep(0.05)
        record.write(
            f"starts {cell.ledger.starts}, overlapping {len(cell.ledger.overlaps)},"
            f" tasks running {sum(map(bool, cell.ledger.running.values()))}"
        )
        return 1 if broken else 0
    finally:
        await cell.close()


def main() -> int:
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
