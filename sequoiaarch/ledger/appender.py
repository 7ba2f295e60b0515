"""Append records to one partition, one batch at a time."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import logbook

from ..errors import Failure
from ..ids import Offset
from ..storage.keyed import KeyedLog, KeyedRecord, Partition, Writer

log = logbook.Logger("ledger")

# Longest delay of records that no caller waits for; they go out with the next urgent
# record. Stays below `RELEASE_TIMEOUT` of the budgets, within which unused grants must
# be released. Seconds.
MAX_BATCH_DELAY = 0.4
MIN_RETRY_DELAY = 0.05
MAX_RETRY_DELAY = 0.5
# After this long without a successful append the store counts as unavailable. Seconds.
UNAVAILABLE_AFTER = 0.3
# Upper bound of the record bytes in one append.
MAX_BATCH_BYTES = 1024 * 1024


@dataclass(kw_only=True, eq=False)
class _QueuedRecord:
    record: KeyedRecord
    durable: asyncio.Future[Offset]


class Appender:
    """Write queued records to a partition in order.

    An append without an answer is retried under the same sequence number, and nothing
    later is sent until it is answered: a delayed duplicate can't replace a newer record
    of the same key.
    """

    def __init__(
        self,
        *,
        log: KeyedLog,
        partition: Partition,
        writer: str,
        on_appended: Callable[[Offset, list[KeyedRecord]], None] = lambda at, batch: (
            None
        ),
    ) -> None:
        self._log = log
        self._partition = partition
        self._writer = writer
        self._on_appended = on_appended
        self._sequence = 0
        self._queue: deque[_QueuedRecord] = deque()
        self._urgent = asyncio.Event()
        self._failing_since: float | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def idle(self) -> bool:
        """Return whether nothing is queued or being written."""
        return self._task is None

    @property
    def unavailable(self) -> bool:
        """Return whether appends have failed for `UNAVAILABLE_AFTER` or longer."""
        if self._failing_since is None:
            return False
        now = asyncio.get_running_loop().time()
        return now > self._failing_since + UNAVAILABLE_AFTER

    def append(self, record: KeyedRecord, *, urgent: bool) -> asyncio.Future[Offset]:
        """Queue a record; the future resolves to its offset once it is durable."""
        durable: asyncio.Future[Offset] = asyncio.get_running_loop().create_future()
        self._queue.append(_QueuedRecord(record=record, durable=durable))
        if urgent:
            self._urgent.set()
        if self._task is None:
            self._task = asyncio.create_task(self._write())
        return durable

    async def flush(self) -> None:
        """Wait until all queued records are written."""
        self._urgent.set()
        if self._task is not None:
            await asyncio.wait([self._task])

    async def close(self) -> None:
        """Stop writing; queued records are discarded."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait([self._task])

    async def _write(self) -> None:
        try:
            while self._queue:
                try:
                    async with asyncio.timeout(MAX_BATCH_DELAY):
                        await self._urgent.wait()
                except TimeoutError:
                    pass
                await self._write_batch(self._next_batch())
        finally:
            self._task = None

    async def _write_batch(self, batch: list[_QueuedRecord]) -> None:
        records = [queued.record for queued in batch]
        offset = await self._append_until_done(records)
        self._on_appended(offset, records)
        for index, queued in enumerate(batch):
            if not queued.durable.done():
                queued.durable.set_result(Offset(offset + index))

    def _next_batch(self) -> list[_QueuedRecord]:
        batch: list[_QueuedRecord] = []
        size = 0
        while self._queue and size < MAX_BATCH_BYTES:
            queued = self._queue.popleft()
            size += len(queued.record.value)
            batch.append(queued)
        if not self._queue:
            self._urgent.clear()
        return batch

    async def _append_until_done(self, records: list[KeyedRecord]) -> Offset:
        writer = Writer(name=self._writer, epoch=1, sequence=self._sequence)
        self._sequence += 1
        delay = MIN_RETRY_DELAY
        loop = asyncio.get_running_loop()
        while True:
            answer = await self._log.append(self._partition, records, writer=writer)
            if not isinstance(answer, Failure):
                self._failing_since = None
                return answer
            if self._failing_since is None:
                self._failing_since = loop.time()
                log.warning(
                    "append to {} failed and is retried: {}",
                    self._partition,
                    answer.reason,
                )
            await asyncio.sleep(delay)
            delay = min(2 * delay, MAX_RETRY_DELAY)
