"""Keep a log and a host list inside the process, for a stand-alone trial."""

from __future__ import annotations

import asyncio

from ..errors import Failure
from ..ids import HostName, Offset
from .interfaces import HostEntry, HostState, Page


class MemoryLog:
    """Append to and read from lists in memory."""

    def __init__(self) -> None:
        self._streams: dict[str, list[bytes]] = {}
        self._grown = asyncio.Condition()

    async def append(self, stream: str, records: list[bytes]) -> Offset | Failure:
        """Append records together and return the offset of the first."""
        async with self._grown:
            kept = self._streams.setdefault(stream, [])
            start = len(kept)
            kept.extend(records)
            self._grown.notify_all()
        return Offset(start)

    async def read(
        self, stream: str, start: Offset, *, limit: int, wait: float
    ) -> Page | Failure:
        """Read from an offset, waiting up to `wait` seconds for a record."""
        kept = self._streams.setdefault(stream, [])
        if len(kept) <= start and wait > 0:
            try:
                async with asyncio.timeout(wait), self._grown:
                    await self._grown.wait_for(lambda: len(kept) > start)
            except TimeoutError:
                pass
        records = kept[start : start + limit]
        return Page(
            first=Offset(0), start=start, end=Offset(len(kept)), records=records
        )


class MemoryHostList:
    """Name a fixed set of hosts as live."""

    def __init__(self, *, hosts: list[HostName]) -> None:
        self._hosts = hosts

    async def hosts(self) -> list[HostEntry] | Failure:
        """Return all hosts that the platform knows."""
        return [HostEntry(host=host, state=HostState.LIVE) for host in self._hosts]
