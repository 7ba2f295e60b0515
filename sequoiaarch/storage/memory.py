"""In-memory log and host list for a process that runs stand-alone."""

from __future__ import annotations

import asyncio

from ..errors import Failure
from ..ids import HostName, Offset
from .interfaces import HostEntry, HostState, Page


class MemoryLog:
    """Append-only log in memory."""

    def __init__(self) -> None:
        self._streams: dict[str, list[bytes]] = {}
        self._appended = asyncio.Condition()

    async def append(self, stream: str, records: list[bytes]) -> Offset | Failure:
        """Append records atomically; return the offset of the first."""
        async with self._appended:
            stored = self._streams.setdefault(stream, [])
            start = len(stored)
            stored.extend(records)
            self._appended.notify_all()
        return Offset(start)

    async def read(
        self, stream: str, start: Offset, *, limit: int, wait: float
    ) -> Page | Failure:
        """Read from an offset; wait up to `wait` seconds for a record."""
        stored = self._streams.setdefault(stream, [])
        if len(stored) <= start and wait > 0:
            try:
                async with asyncio.timeout(wait), self._appended:
                    await self._appended.wait_for(lambda: len(stored) > start)
            except TimeoutError:
                pass
        records = stored[start : start + limit]
        return Page(
            first=Offset(0), start=start, end=Offset(len(stored)), records=records
        )


class MemoryHostList:
    """Fixed list of live hosts."""

    def __init__(self, *, hosts: list[HostName]) -> None:
        self._hosts = hosts

    async def hosts(self) -> list[HostEntry] | Failure:
        """Return all hosts of the platform."""
        return [HostEntry(host=host, state=HostState.LIVE) for host in self._hosts]
