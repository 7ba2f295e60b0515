"""Append to one partition, one append at a time."""

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

# Records that no caller waits for ride along with the next append, at the
# latest after this time: half of the second within which a budget may count
# an ended turn at its most. Seconds.
GATHER_SECONDS = 0.4
RETRY_SECONDS = 0.05
RETRY_LIMIT_SECONDS = 0.5
# Appends that fail for longer than this mean that the store is away. Seconds.
AWAY_AFTER_SECONDS = 0.3
# Bytes of records in one append, well below what one call may carry.
BATCH_BYTES = 1024 * 1024


@dataclass(kw_only=True, eq=False)
class _Queued:
    record: KeyedRecord
    done: asyncio.Future[Offset]


class Appender:
    """Write what is queued for a partition.

    An append whose answer was lost is sent again with the same sequence until
    it is answered. Nothing later is sent before, so a copy that the store
    carries out seconds later can't replace a newer record of the same key.
    """

    def __init__(
        self,
        *,
        log: KeyedLog,
        partition: Partition,
        writer: str,
        appended: Callable[[Offset, list[KeyedRecord]], None] = lambda at, batch: None,
    ) -> None:
        self._log = log
        self._partition = partition
        self._writer = writer
        self._appended = appended
        self._sequence = 0
        self._queue: deque[_Queued] = deque()
        self._urgent = asyncio.Event()
        self._stuck_since: float | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def idle(self) -> bool:
        """Return whether nothing is queued or under way."""
        return self._task is None

    @property
    def stuck(self) -> bool:
        """Return whether appends have failed for so long that the store is away."""
        if self._stuck_since is None:
            return False
        now = asyncio.get_running_loop().time()
        return now > self._stuck_since + AWAY_AFTER_SECONDS

    def append(self, record: KeyedRecord, *, urgent: bool) -> asyncio.Future[Offset]:
        """Queue a record; the future holds its offset once it is durable."""
        done: asyncio.Future[Offset] = asyncio.get_running_loop().create_future()
        self._queue.append(_Queued(record=record, done=done))
        if urgent:
            self._urgent.set()
        if self._task is None:
            self._task = asyncio.create_task(self._write())
        return done

    async def flush(self) -> None:
        """Wait until all that is queued was written."""
        self._urgent.set()
        if self._task is not None:
            await asyncio.wait([self._task])

    async def close(self) -> None:
        """Stop to write; what is still queued is lost."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait([self._task])

    async def _write(self) -> None:
        try:
            while self._queue:
                try:
                    async with asyncio.timeout(GATHER_SECONDS):
                        await self._urgent.wait()
                except TimeoutError:
                    pass
                await self._write_batch(self._take())
        finally:
            self._task = None

    async def _write_batch(self, batch: list[_Queued]) -> None:
        records = [queued.record for queued in batch]
        offset = await self._append_until_done(records)
        self._appended(offset, records)
        for place, queued in enumerate(batch):
            if not queued.done.done():
                queued.done.set_result(Offset(offset + place))

    def _take(self) -> list[_Queued]:
        batch: list[_Queued] = []
        size = 0
        while self._queue and size < BATCH_BYTES:
            queued = self._queue.popleft()
            size += len(queued.record.value)
            batch.append(queued)
        if not self._queue:
            self._urgent.clear()
        return batch

    async def _append_until_done(self, records: list[KeyedRecord]) -> Offset:
        writer = Writer(name=self._writer, epoch=1, sequence=self._sequence)
        self._sequence += 1
        pause = RETRY_SECONDS
        loop = asyncio.get_running_loop()
        while True:
            answer = await self._log.append(self._partition, records, writer=writer)
            if not isinstance(answer, Failure):
                self._stuck_since = None
                return answer
            if self._stuck_since is None:
                self._stuck_since = loop.time()
                log.warning("append to {} fails: {}", self._partition, answer.reason)
            await asyncio.sleep(pause)
            pause = min(2 * pause, RETRY_LIMIT_SECONDS)
