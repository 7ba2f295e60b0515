"""Read the records of one partition and append to it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import logbook

from ..errors import Failure
from ..ids import Offset
from ..storage.keyed import KeyedLog, KeyedRecord, LogGap, Partition
from .appender import DEFAULT_LIMITS, Appender, AppendLimits
from .state import LedgerState

log = logbook.Logger("ledger")


class LedgerPartition:
    """View of one partition that is read only when it is needed."""

    def __init__(
        self,
        *,
        log: KeyedLog,
        partition: Partition,
        make_state: Callable[[], LedgerState],
        writer: str,
        limits: AppendLimits = DEFAULT_LIMITS,
    ) -> None:
        self._log = log
        self._partition = partition
        self._make_state = make_state
        self.state = make_state()
        self._cursor: Offset | None = None
        self._reading: asyncio.Task[bool] | None = None
        self._next_read: asyncio.Task[bool] | None = None
        self._appender = Appender(
            log=log,
            partition=partition,
            writer=writer,
            on_appended=self._apply_own,
            limits=limits,
        )

    @property
    def loaded(self) -> bool:
        """Return whether the partition has been read at all."""
        return self._cursor is not None

    @property
    def cursor(self) -> Offset:
        """Return the offset of the next record to apply, -1 before the first read."""
        return self._cursor if self._cursor is not None else Offset(-1)

    @property
    def unavailable(self) -> bool:
        """Return whether the store counts as unavailable, as appends keep failing."""
        return self._appender.unavailable

    @property
    def idle(self) -> bool:
        """Return whether no read or write is under way."""
        return self._appender.idle and self._reading is None and self._next_read is None

    async def sync(self) -> bool:
        """Apply all records up to the present end; return False if that fails."""
        if self._next_read is None:
            self._next_read = asyncio.create_task(self._read_after(self._reading))
        return await asyncio.shield(self._next_read)

    def append(self, record: KeyedRecord, *, urgent: bool) -> asyncio.Future[Offset]:
        """Queue a record; the future resolves to its offset once it is durable."""
        return self._appender.append(record, urgent=urgent)

    async def flush(self) -> None:
        """Wait until all queued records are written."""
        await self._appender.flush()

    async def close(self) -> None:
        """Stop writing; queued records are discarded."""
        await self._appender.close()

    def drop_turns(self) -> None:
        """Free the memory of turns; they are read again when needed."""
        self.state.drop_turns()
        self._cursor = None

    def forget(self) -> None:
        """Free all memory; the appender stays, as its sequence must continue."""
        self.state = self._make_state()
        self._cursor = None

    def _apply_own(self, offset: Offset, records: list[KeyedRecord]) -> None:
        """Apply own records at once if no unread records precede them.

        This saves the read that would otherwise tell whether a grant is valid.
        """
        if self._cursor != offset:
            return
        for record in records:
            self.state.apply(record.key, record.value)
        self._cursor = Offset(offset + len(records))

    async def _read_after(self, current: asyncio.Task[bool] | None) -> bool:
        if current is not None:
            await asyncio.wait([current])
        self._reading, self._next_read = self._next_read, None
        try:
            return await self._read_to_end()
        finally:
            if self._reading is asyncio.current_task():
                self._reading = None

    async def _load(self) -> bool:
        newest = await self._log.newest(self._partition)
        if isinstance(newest, Failure):
            return False
        for record in newest.records:
            self.state.apply(record.key, record.value, ordered=False)
        self._cursor = newest.resume
        return True

    async def _read_to_end(self) -> bool:
        while True:
            start = self._cursor
            if start is None:
                return await self._load()
            page = await self._log.read(self._partition, start, wait=0)
            if page is LogGap.TRIMMED:
                return await self._load()
            if isinstance(page, Failure | LogGap):
                return False
            self._apply(start, page.records)
            if self.cursor >= page.end:
                return True

    def _apply(self, start: Offset, records: list[KeyedRecord]) -> None:
        """Apply records from offset `start`, skipping those already applied."""
        if self._cursor is None:
            return
        for offset, record in enumerate(records, start):
            if offset == self._cursor:
                self.state.apply(record.key, record.value)
                self._cursor = Offset(offset + 1)
