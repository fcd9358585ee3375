"""A crowd of untrusted clients, and a watch on the process that they reach."""

import asyncio

import psutil

LOOPBACK = "127.0.0.1"
KIB = 1024
MIB = 1024 * KIB
BODY_BYTES = 256 * KIB
PIECE_BYTES = 16 * KIB
LARGE_CHUNK_BYTES = 64 * KIB
SMALL_CHUNK_BYTES = 128
# How much of a body is missing where a client stops short of its end.
MISSING_BYTES = 64
# Each eighth client sends its whole body.
WHOLE_SHARE = 8
SEND_SECONDS = 5.0
WATCH_SECONDS = 0.02
SETTLE_SECONDS = 0.3
IDLE_CPU_SECONDS = 0.03
MAX_SETTLE_SECONDS = 10.0
ANSWER_SECONDS = 20.0
RETRY_SECONDS = 0.1

CHUNKED = "Transfer-Encoding: chunked"


def make_head(path, host, framing):
    """Return a request's first line and headers."""
    lines = (f"POST {path} HTTP/1.1", f"Host: {host}", framing, "", "")
    return "\r\n".join(lines).encode()


def make_body(number, size=BODY_BYTES):
    """Return the part of a body that one client of a crowd sends."""
    body = b'{"padding": "' + b"x" * (size - 15) + b'"}'
    return body if number % WHOLE_SHARE == 0 else body[:-MISSING_BYTES]


def split(data, size):
    """Return data in pieces of at most ``size`` bytes."""
    return [data[start : start + size] for start in range(0, len(data), size)]


def encode_chunks(data, size):
    """Return data as chunks, without the end of the body."""
    chunks = [b"%x\r\n%b\r\n" % (len(part), part) for part in split(data, size)]
    return b"".join(chunks)


class ClientCrowd:
    """Clients that send bodies to one path, and keep their connections open."""

    def __init__(self, address, path, host="entry"):
        self.ip, port = address.split(":")
        self.port = int(port)
        self.path, self.host = path, host
        self._writers = []

    async def send_large(self, count):
        """Send large bodies of legal size at once."""
        head = make_head(self.path, self.host, f"Content-Length: {BODY_BYTES}")
        await self._send([[head, make_body(number)] for number in range(count)])

    async def send_pieces(self, count):
        """Send large bodies of legal size, all of them piece by piece."""
        head = make_head(self.path, self.host, f"Content-Length: {BODY_BYTES}")
        bodies = [split(make_body(number), PIECE_BYTES) for number in range(count)]
        await self._send([[head, *pieces] for pieces in bodies])

    async def send_chunks(self, count, chunk_bytes):
        """Send chunked bodies of nearly the legal size."""
        head = make_head(self.path, self.host, CHUNKED)
        whole = encode_chunks(make_body(0), chunk_bytes) + b"0\r\n\r\n"
        short = encode_chunks(make_body(1), chunk_bytes)
        bodies = [short if number % WHOLE_SHARE else whole for number in range(count)]
        await self._send([[head, body] for body in bodies])

    async def send_over_limit(self, count):
        """Send bodies far over the limit, half of them announced."""
        announced = make_head(self.path, self.host, f"Content-Length: {64 * MIB}")
        unannounced = make_head(self.path, self.host, CHUNKED)
        body = make_body(1, 960 * KIB)
        chunks = encode_chunks(body, LARGE_CHUNK_BYTES)
        requests = []
        for number in range(count):
            if number % 2:
                requests.append([unannounced, chunks])
                continue
            requests.append([announced, body])
        await self._send(requests)

    async def connect(self, count):
        """Open connections without a request."""
        await self._send([[] for _ in range(count)])

    async def _send(self, requests):
        """Send each request's parts on a connection of its own."""
        await asyncio.gather(*(self._send_parts(parts) for parts in requests))

    async def _send_parts(self, parts):
        """Send the parts of one request; the server may close the connection."""
        try:
            async with asyncio.timeout(SEND_SECONDS):
                _, writer = await asyncio.open_connection(self.ip, self.port)
                self._writers.append(writer)
                for part in parts:
                    writer.write(part)
                    await writer.drain()
                    await asyncio.sleep(0)
        except OSError:
            # The server has closed or does not read the connection.
            return

    async def ask(self, request):
        """Return the status line of an ordinary request on a new connection.

        It is sent again until its status is 200, or the time for it is over.
        """
        status = b""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + ANSWER_SECONDS
        while loop.time() < deadline:
            status = await self._ask_once(request)
            if b" 200 " in status:
                break
            await asyncio.sleep(RETRY_SECONDS)
        return status

    async def _ask_once(self, request):
        """Return the status line of a request, empty where there is none."""
        try:
            async with asyncio.timeout(SEND_SECONDS):
                reader, writer = await asyncio.open_connection(self.ip, self.port)
                try:
                    writer.write(request)
                    return await reader.readline()
                finally:
                    writer.close()
        except OSError:
            return b""

    def close(self):
        """Close the connections of the crowd."""
        for writer in self._writers:
            writer.close()


class ProcessWatch:
    """Watches the memory and the descriptors of a process while a crowd sends.

    ``growth`` is the most resident memory above that at the start, in bytes, and
    ``descriptors`` the most that were open.
    """

    def __init__(self, pid):
        self.growth = 0
        self.descriptors = 0
        self._process = psutil.Process(pid)
        self._start = self._process.memory_info().rss

    async def watch(self, sending):
        """Wait until a crowd has sent what it sends and the process has read it."""
        task = asyncio.create_task(self._sample())
        try:
            await sending
            async with asyncio.timeout(MAX_SETTLE_SECONDS):
                await self._wait_until_idle()
        except TimeoutError:
            # The bounds are checked all the same.
            pass
        finally:
            task.cancel()
        self._read()

    async def _wait_until_idle(self):
        """Wait until the process uses hardly any processor time."""
        used = -1.0
        while True:
            times = self._process.cpu_times()
            before, used = used, times.user + times.system
            if before >= 0 and used - before < IDLE_CPU_SECONDS:
                return
            await asyncio.sleep(SETTLE_SECONDS)

    async def _sample(self):
        while True:
            self._read()
            await asyncio.sleep(WATCH_SECONDS)

    def _read(self):
        growth = self._process.memory_info().rss - self._start
        self.growth = max(self.growth, growth)
        self.descriptors = max(self.descriptors, self._process.num_fds())


class CrowdTests:
    """Tests of one listener against each kind of crowd.

    The test case with them starts the process, and sets ``crowd``, ``pid`` and
    ``ordinary_request``, whose status is 200. Its settings allow ``DESCRIPTORS``.
    """

    CLIENTS = 80
    # Bodies of 20 MiB are sent, of which the settings allow 4 MiB to be held.
    GROWTH_BYTES = 16 * MIB
    DESCRIPTORS = 64

    async def check_crowd(self, sending, check_descriptors=False):
        """Check the bounds while a crowd sends, and an ordinary request after it."""
        watch = ProcessWatch(self.pid)
        await watch.watch(sending)
        self.assertTrue(psutil.pid_exists(self.pid))
        self.assertLess(watch.growth, self.GROWTH_BYTES)
        if check_descriptors:
            self.assertLessEqual(watch.descriptors, self.DESCRIPTORS)
        status = await self.crowd.ask(self.ordinary_request)
        self.assertIn(b" 200 ", status)

    async def test_memory_is_bounded_with_many_large_bodies(self):
        """Each connection held a whole body, however many there were."""
        await self.check_crowd(self.crowd.send_large(self.CLIENTS))

    async def test_memory_is_bounded_with_bodies_in_pieces(self):
        """Bodies that arrive slowly were held without a bound as well."""
        await self.check_crowd(self.crowd.send_pieces(self.CLIENTS))

    async def test_memory_is_bounded_with_bodies_in_large_chunks(self):
        """Bodies without an announced length were not counted."""
        sending = self.crowd.send_chunks(self.CLIENTS, LARGE_CHUNK_BYTES)
        await self.check_crowd(sending)

    async def test_memory_is_bounded_with_bodies_in_small_chunks(self):
        """Bodies without an announced length were not counted."""
        sending = self.crowd.send_chunks(self.CLIENTS, SMALL_CHUNK_BYTES)
        await self.check_crowd(sending)

    async def test_memory_is_bounded_with_bodies_over_the_limit(self):
        """A body over the limit must not be held until its end."""
        await self.check_crowd(self.crowd.send_over_limit(self.CLIENTS))

    async def test_descriptors_are_bounded_with_idle_connections(self):
        """Connections without a request took all descriptors, or all room."""
        await self.check_crowd(self.crowd.connect(self.CLIENTS), True)
