"""Interfaces of the platform's services: log, host list and weight store."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

import msgspec

from ..errors import Failure
from ..ids import HostName, Offset


class Page(msgspec.Struct, frozen=True, kw_only=True):
    """Consecutive records of a stream.

    `first` is the oldest offset that the log still retains, `start` the offset
    of the first record of the page, and `end` the offset after the stream's
    last record.
    """

    first: Offset
    start: Offset
    end: Offset
    records: list[bytes]


class AppendLog(Protocol):
    """The platform's append-only log."""

    async def append(self, stream: str, records: list[bytes]) -> Offset | Failure:
        """Append records atomically; return the offset of the first.

        After a failure the records may or may not be in the log.
        """

    async def read(
        self, stream: str, start: Offset, *, limit: int, wait: float
    ) -> Page | Failure:
        """Read from an offset; wait up to `wait` seconds for a record."""


class HostState(Enum):
    """State of a host in the platform's host list."""

    LIVE = "live"
    LEAVING = "leaving"


class HostEntry(msgspec.Struct, frozen=True, kw_only=True):
    """One host of the host list."""

    host: HostName
    state: HostState


class HostList(Protocol):
    """The platform's list of hosts, which is eventually consistent."""

    async def hosts(self) -> list[HostEntry] | Failure:
        """Return all hosts of the platform."""


class WeightStore(Protocol):
    """The platform's rate-limited store of model weights."""

    async def reserve(self, model: str, version: str) -> float | Failure:
        """Reserve one load of a model; return the seconds to wait before it."""
