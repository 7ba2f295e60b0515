"""Follow one shard of the log and append records to it in batches."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

import logbook

from ..errors import ErrorKind, Failure, NotRun
from ..ids import Offset, ProgramId, RecordId, Seq
from ..observe.metrics import Metrics
from ..records.acceptance import ShardView, Verdict
from ..records.codec import decode_record, encode_record
from ..records.types import Commit, ProgramState, ShardRecord, Snapshot
from ..storage.interfaces import AppendLog, Page

log = logbook.Logger("shard")

MAX_READ_RECORDS = 512
LONG_POLL_TIMEOUT = 10.0  # seconds
MAX_BATCH_BYTES = 1024 * 1024
MIN_BACKOFF = 0.05  # seconds
MAX_BACKOFF = 2.0  # seconds


@dataclass(kw_only=True)
class _Pending:
    """Submitted record that waits for its verdict."""

    record: ShardRecord
    data: bytes
    verdict: asyncio.Future[Verdict]
    attempted: bool = field(default=False)


def stream_name(shard: int) -> str:
    """Return the name of a shard's stream in the log."""
    return f"shard-{shard}"


class ShardStream:
    """Follow one shard and append records to it in batches.

    Only one append runs at a time; records submitted meanwhile go into the next batch.
    `interval` is the pause between appends in seconds; an idle shard appends at once.
    """

    def __init__(
        self,
        *,
        log_service: AppendLog,
        shard: int,
        interval: float,
        metrics: Metrics,
    ) -> None:
        self._log = log_service
        self._shard = shard
        self._stream = stream_name(shard)
        self._interval = interval
        self._metrics = metrics
        self._view = ShardView()
        self._ready = asyncio.Event()
        self._advanced = asyncio.Condition()
        self._pending: dict[RecordId, _Pending] = {}
        self._arrived = asyncio.Event()
        self._unavailable = False
        self._first_offset = Offset(0)
        self._tasks = [
            asyncio.create_task(self._read_loop()),
            asyncio.create_task(self._append_loop()),
        ]

    @property
    def view(self) -> ShardView:
        """Return the state derived from the records read so far."""
        return self._view

    @property
    def unavailable(self) -> bool:
        """Return whether the last request to the log failed."""
        return self._unavailable

    @property
    def first_offset(self) -> Offset:
        """Return the oldest offset in the log, as of the last read."""
        return self._first_offset

    async def wait_ready(self, timeout: float) -> bool:
        """Wait until the shard is read to its end once; return False on timeout."""
        try:
            async with asyncio.timeout(timeout):
                await self._ready.wait()
        except TimeoutError:
            return False
        return True

    async def submit(
        self, record: ShardRecord, *, timeout: float | None
    ) -> Verdict | Failure:
        """Append a record and return the verdict on it.

        If `timeout` is None, wait as long as the log is unavailable.
        """
        known = self._view.verdict(record.id)
        if known is not None:
            return known
        pending = self._pending.get(record.id)
        if pending is None:
            pending = _Pending(
                record=record,
                data=encode_record(record),
                verdict=asyncio.get_running_loop().create_future(),
            )
            self._pending[record.id] = pending
            self._arrived.set()
        try:
            async with asyncio.timeout(timeout):
                return await asyncio.shield(pending.verdict)
        except TimeoutError:
            return self._abandon(pending)

    def _abandon(self, pending: _Pending) -> Failure:
        """Return the failure of a timed out record; drop it if it was never sent."""
        if not pending.attempted:
            self._pending.pop(pending.record.id, None)
        return Failure(
            kind=ErrorKind.LOG_UNAVAILABLE,
            reason=f"appending a record to {self._stream} timed out",
            not_run=NotRun.UNKNOWN if pending.attempted else NotRun.YES,
        )

    async def wait_read(self, offset: Offset, timeout: float) -> bool:
        """Wait until the record at an offset is read; return False on timeout."""
        try:
            async with asyncio.timeout(timeout), self._advanced:
                await self._advanced.wait_for(lambda: self._view.next_offset > offset)
        except TimeoutError:
            return False
        return True

    async def read_to_end(self, timeout: float) -> bool:
        """Wait until the present end of the shard is read; return False on failure."""
        page = await self._log.read(
            self._stream, self._view.next_offset, limit=1, wait=0.0
        )
        if isinstance(page, Failure):
            return False
        return await self.wait_read(Offset(page.end - 1), timeout)

    def state(self, program: ProgramId) -> ProgramState | None:
        """Return the state of a program, or None if it is unknown."""
        return self._view.state(program)

    async def commits(self, program: ProgramId, after: Seq) -> list[Commit] | Failure:
        """Return the commits of a program after a sequence number, in order."""
        state = self._view.state(program)
        if state is None:
            return []
        commits_by_seq: dict[Seq, Commit] = {}
        for offset in state.entries:
            page = await self._log.read(self._stream, offset, limit=1, wait=0.0)
            if isinstance(page, Failure):
                return page
            if page.start != offset or not page.records:
                continue
            record = decode_record(page.records[0])
            for commit in _commits_in(record):
                if commit.program == program:
                    commits_by_seq[commit.seq] = commit
        return [commits_by_seq[seq] for seq in sorted(commits_by_seq) if seq > after]

    async def _read_loop(self) -> None:
        backoff = MIN_BACKOFF
        while True:
            wait = LONG_POLL_TIMEOUT if self._ready.is_set() else 0.0
            page = await self._log.read(
                self._stream, self._view.next_offset, limit=MAX_READ_RECORDS, wait=wait
            )
            if isinstance(page, Failure):
                self._set_unavailable(True)
                await asyncio.sleep(backoff * random.uniform(0.5, 1.0))
                backoff = min(backoff * 2, MAX_BACKOFF)
                continue
            backoff = MIN_BACKOFF
            self._set_unavailable(False)
            await self._apply_page(page)

    def _set_unavailable(self, unavailable: bool) -> None:
        if unavailable != self._unavailable:
            self._unavailable = unavailable
            change = "does not answer" if unavailable else "answers again"
            log.warning("The log {} for {}.", change, self._stream)

    async def _apply_page(self, page: Page) -> None:
        self._first_offset = page.first
        if page.start > self._view.next_offset:
            # The log was trimmed past the reader; snapshots replace what is missing.
            log.warning(
                "{}: records before {} were trimmed before they were read.",
                self._stream,
                page.first,
            )
            self._view = ShardView(first_offset=page.start)
        self._apply_records(page.start, page.records)
        if self._view.conflicts:
            log.warning(
                "{} is read again: a snapshot contradicts an earlier claim.",
                self._stream,
            )
            snapshot_only = frozenset(self._view.conflicts)
            self._view = ShardView(first_offset=page.first, snapshot_only=snapshot_only)
            self._ready.clear()
        elif self._view.next_offset >= page.end:
            self._ready.set()
        async with self._advanced:
            self._advanced.notify_all()

    def _apply_records(self, start: Offset, records: list[bytes]) -> None:
        for index, data in enumerate(records):
            offset = Offset(start + index)
            if offset < self._view.next_offset:
                continue
            record = decode_record(data)
            if record is None:
                self._view.skip(offset)
                continue
            verdict = self._view.apply(offset, record)
            self._resolve(verdict)

    def _resolve(self, verdict: Verdict) -> None:
        pending = self._pending.pop(verdict.record, None)
        if pending is None:
            return
        self._metrics.records.inc({"verdict": verdict.refusal.value})
        if not pending.verdict.done():
            pending.verdict.set_result(verdict)

    async def _append_loop(self) -> None:
        await self._ready.wait()
        backoff = MIN_BACKOFF
        while True:
            await self._arrived.wait()
            self._arrived.clear()
            while self._pending:
                batch = self._next_batch()
                offset = await self._log.append(
                    self._stream, [pending.data for pending in batch]
                )
                if isinstance(offset, Failure):
                    self._metrics.appends.inc({"result": "failed"})
                    await self._resolve_lost_reply(batch, backoff)
                    backoff = min(backoff * 2, MAX_BACKOFF)
                    continue
                backoff = MIN_BACKOFF
                self._metrics.appends.inc({"result": "taken"})
                await self._apply_appended(offset, batch)
                await asyncio.sleep(self._interval)

    def _next_batch(self) -> list[_Pending]:
        batch: list[_Pending] = []
        size = 0
        for pending in self._pending.values():
            if batch and size + len(pending.data) > MAX_BATCH_BYTES:
                break
            pending.attempted = True
            size += len(pending.data)
            batch.append(pending)
        return batch

    async def _apply_appended(self, offset: Offset, batch: list[_Pending]) -> None:
        """Apply records that were just appended, or wait until they are read.

        They are applied directly if all records before them have been read.
        """
        if offset <= self._view.next_offset:
            self._apply_records(offset, [pending.data for pending in batch])
            async with self._advanced:
                self._advanced.notify_all()
            return
        last = Offset(offset + len(batch) - 1)
        while not await self.wait_read(last, LONG_POLL_TIMEOUT):
            continue

    async def _resolve_lost_reply(self, batch: list[_Pending], backoff: float) -> None:
        """Read the shard to its end after a failed append.

        The append may have succeeded with its reply lost. Records found in the log
        get their verdicts; only the others are appended again.
        """
        self._set_unavailable(True)
        await asyncio.sleep(backoff * random.uniform(0.5, 1.0))
        await self.read_to_end(MAX_BACKOFF)

    def close(self) -> None:
        """Stop reading and appending."""
        for task in self._tasks:
            task.cancel()


def _commits_in(record: ShardRecord | None) -> list[Commit]:
    if isinstance(record, Commit):
        return [record]
    if isinstance(record, Snapshot):
        return record.commits
    return []
