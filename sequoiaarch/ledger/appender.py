"""Append records to one partition, one batch at a time."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import logbook
import msgspec

from ..errors import ErrorKind, Failure, FailureError
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
# Characters of a key in a log line.
MAX_KEY_SHOWN = 80
# Kinds of failure that a repeat can't mend: the store never takes the records.
PERMANENT_FAILURES = frozenset({ErrorKind.MALFORMED, ErrorKind.TOO_LARGE})


class AppendLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of the store, in bytes: of one record, and of all records of a call."""

    record: int
    call: int

    @property
    def batch(self) -> int:
        """Return the size from which on a batch takes no further record."""
        return max(1, min(MAX_BATCH_BYTES, self.call - self.record))


# Upper bound of the record bytes in one append, unless the store takes less.
MAX_BATCH_BYTES = 1024 * 1024
DEFAULT_LIMITS = AppendLimits(record=256 * 1024, call=2 * MAX_BATCH_BYTES)


@dataclass(kw_only=True, eq=False)
class _QueuedRecord:
    record: KeyedRecord
    durable: asyncio.Future[Offset]


class Appender:
    """Write queued records to a partition in order.

    An append without an answer is retried under the same sequence number, and nothing
    later is sent until it is answered: a delayed duplicate can't replace a newer record
    of the same key. A record that the store never takes ends with FailureError, and
    those behind it are written.
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
        limits: AppendLimits = DEFAULT_LIMITS,
    ) -> None:
        self._limits = limits
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
        if isinstance(offset, Failure):
            await self._reject(batch, offset)
            return
        self._on_appended(offset, records)
        for index, queued in enumerate(batch):
            if not queued.durable.done():
                queued.durable.set_result(Offset(offset + index))

    async def _reject(self, batch: list[_QueuedRecord], failure: Failure) -> None:
        """End the record that the store never takes, and write the others alone."""
        if len(batch) > 1:
            for queued in batch:
                await self._write_batch([queued])
            return
        queued = batch[0]
        log.error(
            "record {} of {} bytes is given up, {} never takes it: {}",
            queued.record.key[:MAX_KEY_SHOWN],
            len(queued.record.value),
            self._partition,
            failure.reason,
        )
        if not queued.durable.done():
            queued.durable.add_done_callback(_retrieve_exception)
            reason = f"the store never takes the record: {failure.reason}"
            error = Failure(kind=ErrorKind.INTERRUPTED, reason=reason)
            queued.durable.set_exception(FailureError(error))

    def _next_batch(self) -> list[_QueuedRecord]:
        batch: list[_QueuedRecord] = []
        size = 0
        while self._queue and size < self._limits.batch:
            queued = self._queue.popleft()
            size += len(queued.record.value)
            batch.append(queued)
        if not self._queue:
            self._urgent.clear()
        return batch

    async def _append_until_done(self, records: list[KeyedRecord]) -> Offset | Failure:
        """Append, with retries; return a failure only if the store never takes it."""
        writer = Writer(name=self._writer, epoch=1, sequence=self._sequence)
        self._sequence += 1
        delay = MIN_RETRY_DELAY
        loop = asyncio.get_running_loop()
        while True:
            answer = await self._log.append(self._partition, records, writer=writer)
            if not isinstance(answer, Failure):
                self._failing_since = None
                return answer
            if answer.kind in PERMANENT_FAILURES:
                # Nothing was stored under the sequence number.
                self._sequence -= 1
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


def _retrieve_exception(durable: asyncio.Future[Offset]) -> None:
    """Mark the failure of a record as seen, as nobody waits for some records."""
    if not durable.cancelled():
        durable.exception()
