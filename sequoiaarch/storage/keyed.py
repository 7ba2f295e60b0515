"""Interface of a log with keyed records in partitioned topics."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

import msgspec

from ..errors import Failure
from ..ids import Offset


class KeyedRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A record of a keyed topic; an empty value deletes its key."""

    key: str
    value: bytes


class Partition(msgspec.Struct, frozen=True, kw_only=True):
    """One partition of a topic."""

    topic: str
    number: int


class Writer(msgspec.Struct, frozen=True, kw_only=True):
    """Identity of an append, with which the log detects duplicates.

    A repeat of the latest sequence number gets the first reply again; a lower
    sequence number is rejected.
    """

    name: str
    epoch: int
    sequence: int


class KeyedPage(msgspec.Struct, frozen=True, kw_only=True):
    """Records from an offset on; `end` is the offset after the newest record."""

    start: Offset
    end: Offset
    records: list[KeyedRecord]

    @property
    def next(self) -> Offset:
        """Return the offset after the last record of the page."""
        return Offset(self.start + len(self.records))


class ListedRecord(KeyedRecord, frozen=True, kw_only=True):
    """A record with its offset in the log."""

    offset: Offset


class NewestRecords(msgspec.Struct, frozen=True, kw_only=True):
    """The newest record of each key.

    The records are not a consistent snapshot: to see every change that they
    may miss, read on from `resume`.
    """

    records: list[ListedRecord]
    resume: Offset


class LogGap(Enum):
    """Why records can't be read."""

    TRIMMED = "trimmed"


class KeyedLog(Protocol):
    """A log with keyed, partitioned topics."""

    async def append(
        self, partition: Partition, records: list[KeyedRecord], *, writer: Writer
    ) -> Offset | Failure:
        """Append records atomically; return the offset of the first."""

    async def append_at(
        self, partition: Partition, records: list[KeyedRecord], *, end: Offset
    ) -> bool | Failure:
        """Append if the partition ends at `end`; return whether it did.

        After a lost reply this may return False although the records were
        appended.
        """

    async def read(
        self, partition: Partition, start: Offset, *, wait: float
    ) -> KeyedPage | LogGap | Failure:
        """Read from an offset; wait up to `wait` seconds for a record."""

    async def newest(self, partition: Partition) -> NewestRecords | Failure:
        """Return the newest record of each key."""
