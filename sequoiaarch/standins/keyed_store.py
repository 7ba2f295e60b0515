"""Simulate a store of keyed topics, with fault injection per client."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

from ..errors import ErrorKind, Failure
from ..ids import Offset
from ..storage.keyed import (
    KeyedPage,
    KeyedRecord,
    ListedRecord,
    LogGap,
    NewestRecords,
    Partition,
    Writer,
)

# A repeated append gets its first answer if it is among this many latest appends.
REMEMBERED_APPENDS = 5


@dataclass(kw_only=True)
class StoreFaults:
    """Faults to inject into the calls of one client; times in seconds.

    `lost_replies` appends get an error as their reply and are carried out anyway,
    after `append_delay`.
    """

    down: bool = False
    delay: float = 0.0
    lost_replies: int = 0
    append_delay: float = 0.0


@dataclass(kw_only=True)
class _Producer:
    epoch: int = -1
    sequence: int = -1
    offsets: dict[int, Offset] = field(default_factory=dict)


@dataclass(kw_only=True)
class _Topic:
    records: list[KeyedRecord] = field(default_factory=list)
    first: int = 0
    newest: dict[str, ListedRecord] = field(default_factory=dict)
    producers: dict[str, _Producer] = field(
        default_factory=lambda: defaultdict(_Producer)
    )

    @property
    def end(self) -> int:
        """Return the offset of the next record."""
        return self.first + len(self.records)


class KeyedStore:
    """Topics in memory, used through clients that inject faults."""

    def __init__(self) -> None:
        self._topics: dict[Partition, _Topic] = defaultdict(_Topic)
        self._appended = asyncio.Condition()
        self.appends = 0
        self.listings = 0
        # Larger records are refused; None for no limit.
        self.record_bytes: int | None = None

    def client(self) -> KeyedStoreClient:
        """Create a client without faults."""
        return KeyedStoreClient(store=self)

    def compact(self) -> None:
        """Drop all records but the newest of each key."""
        for topic in self._topics.values():
            topic.first = topic.end
            topic.records.clear()

    def records(self, *, but: str) -> list[KeyedRecord]:
        """Return the records of all topics except one."""
        return [
            record
            for partition, topic in self._topics.items()
            if partition.topic != but
            for record in topic.records
        ]

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Write a record to the first partition of a topic, without a writer."""
        await self.add(Partition(topic=topic, number=0), key, value)

    async def add(self, partition: Partition, key: str, value: bytes) -> None:
        """Write one record without a writer."""
        await self._store(partition, [KeyedRecord(key=key, value=value)])

    async def append(
        self, partition: Partition, records: list[KeyedRecord], writer: Writer
    ) -> Offset | Failure:
        """Append once per sequence number, and reject older epochs and gaps."""
        largest = max(len(record.value) for record in records)
        if self.record_bytes is not None and largest > self.record_bytes:
            return Failure(kind=ErrorKind.TOO_LARGE, reason=f"{largest} bytes")
        producer = self._topics[partition].producers[writer.name]
        if writer.epoch < producer.epoch:
            return _failure("fenced")
        if writer.epoch == producer.epoch:
            if writer.sequence in producer.offsets:
                return producer.offsets[writer.sequence]
            if writer.sequence != producer.sequence + 1:
                return _failure(f"expected sequence {producer.sequence + 1}")
        offset = await self._store(partition, records)
        self.appends += 1
        producer.epoch = writer.epoch
        producer.sequence = writer.sequence
        producer.offsets[writer.sequence] = offset
        for old in sorted(producer.offsets)[:-REMEMBERED_APPENDS]:
            del producer.offsets[old]
        return offset

    async def append_at(
        self, partition: Partition, records: list[KeyedRecord], end: Offset
    ) -> bool:
        """Append if the partition ends at an offset; return whether it did."""
        if self._topics[partition].end != end:
            return False
        await self._store(partition, records)
        return True

    async def read(
        self, partition: Partition, start: Offset, wait: float
    ) -> KeyedPage | LogGap:
        """Read from an offset, waiting up to `wait` seconds for a record."""
        topic = self._topics[partition]
        if wait > 0 and topic.end <= start:
            try:
                async with asyncio.timeout(wait), self._appended:
                    await self._appended.wait_for(lambda: topic.end > start)
            except TimeoutError:
                pass
        if start < topic.first:
            return LogGap.TRIMMED
        records = topic.records[start - topic.first :]
        return KeyedPage(start=start, end=Offset(topic.end), records=records)

    def newest(self, partition: Partition) -> NewestRecords:
        """Return the newest record of each key."""
        topic = self._topics[partition]
        self.listings += 1
        return NewestRecords(
            records=list(topic.newest.values()), resume=Offset(topic.end)
        )

    async def _store(self, partition: Partition, records: list[KeyedRecord]) -> Offset:
        async with self._appended:
            topic = self._topics[partition]
            offset = Offset(topic.end)
            for record in records:
                record_offset = Offset(topic.end)
                topic.records.append(record)
                topic.newest.pop(record.key, None)
                if record.value:
                    topic.newest[record.key] = ListedRecord(
                        key=record.key, value=record.value, offset=record_offset
                    )
            self._appended.notify_all()
        return offset


class KeyedStoreClient:
    """One client's access to the store, with its own faults."""

    def __init__(self, *, store: KeyedStore) -> None:
        self._store = store
        self.faults = StoreFaults()
        self.reads = 0
        self._delayed_appends: set[asyncio.Task[None]] = set()

    async def append(
        self, partition: Partition, records: list[KeyedRecord], *, writer: Writer
    ) -> Offset | Failure:
        """Append all records or none; return the offset of the first."""
        if await self._inject_faults():
            return _failure("down")
        if self.faults.lost_replies > 0:
            self._append_late(self._store.append(partition, records, writer))
            return _failure("the reply was lost")
        return await self._store.append(partition, records, writer)

    async def append_at(
        self, partition: Partition, records: list[KeyedRecord], *, end: Offset
    ) -> bool | Failure:
        """Append if the partition still ends at an offset; return whether it did."""
        if await self._inject_faults():
            return _failure("down")
        if self.faults.lost_replies > 0:
            self._append_late(self._store.append_at(partition, records, end))
            return _failure("the reply was lost")
        return await self._store.append_at(partition, records, end)

    async def read(
        self, partition: Partition, start: Offset, *, wait: float
    ) -> KeyedPage | LogGap | Failure:
        """Read from an offset, waiting up to `wait` seconds for a record."""
        self.reads += 1
        if await self._inject_faults():
            return _failure("down")
        return await self._store.read(partition, start, wait)

    async def newest(self, partition: Partition) -> NewestRecords | Failure:
        """Read the newest record of each key."""
        if await self._inject_faults():
            return _failure("down")
        return self._store.newest(partition)

    def _append_late(self, append: Coroutine[Any, Any, Any]) -> None:
        """Carry out an append after the delay, whose reply is lost."""
        self.faults.lost_replies -= 1

        async def carry_out(delay: float) -> None:
            await asyncio.sleep(delay)
            await append

        delayed = asyncio.create_task(carry_out(self.faults.append_delay))
        self._delayed_appends.add(delayed)
        delayed.add_done_callback(self._delayed_appends.discard)

    async def _inject_faults(self) -> bool:
        if self.faults.delay:
            await asyncio.sleep(self.faults.delay)
        return self.faults.down


def _failure(reason: str) -> Failure:
    return Failure(kind=ErrorKind.LOG_UNAVAILABLE, reason=reason)
