"""A store of the platform, as its page describes it, over HTTP on loopback."""

import asyncio
import base64
import json
import time

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

TRANSACTION_S = 0.008
PAGE_ROWS = 500
PAGE_BYTES = 1_000_000
CALL_ENTRIES = 100
CALL_BYTES = 1_000_000
HISTORY_S = 20.0
PROTECTED = ("op", "servers")


class Store:
    """Rows of all tables, and the changes of the last ``HISTORY_S`` seconds."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.history = []
        self.dropped_through = 0
        self._changed = asyncio.Event()

    def apply(self, puts, removals=()):
        """Apply changes as one transaction; return the new version."""
        self.version += 1
        now = time.monotonic()
        for name, value in puts:
            self.rows[name] = (self.version, value)
            self.history.append((now, self.version, name, value))
        for name in removals:
            if self.rows.pop(name, None) is not None:
                self.history.append((now, self.version, name, None))
        while self.history and now - self.history[0][0] > HISTORY_S:
            self.dropped_through = self.history.pop(0)[1]
        self._changed.set()
        self._changed = asyncio.Event()
        return self.version

    def put(self, table, key, document):
        """Write a row with a JSON document, as operators and minions do."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        return self.apply([((table, "", key), value)])

    def remove(self, table, key):
        """Remove a row."""
        self.apply([], [(table, "", key)])

    async def wait_for_change(self, seconds):
        """Wait for the next transaction, for some seconds at the most."""
        try:
            await asyncio.wait_for(self._changed.wait(), seconds)
        except TimeoutError:
            return

    def listen(self, host, port):
        """Serve the store at an address."""
        server = HTTPServer(
            Application(
                [(r"/([a-z-]+)", _Handler, {"store": self})], log_function=_skip
            )
        )
        server.listen(port, host)
        return server


class _Handler(RequestHandler):
    def initialize(self, store):
        self._store = store

    def _answer(self, status, document):
        self.set_status(status)
        document["row_version"] = self._store.version
        document["now_ms"] = int(time.monotonic() * 1000)
        self.finish(json.dumps(document).encode())

    def _argument(self, name, default=""):
        values = self.request.query_arguments.get(name)
        return values[-1].decode() if values else default

    async def get(self, path):
        await asyncio.sleep(0.002)
        table = self._argument("table")
        if path == "rows-get":
            self._read(table)
        elif path == "rows-parts":
            after = self._argument("after")
            parts = sorted({name[1] for name in self._store.rows if name[0] == table})
            parts = [part for part in parts if part > after]
            self._answer(200, {"parts": parts[:1000]})
        elif path == "rows-feed":
            await self._follow(table)
        else:
            self.send_error(404)

    def _read(self, table):
        part, start, end = (self._argument(name) for name in ("part", "from", "to"))
        limit = min(int(self._argument("limit", str(PAGE_ROWS))), PAGE_ROWS)
        names = []
        for name in self._store.rows:
            if name[:2] == (table, part) and name[2] >= start:
                if not end or name[2] < end:
                    names.append(name)
        names.sort(key=lambda name: name[2].encode())
        rows, size = [], 0
        for name in names[:limit]:
            version, value = self._store.rows[name]
            size += len(value)
            if rows and size > PAGE_BYTES:
                break
            rows.append(_encode_row(name, version, value))
        self._answer(200, {"rows": rows, "has_more": len(rows) < len(names)})

    async def _follow(self, table):
        store = self._store
        after = int(self._argument("after"))
        until = time.monotonic() + int(self._argument("wait_ms", "0")) / 1000
        while True:
            if after < store.dropped_through:
                self._answer(410, {})
                return
            rows = [
                _encode_row(name, version, value)
                for _, version, name, value in store.history
                if version > after and name[0] == table
            ]
            left = until - time.monotonic()
            if rows or left <= 0:
                self._answer(200, {"rows": rows})
                return
            await store.wait_for_change(left)

    async def post(self, path):
        if path != "rows-tx":
            self.send_error(404)
            return
        call = json.loads(self.request.body)
        conditions = call.get("expected_rev") or []
        puts, removals = call.get("puts") or [], call.get("remove") or []
        entries = [*conditions, *puts, *removals]
        parts = {entry.get("part", "") for entry in entries}
        if len(entries) > CALL_ENTRIES or len(self.request.body) > CALL_BYTES:
            self._answer(400, {})
            return
        if len(parts) > 1:
            self._answer(400, {})
            return
        if any(entry["table"] in PROTECTED for entry in (*puts, *removals)):
            self._answer(403, {})
            return
        await asyncio.sleep(TRANSACTION_S)
        store = self._store
        failed = False
        for condition in conditions:
            version = store.rows.get(_name(condition), (0, ""))[0]
            failed = failed or version != condition["row_version"]
        if failed:
            current = []
            for condition in conditions:
                name = _name(condition)
                if name in store.rows:
                    current.append(_encode_row(name, *store.rows[name]))
            self._answer(412, {"rows": current})
            return
        store.apply(
            [(_name(put), put.get("value", "")) for put in puts],
            [_name(removal) for removal in removals],
        )
        self._answer(200, {})


def _name(entry):
    return (entry["table"], entry.get("part", ""), entry["key"])


def _encode_row(name, version, value):
    row = {"table": name[0], "part": name[1], "key": name[2], "row_version": version}
    if value is None:
        row["deleted"] = True
    else:
        row["value"] = value
    return row


def _skip(_):
    """Write no access log."""
