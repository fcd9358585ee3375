"""A minion is cut off from the store while another writer's entry has its address."""

import asyncio
import itertools
import os
import sys
import tempfile
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin_2"))

from parts import BEAT_S, Cell, Record, make_configuration, now  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WORK_S = 10.0
CUT_S = 5.5
LOAD_S = 26.0


async def cut_off(cell: Cell, machine) -> None:
    """Keep a minion from the store; its entry goes after three beats of silence."""
    name = machine.minion.name
    began = now()
    machine.reaches_store = False
    cell.record.write(f"{name} is cut off from the store")
    while now() < began + CUT_S:
        if now() - machine.beat_at >= 3 * BEAT_S and cell.read("servers", name):
            await cell.drop("servers", name)
            cell.record.write(f"the store has removed the entry of {name}")
        await asyncio.sleep(0.02)
    machine.reaches_store = True
    cell.record.write(f"{name} reaches the store again")
    await machine.beat()


async def play(directory: Path, record: Record) -> int:
    cell = Cell(directory, record, lambda task: WORK_S, machines=6)
    try:
        await cell.open(make_configuration())
        chosen = cell.machines[0]
        odd = {
            "service": "no-such-service",
            "address": f"{chosen.address}:9000",
            "zone": chosen.zone,
            "state": "ready",
            "capacity": {"cpu": 1000, "mem_mb": 1000, "gpu": 0},
            "labels": [],
            "seq": 1,
        }
        await cell.put("servers", "x-0001", odd)
        record.write(f"another writer's entry x-0001: {odd}")
        await asyncio.sleep(3.0)
        numbers = itertools.count(1)
        stop_at = now() + LOAD_S

        async def load() -> None:
            while now() < stop_at:
                job = f"{next(numbers):016x}"
                step = {"count": 4, "cpu": 1000, "mem_mb": 256, "estimate_ms": 10000}
                await cell.submit(job, {"spec": "s", "steps": [step]})
                await asyncio.sleep(2.0)

        cell.spawn(load())
        await asyncio.sleep(12.0)
        if TROUBLE:
            cell.spawn(cut_off(cell, chosen))
        while now() < stop_at + 8 and not cell.ledger.overlaps:
            await asyncio.sleep(0.1)
        record.write(
            f"jobs accepted {len(cell.accepted)}, starts {cell.ledger.starts},"
            f" overlapping runs {len(cell.ledger.overlaps)}"
        )
        if not cell.ledger.starts or not cell.accepted:
            return 2
        return 1 if cell.ledger.overlaps else 0
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
