"""Runs one minion as a process of its own, which writes its events to its output.

Arguments: the id, the capacity as JSON, the longest lease in seconds, and how many
seconds each task takes (``lasts`` for tasks that last).
"""

import asyncio
import json
import sys
import time

from minion import Endpoint, Minion


def _write(document):
    sys.stdout.write(json.dumps(document) + "\n")


async def main():
    """Serve the minion until the process is ended."""
    identifier, capacity, max_hold_s, duration = sys.argv[1:5]
    seconds = None if duration == "lasts" else float(duration)

    def record(what, where, **fields):
        _write({"at": time.monotonic(), "what": what, "where": where, "fields": fields})

    minion = Minion(
        identifier, json.loads(capacity), float(max_hold_s), lambda _: seconds, record
    )
    endpoint = Endpoint(minion, "127.0.0.1", 0)
    _write({"port": endpoint.port, "born": minion.born})
    sys.stdout.flush()
    while True:
        await asyncio.sleep(0.01)
        minion.advance()
        sys.stdout.flush()


asyncio.run(main())
