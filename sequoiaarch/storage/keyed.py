"""Say what a log with keyed, partitioned topics offers to the system."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

import msgspec

from ..errors import Failure
from ..ids import Offset


class KeyedRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one record; without a value it removes its key."""

    key: str
    value: bytes


class Partition(msgspec.Struct, frozen=True, kw_only=True):
    """Name one partition of a topic."""

    topic: str
    number: int


class Writer(msgspec.Struct, frozen=True, kw_only=True):
    """Identify an append so that the log can tell its repeats.

    A repeat of the same sequence gets the first answer again, and an older
    one that is carried out late is refused.
    """

    name: str
    epoch: int
    sequence: int


class KeyedPage(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the records from an offset on; `end` follows the newest one."""

    start: Offset
    end: Offset
    records: list[KeyedRecord]

    @property
    def next(self) -> Offset:
        """Return the offset after the last record of the page."""
        return Offset(self.start + len(self.records))


class ListedRecord(KeyedRecord, frozen=True, kw_only=True):
    """Hold a record with its place in the log."""

    offset: Offset


class NewestRecords(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the newest record of each key.

    The pages it was read in are no snapshot: reading on from `resume` shows
    every change that they may have missed.
    """

    records: list[ListedRecord]
    resume: Offset


class LogGap(Enum):
    """Say why records can't be read."""

    TRIMMED = "trimmed"


class KeyedLog(Protocol):
    """Append to and read from keyed topics."""

    async def append(
        self, partition: Partition, records: list[KeyedRecord], *, writer: Writer
    ) -> Offset | Failure:
        """Append all records or none; return the offset of the first."""

    async def append_at(
        self, partition: Partition, records: list[KeyedRecord], *, end: Offset
    ) -> bool | Failure:
        """Append if the partition still ends there; return whether it did.

        After a lost answer this may return False although it was done.
        """

    async def read(
        self, partition: Partition, start: Offset, *, wait: float
    ) -> KeyedPage | LogGap | Failure:
        """Read from an offset, waiting up to `wait` seconds for a record."""

    async def newest(self, partition: Partition) -> NewestRecords | Failure:
        """Read the newest record of each key."""
