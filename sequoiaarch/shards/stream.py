"""Tail one shard of the log and append to it in groups."""

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

READ_LIMIT = 512
READ_WAIT = 10.0
GROUP_BYTES = 1024 * 1024
BACKOFF_FIRST = 0.05
BACKOFF_LIMIT = 2.0


@dataclass(kw_only=True)
class _Pending:
    """Hold a record until its verdict is read."""

    record: ShardRecord
    data: bytes
    verdict: asyncio.Future[Verdict]
    attempted: bool = field(default=False)


def stream_name(shard: int) -> str:
    """Return the name of the stream that holds a shard."""
    return f"shard-{shard}"


class ShardStream:
    """Read one shard and append to it, several records at a time.

    One append is under way at a time; whatever arrives meanwhile goes into
    the next, so that the rate of appends stays bounded by `interval` while
    an idle shard appends at once.
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
        self._away = False
        self._first = Offset(0)
        self._tasks = [
            asyncio.create_task(self._tail()),
            asyncio.create_task(self._append_groups()),
        ]

    @property
    def view(self) -> ShardView:
        """Return the state that was read so far."""
        return self._view

    @property
    def unavailable(self) -> bool:
        """Return whether the log did not answer lately."""
        return self._away

    @property
    def first(self) -> Offset:
        """Return the oldest offset that the log keeps, as read last."""
        return self._first

    async def ready(self, timeout: float) -> bool:
        """Wait until the shard was read to its end once."""
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

        Without a timeout the record waits for as long as the log is away.
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
            return self._give_up(pending)

    def _give_up(self, pending: _Pending) -> Failure:
        if not pending.attempted:
            self._pending.pop(pending.record.id, None)
        return Failure(
            kind=ErrorKind.LOG_UNAVAILABLE,
            reason=f"the log did not take a record of {self._stream} in time",
            not_run=NotRun.UNKNOWN if pending.attempted else NotRun.YES,
        )

    async def read_through(self, offset: Offset, timeout: float) -> bool:
        """Wait until the record at an offset was read."""
        try:
            async with asyncio.timeout(timeout), self._advanced:
                await self._advanced.wait_for(lambda: self._view.next_offset > offset)
        except TimeoutError:
            return False
        return True

    async def fresh(self, timeout: float) -> bool:
        """Read to the end of the shard as it stands now."""
        page = await self._log.read(
            self._stream, self._view.next_offset, limit=1, wait=0.0
        )
        if isinstance(page, Failure):
            return False
        return await self.read_through(Offset(page.end - 1), timeout)

    def state(self, program: ProgramId) -> ProgramState | None:
        """Return what the log says of a program."""
        return self._view.state(program)

    async def commits(self, program: ProgramId, after: Seq) -> list[Commit] | Failure:
        """Return the commits of a program that follow a sequence number."""
        state = self._view.state(program)
        if state is None:
            return []
        found: dict[Seq, Commit] = {}
        for offset in state.entries:
            page = await self._log.read(self._stream, offset, limit=1, wait=0.0)
            if isinstance(page, Failure):
                return page
            if page.start != offset or not page.records:
                continue
            record = decode_record(page.records[0])
            for commit in _commits_in(record):
                if commit.program == program:
                    found[commit.seq] = commit
        return [found[seq] for seq in sorted(found) if seq > after]

    async def _tail(self) -> None:
        backoff = BACKOFF_FIRST
        while True:
            wait = READ_WAIT if self._ready.is_set() else 0.0
            page = await self._log.read(
                self._stream, self._view.next_offset, limit=READ_LIMIT, wait=wait
            )
            if isinstance(page, Failure):
                self._note_away(True)
                await asyncio.sleep(backoff * random.uniform(0.5, 1.0))
                backoff = min(backoff * 2, BACKOFF_LIMIT)
                continue
            backoff = BACKOFF_FIRST
            self._note_away(False)
            await self._fold(page)

    def _note_away(self, away: bool) -> None:
        if away != self._away:
            self._away = away
            text = "does not answer" if away else "answers again"
            log.warning("The log {} for {}.", text, self._stream)

    async def _fold(self, page: Page) -> None:
        self._first = page.first
        if page.start > self._view.next_offset:
            # What was not read has left retention: begin again from what is
            # left, where snapshots stand for the rest.
            log.warning("{} lost records before {}.", self._stream, page.first)
            self._view = ShardView(first_offset=page.start)
        self._apply(page.start, page.records)
        if self._view.conflicts:
            log.warning("{} is read anew: a late claim came first.", self._stream)
            snapshot_only = frozenset(self._view.conflicts)
            self._view = ShardView(first_offset=page.first, snapshot_only=snapshot_only)
            self._ready.clear()
        elif self._view.next_offset >= page.end:
            self._ready.set()
        async with self._advanced:
            self._advanced.notify_all()

    def _apply(self, start: Offset, records: list[bytes]) -> None:
        for place, data in enumerate(records):
            offset = Offset(start + place)
            if offset < self._view.next_offset:
                continue
            record = decode_record(data)
            if record is None:
                self._view.skip(offset)
                continue
            verdict = self._view.apply(offset, record)
            self._settle(verdict)

    def _settle(self, verdict: Verdict) -> None:
        pending = self._pending.pop(verdict.record, None)
        if pending is None:
            return
        self._metrics.records.inc({"verdict": verdict.refusal.value})
        if not pending.verdict.done():
            pending.verdict.set_result(verdict)

    async def _append_groups(self) -> None:
        await self._ready.wait()
        backoff = BACKOFF_FIRST
        while True:
            await self._arrived.wait()
            self._arrived.clear()
            while self._pending:
                group = self._group()
                offset = await self._log.append(
                    self._stream, [one.data for one in group]
                )
                if isinstance(offset, Failure):
                    self._metrics.appends.inc({"result": "failed"})
                    await self._recover(group, backoff)
                    backoff = min(backoff * 2, BACKOFF_LIMIT)
                    continue
                backoff = BACKOFF_FIRST
                self._metrics.appends.inc({"result": "taken"})
                await self._take(offset, group)
                await asyncio.sleep(self._interval)

    def _group(self) -> list[_Pending]:
        group: list[_Pending] = []
        size = 0
        for pending in self._pending.values():
            if group and size + len(pending.data) > GROUP_BYTES:
                break
            pending.attempted = True
            size += len(pending.data)
            group.append(pending)
        return group

    async def _take(self, offset: Offset, group: list[_Pending]) -> None:
        """Judge the records that were just appended.

        Their place is known, so they need not be read back where everything
        before them was read already.
        """
        if offset <= self._view.next_offset:
            self._apply(offset, [one.data for one in group])
            async with self._advanced:
                self._advanced.notify_all()
            return
        last = Offset(offset + len(group) - 1)
        while not await self.read_through(last, READ_WAIT):
            continue

    async def _recover(self, group: list[_Pending], backoff: float) -> None:
        """Find out whether an append without a reply took effect.

        The reply may be lost after the write. Reading to the end of the
        shard settles the records that stand there; only the others are
        appended again, and a second copy changes nothing anyway.
        """
        self._note_away(True)
        await asyncio.sleep(backoff * random.uniform(0.5, 1.0))
        await self.fresh(BACKOFF_LIMIT)

    def close(self) -> None:
        """Stop to read and append."""
        for task in self._tasks:
            task.cancel()


def _commits_in(record: ShardRecord | None) -> list[Commit]:
    if isinstance(record, Commit):
        return [record]
    if isinstance(record, Snapshot):
        return record.commits
    return []
