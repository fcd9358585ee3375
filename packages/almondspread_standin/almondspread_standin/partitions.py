"""Connections between entries of one process that can be cut."""

from collections.abc import Callable
from typing import Any

from tornado.iostream import IOStream
from tornado.tcpclient import TCPClient


class CuttableClient(TCPClient):
    """Opens streams to peers, except to those that are cut off from this one."""

    def __init__(self, is_cut: Callable[[int], bool]) -> None:
        super().__init__()
        self._is_cut = is_cut
        self._streams: list[tuple[int, IOStream]] = []

    async def connect(self, host: str, port: int, *args: Any, **options: Any) -> Any:
        """Open a stream; raises ``OSError`` for a peer that is cut off."""
        if self._is_cut(port):
            raise OSError(f"{host}:{port} is cut off")
        stream = await super().connect(host, port, *args, **options)
        self._streams.append((port, stream))
        return stream

    def close_cut(self) -> None:
        """Close the streams to peers that are cut off now."""
        kept = []
        for port, stream in self._streams:
            if stream.closed():
                continue
            if self._is_cut(port):
                stream.close()
                continue
            kept.append((port, stream))
        self._streams = kept
