"""A stand-in of the platform's store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import time

from web import NoAnswer, Server

ANSWER_SECONDS = 0.004
TRANSACTION_SECONDS = 0.008
MAX_ENTRIES = 100
MAX_CALL_BYTES = 1_000_000
MAX_NAME_BYTES = 200
PAGE_ROWS = 500
PAGE_BYTES = 1_000_000
PROTECTED_TABLES = ("op", "servers")


class Store:
    """Rows of tables, with one counter of versions and a history of changes.

    ``slow_seconds`` is added to the time of each answer, half of it before the call
    takes effect. ``watch_request`` is called with each call as it arrives, so
    that a case can record and time what it does.
    """

    def __init__(self, row_bytes=65_536):
        self.row_bytes = row_bytes
        self.rows = {}
        self.version = 0
        self.history = []
        self.kept_from = 0
        self.slow_seconds = 0.0
        self.watch_request = lambda request: None
        self.refused_calls = []
        self.changed = asyncio.Condition()
        self.server = Server(self._handle)
        self.address = ""
        self.locks = {}

    async def start(self, host):
        port = await self.server.start(host)
        self.address = f"{host}:{port}"

    async def compact(self):
        """Discard the history up to now, and answer the feeds that need it."""
        self.history.clear()
        self.kept_from = self.version
        async with self.changed:
            self.changed.notify_all()

    async def apply(self, puts=(), removals=()):
        """Apply changes as the operator or a minion, and wake the feeds."""
        self.version += 1
        for (table, part, key), value in puts:
            self.rows[table, part, key] = (value, self.version)
            self.history.append((self.version, (table, part, key)))
        for name in removals:
            if self.rows.pop(name, None) is not None:
                self.history.append((self.version, name))
        async with self.changed:
            self.changed.notify_all()

    async def put(self, table, key, document):
        """Write one row of a table without a part."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        await self.apply([((table, "", key), value)])

    def read_json(self, table, key):
        """Return the document of one row of a table without a part, or None."""
        row = self.rows.get((table, "", key))
        return json.loads(base64.b64decode(row[0])) if row else None

    def encode_row(self, name):
        table, part, key = name
        document = {"table": table, "part": part, "key": key}
        row = self.rows.get(name)
        if row is None:
            return {**document, "row_version": self.version, "deleted": True}
        return {**document, "value": row[0], "row_version": row[1]}

    def _close(self, document):
        return {
            "row_version": self.version,
            "now_ms": int(time.monotonic() * 1000),
            **document,
        }

    async def _handle(self, request):
        self.watch_request(request)
        delay = ANSWER_SECONDS + self.slow_seconds
        await asyncio.sleep(delay / 2)
        match request.path:
            case "/rows-tx":
                status, document = await self._transact(request)
            case "/rows-get":
                status, document = self._read(request.query)
            case "/rows-parts":
                status, document = self._list_parts(request.query)
            case "/rows-feed":
                status, document = await self._follow(request.query)
            case _:
                raise NoAnswer
        document = self._close(document)
        await asyncio.sleep(delay / 2)
        return status, document

    def _refuse(self, status, reason):
        self.refused_calls.append(reason)
        return status, {"reason": reason}

    async def _transact(self, request):
        call = request.json()
        conditions = call.get("expected_rev", [])
        puts = call.get("puts", [])
        removals = call.get("remove", [])
        entries = [*conditions, *puts, *removals]
        if len(entries) > MAX_ENTRIES:
            return self._refuse(400, f"{len(entries)} entries")
        if len(request.body) > MAX_CALL_BYTES:
            return self._refuse(400, f"a call of {len(request.body)} bytes")
        parts = {entry.get("part", "") for entry in entries}
        if len(parts) > 1:
            return self._refuse(400, "several parts")
        for entry in entries:
            for field in ("table", "part", "key"):
                if len(entry.get(field, "").encode()) > MAX_NAME_BYTES:
                    return self._refuse(400, "a long name")
        for entry in [*puts, *removals]:
            if entry["table"] in PROTECTED_TABLES:
                return self._refuse(403, "a protected table")
        for entry in puts:
            size = len(base64.b64decode(entry["value"]))
            if size > self.row_bytes:
                return self._refuse(
                    400, f"the row {entry['table']}/{entry['key']} has {size} bytes"
                )
        lock = self.locks.setdefault(next(iter(parts), ""), asyncio.Lock())
        async with lock:
            await asyncio.sleep(TRANSACTION_SECONDS)
            names = [self._name(entry) for entry in conditions]
            for name, entry in zip(names, conditions, strict=True):
                row = self.rows.get(name)
                if (row[1] if row else 0) != entry["row_version"]:
                    rows = [self.encode_row(each) for each in names]
                    return 412, {"rows": rows}
            await self.apply(
                [(self._name(entry), entry["value"]) for entry in puts],
                [self._name(entry) for entry in removals],
            )
            return 200, {"row_version": self.version}

    def _name(self, entry):
        return (entry["table"], entry.get("part", ""), entry["key"])

    def _read(self, query):
        table, part = query.get("table", ""), query.get("part", "")
        start, end = query.get("from", ""), query.get("to", "")
        names = []
        for name in self.rows:
            if name[0] != table or name[1] != part or name[2] < start:
                continue
            if end and name[2] >= end:
                continue
            names.append(name)
        names.sort(key=lambda name: name[2].encode())
        limit = min(PAGE_ROWS, int(query.get("limit", PAGE_ROWS)))
        rows, size = [], 0
        for name in names[:limit]:
            row = self.encode_row(name)
            size += len(row["value"])
            if rows and size > PAGE_BYTES:
                break
            rows.append(row)
        return 200, {"rows": rows, "has_more": len(rows) < len(names)}

    def _list_parts(self, query):
        after = query.get("after", "")
        parts = {name[1] for name in self.rows if name[0] == query.get("table")}
        listed = sorted(part for part in parts if part > after or not after)
        return 200, {"parts": listed[:1000]}

    async def _follow(self, query):
        table, after = query.get("table", ""), int(query.get("after", 0))
        until = time.monotonic() + min(30.0, int(query.get("wait_ms", 0)) / 1000)
        while True:
            if after < self.kept_from:
                return 410, {}
            names = {}
            for version, name in self.history:
                if version > after and name[0] == table:
                    names.pop(name, None)
                    names[name] = None
            left = until - time.monotonic()
            if names or left <= 0:
                return 200, {"rows": [self.encode_row(name) for name in names]}
            try:
                async with asyncio.timeout(left), self.changed:
                    await self.changed.wait()
            except TimeoutError:
                continue
