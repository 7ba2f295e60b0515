"""Append to one partition of the ledger and read it on."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass

import logbook

from ..errors import Failure
from ..ids import Offset
from ..storage.keyed import KeyedLog, KeyedRecord, LogGap, Partition, Writer
from .state import LedgerState

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


class LedgerPartition:
    """Follow one partition and write to it, one append at a time.

    An append whose answer was lost is sent again with the same sequence until
    it is answered. Nothing later is sent before, so a copy that the store
    carries out seconds later can't replace a newer record of the same turn.
    """

    def __init__(
        self, *, log: KeyedLog, partition: Partition, state: LedgerState, writer: str
    ) -> None:
        self._log = log
        self._partition = partition
        self._state = state
        self._writer = writer
        self._sequence = 0
        self._cursor: Offset | None = None
        self._reading: asyncio.Task[bool] | None = None
        self._next_read: asyncio.Task[bool] | None = None
        self._queue: deque[_Queued] = deque()
        self._urgent = asyncio.Event()
        self._filled = asyncio.Event()
        self._last: asyncio.Future[Offset] | None = None
        self._stuck_since: float | None = None
        self._appender: asyncio.Task[None] | None = None

    @property
    def loaded(self) -> bool:
        """Return whether everything written before the start was read."""
        return self._cursor is not None

    @property
    def cursor(self) -> Offset:
        """Return the offset up to which records were applied."""
        return self._cursor if self._cursor is not None else Offset(-1)

    @property
    def stuck(self) -> bool:
        """Return whether appends have failed for so long that the store is away."""
        if self._stuck_since is None:
            return False
        now = asyncio.get_running_loop().time()
        return now > self._stuck_since + AWAY_AFTER_SECONDS

    def start(self) -> None:
        """Start to write what is queued."""
        self._appender = asyncio.create_task(self._write_on())

    async def load(self) -> bool:
        """Read the newest records; return whether that succeeded."""
        newest = await self._log.newest(self._partition)
        if isinstance(newest, Failure):
            log.warning(
                "partition {} not loaded: {}", self._partition.number, newest.reason
            )
            return False
        for record in newest.records:
            self._state.apply(record.key, record.value, ordered=False)
        self._cursor = newest.resume
        log.info(
            "partition {} loaded: {} records, offset {}",
            self._partition.number,
            len(newest.records),
            newest.resume,
        )
        return True

    async def sync(self) -> bool:
        """Apply all that stood in the log when called; False if it can't be read."""
        if self._next_read is None:
            self._next_read = asyncio.create_task(self._read_after(self._reading))
        return await asyncio.shield(self._next_read)

    def append(self, record: KeyedRecord, *, urgent: bool) -> asyncio.Future[Offset]:
        """Queue a record; the future holds its offset once it is durable."""
        done: asyncio.Future[Offset] = asyncio.get_running_loop().create_future()
        self._queue.append(_Queued(record=record, done=done))
        self._last = done
        self._filled.set()
        if urgent:
            self._urgent.set()
        return done

    async def flush(self) -> None:
        """Wait until all that is queued was written."""
        self._urgent.set()
        if self._last is not None:
            await asyncio.wait([self._last])

    async def close(self) -> None:
        """Stop to write; what is still queued is lost."""
        if self._appender is not None:
            self._appender.cancel()
            await asyncio.wait([self._appender])

    async def _read_after(self, current: asyncio.Task[bool] | None) -> bool:
        if current is not None:
            await asyncio.wait([current])
        self._reading, self._next_read = self._next_read, None
        return await self._read_to_end()

    async def _read_to_end(self) -> bool:
        if self._cursor is None:
            return await self.load()
        while True:
            page = await self._log.read(self._partition, self._cursor, wait=0)
            if page is LogGap.TRIMMED:
                return await self.load()
            if isinstance(page, Failure | LogGap):
                return False
            for record in page.records:
                self._state.apply(record.key, record.value)
            self._cursor = page.next
            if self._cursor >= page.end:
                return True

    async def _write_on(self) -> None:
        while True:
            await self._filled.wait()
            try:
                async with asyncio.timeout(GATHER_SECONDS):
                    await self._urgent.wait()
            except TimeoutError:
                pass
            batch = self._take()
            offset = await self._append_until_done(batch)
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
            self._filled.clear()
            self._urgent.clear()
        return batch

    async def _append_until_done(self, batch: list[_Queued]) -> Offset:
        records = [queued.record for queued in batch]
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
                log.warning(
                    "append to partition {} fails: {}",
                    self._partition.number,
                    answer.reason,
                )
            await asyncio.sleep(pause)
            pause = min(2 * pause, RETRY_LIMIT_SECONDS)
