"""Say what the platform's services offer to the system."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

import msgspec

from ..errors import Failure
from ..ids import HostName, Offset


class Page(msgspec.Struct, frozen=True, kw_only=True):
    """Hold consecutive records of a stream.

    `first` is the oldest offset that the log still keeps; `start` is the
    offset of the first record in the page.
    """

    first: Offset
    start: Offset
    end: Offset
    records: list[bytes]


class AppendLog(Protocol):
    """Append to and read from the platform's log."""

    async def append(self, stream: str, records: list[bytes]) -> Offset | Failure:
        """Append records together and return the offset of the first.

        After a failure the records may or may not stand in the log.
        """

    async def read(
        self, stream: str, start: Offset, *, limit: int, wait: float
    ) -> Page | Failure:
        """Read from an offset, waiting up to `wait` seconds for a record."""


class HostState(Enum):
    """Say what the platform thinks of a host."""

    LIVE = "live"
    LEAVING = "leaving"


class HostEntry(msgspec.Struct, frozen=True, kw_only=True):
    """Name one host of the host list."""

    host: HostName
    state: HostState


class HostList(Protocol):
    """Read the platform's list of hosts, which lags."""

    async def hosts(self) -> list[HostEntry] | Failure:
        """Return all hosts that the platform knows."""


class WeightStore(Protocol):
    """Ask the rate-limited store of model weights."""

    async def reserve(self, model: str, version: str) -> float | Failure:
        """Reserve one load and return the seconds to wait before it."""
