"""Stand between two processes and harm what passes."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import Enum

from ....http1.sockets import reset_on_close

LOOPBACK = "127.0.0.1"
READ_BYTES = 65536


class Harm(Enum):
    """Say what happens to connections through a proxy."""

    NONE = "none"
    DELAY = "bytes come later"
    RESET = "connections are reset"
    DEAF = "nothing reaches the far end"
    MUTE = "nothing comes back"
    SILENT = "nothing passes either way"
    LATE = "answers come later"


# What callers and the way to the store meet.
HARMS = (Harm.DELAY, Harm.RESET, Harm.DEAF, Harm.MUTE, Harm.SILENT)


@dataclass(frozen=True, kw_only=True)
class Way:
    """Say which harms a direction suffers from."""

    slowed_by: tuple[Harm, ...]
    blocked_by: tuple[Harm, ...]


THERE = Way(slowed_by=(Harm.DELAY,), blocked_by=(Harm.DEAF, Harm.SILENT))
BACK = Way(slowed_by=(Harm.DELAY, Harm.LATE), blocked_by=(Harm.MUTE, Harm.SILENT))


class FaultProxy:
    """Forward connections to an address, with a harm that may change."""

    def __init__(self, *, target: tuple[str, int]) -> None:
        self.target = target
        self.harm = Harm.NONE
        self.delay = 0.0
        # How often something passed late or was held up.
        self.harmed = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._healed = asyncio.Event()

    @property
    def port(self) -> int:
        """Return the port that is listened on."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    async def start(self) -> None:
        """Listen on a port of the kernel's choice."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)

    def set(self, harm: Harm, delay: float = 0.0) -> None:
        """Begin or end a harm; the delay is in seconds."""
        self.harm, self.delay = harm, delay
        if harm is Harm.RESET:
            self.reset()
        if harm in (Harm.NONE, Harm.DELAY, Harm.LATE):
            self._healed.set()
        else:
            self._healed.clear()

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            _reset(writer)

    async def stop(self) -> None:
        """Close everything."""
        self._healed.set()
        self.reset()
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        far: asyncio.StreamWriter | None = None
        try:
            if self.harm is Harm.RESET:
                _reset(writer)
                return
            far_reader, far = await asyncio.open_connection(*self.target)
            self._writers.add(far)
            ways = {
                asyncio.create_task(self._pass(reader, far, THERE)),
                asyncio.create_task(self._pass(far_reader, writer, BACK)),
            }
            _, left = await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
            # An end in one direction lets the other finish what it holds.
            if left:
                await asyncio.wait(left, timeout=1.0)
            for way in left:
                way.cancel()
        except OSError:
            _reset(writer)
        finally:
            for one in (writer, far):
                if one is not None:
                    self._writers.discard(one)
                    one.transport.abort()

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        way: Way,
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                self.harmed += self.harm in way.slowed_by + way.blocked_by
                if self.harm in way.slowed_by:
                    await asyncio.sleep(self.delay)
                while self.harm in way.blocked_by:
                    await self._healed.wait()
                writer.write(data)
                await writer.drain()
            writer.write_eof()
        except OSError:
            _reset(writer)


def _reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, unless it is gone already."""
    if not writer.transport.is_closing():
        reset_on_close(writer.get_extra_info("socket"))
    writer.transport.abort()
