"""Proxy TCP connections between two processes, with faults."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import Enum

from ....http1.sockets import reset_on_close

LOOPBACK = "127.0.0.1"
READ_BYTES = 65536


class ProxyFault(Enum):
    """What happens to connections through a proxy.

    Reports of the soak show the member names.
    """

    NONE = "none"
    DELAY = "bytes come later"
    RESET = "connections are reset"
    DEAF = "nothing reaches the far end"
    MUTE = "nothing comes back"
    SILENT = "nothing passes either way"
    LATE = "answers come later"


# Faults of the proxies for callers and for the store.
CALLER_AND_STORE_FAULTS = (
    ProxyFault.DELAY,
    ProxyFault.RESET,
    ProxyFault.DEAF,
    ProxyFault.MUTE,
    ProxyFault.SILENT,
)


@dataclass(frozen=True, kw_only=True)
class Direction:
    """Faults that delay or block one direction of a connection."""

    slowed_by: tuple[ProxyFault, ...]
    blocked_by: tuple[ProxyFault, ...]


TO_TARGET = Direction(
    slowed_by=(ProxyFault.DELAY,), blocked_by=(ProxyFault.DEAF, ProxyFault.SILENT)
)
FROM_TARGET = Direction(
    slowed_by=(ProxyFault.DELAY, ProxyFault.LATE),
    blocked_by=(ProxyFault.MUTE, ProxyFault.SILENT),
)


class FaultProxy:
    """Forward connections to an address, subject to the current fault."""

    def __init__(self, *, target: tuple[str, int]) -> None:
        self.target = target
        self.fault = ProxyFault.NONE
        self.delay = 0.0
        # Number of reads that were delayed or blocked.
        self.disturbed_reads = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._silenced: set[asyncio.StreamWriter] = set()
        self._unblocked = asyncio.Event()

    @property
    def port(self) -> int:
        """Return the port on which the proxy listens."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)

    def set_fault(self, fault: ProxyFault, delay: float = 0.0) -> None:
        """Set the current fault; the delay is in seconds."""
        self.fault, self.delay = fault, delay
        if fault is ProxyFault.RESET:
            self.reset()
        if fault in (ProxyFault.NONE, ProxyFault.DELAY, ProxyFault.LATE):
            self._unblocked.set()
        else:
            self._unblocked.clear()

    def silence(self) -> None:
        """Let nothing pass on the open connections any more; new ones work."""
        self._silenced |= self._writers

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            _reset(writer)

    async def stop(self) -> None:
        """Reset all connections and stop listening."""
        self.fault = ProxyFault.NONE
        self._unblocked.set()
        self.reset()
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        target_writer: asyncio.StreamWriter | None = None
        try:
            if self.fault is ProxyFault.RESET:
                _reset(writer)
                return
            target_reader, target_writer = await asyncio.open_connection(*self.target)
            self._writers.add(target_writer)
            directions = {
                asyncio.create_task(self._forward(reader, target_writer, TO_TARGET)),
                asyncio.create_task(self._forward(target_reader, writer, FROM_TARGET)),
            }
            _, pending = await asyncio.wait(
                directions, return_when=asyncio.FIRST_COMPLETED
            )
            # After the end of one direction, the other may finish.
            if pending:
                await asyncio.wait(pending, timeout=1.0)
            for direction in pending:
                direction.cancel()
        except OSError:
            _reset(writer)
        finally:
            for open_writer in (writer, target_writer):
                if open_writer is not None:
                    self._writers.discard(open_writer)
                    self._silenced.discard(open_writer)
                    open_writer.transport.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                self.disturbed_reads += (
                    self.fault in direction.slowed_by + direction.blocked_by
                )
                if self.fault in direction.slowed_by:
                    await asyncio.sleep(self.delay)
                while self.fault in direction.blocked_by:
                    await self._unblocked.wait()
                if writer in self._silenced:
                    continue
                writer.write(data)
                await writer.drain()
            writer.write_eof()
        except OSError:
            _reset(writer)


def _reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, unless it is closed already."""
    if not writer.transport.is_closing():
        reset_on_close(writer.get_extra_info("socket"))
    writer.transport.abort()
