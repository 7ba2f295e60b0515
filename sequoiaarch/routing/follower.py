"""Follow the changes of a keyed topic."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Sequence
from typing import Any

import logbook

from ..errors import Failure
from ..ids import Offset
from ..reply_timeout import reply_clock
from ..storage.keyed import (
    KeyedLog,
    KeyedPage,
    ListedRecord,
    LogGap,
    NewestRecords,
    Partition,
)

log = logbook.Logger("follower")

# Maximum time for which a read waits for changes. Seconds.
WAIT_SECONDS = 2.0
# A read that waits gets its answer at the latest this long after its wait, also from a
# slow store; after that it is checked by reads that don't wait. Seconds.
LATE_SECONDS = 0.3
# Seconds between these reads.
CHECK_INTERVAL = 0.25
# Number of open reads above which the oldest is given up: no earlier than the limit of
# a direct read, 1 s, as the store may be slow.
MAX_READS = 5
# Seconds without an answer to any read after which the topic is lost.
LOST_SECONDS = 0.7
RETRY_INTERVAL = 0.2
# A read that takes this much longer than it may wait is logged. Seconds.
SLOW_READ_SECONDS = 0.5
# Characters of a key in a log line.
MAX_KEY_SHOWN = 80

Answer = KeyedPage | NewestRecords | LogGap


def boottime_clock() -> float:
    """Return the seconds since the machine started, including suspends."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class TopicFollower:
    """Read a snapshot of a topic and then its changes.

    Each read is followed by a delay of `batch_delay` seconds, so that frequent
    heartbeats don't cost a call each. A read waits up to `wait` seconds for a change.
    One that gets no answer may be on a dead connection; it delays changes only until
    further reads begin beside it. The topic is lost if none of them is answered.

    After each read up to the end of the topic `on_read` is called with the time at
    which it began.
    """

    def __init__(
        self,
        *,
        log: KeyedLog,
        topic: str,
        replace: Callable[[Sequence[ListedRecord]], None],
        apply: Callable[[ListedRecord], None],
        batch_delay: float = 0.0,
        wait: float = WAIT_SECONDS,
        on_lost: Callable[[], None] = lambda: None,
        on_regained: Callable[[], None] = lambda: None,
        on_read: Callable[[float], None] = lambda since: None,
    ) -> None:
        self._log = log
        self._partition = Partition(topic=topic, number=0)
        self._replace = replace
        self._apply = apply
        self.batch_delay = batch_delay
        self._wait = wait
        self._on_lost = on_lost
        self._on_regained = on_regained
        self._on_read = on_read
        self._cursor: Offset | None = None
        self._unavailable = False
        self._at_end = True
        self._failure = ""
        # Open reads by their start, by boottime_clock.
        self._reads: dict[asyncio.Task[Answer | Failure], float] = {}
        # Done when a read is wanted at once.
        self._hurried: asyncio.Future[None] | None = None
        self._waiters: list[asyncio.Future[None]] = []
        # Start of the last read up to the end of the topic, by boottime_clock: the
        # topic is known as of this time.
        self.as_of = float("-inf")

    @property
    def unavailable(self) -> bool:
        """Return whether the topic is lost: no read is answered."""
        return self._unavailable

    async def refresh(self) -> None:
        """Read at once, and return with the next answer or the loss of the topic."""
        if self._hurried is not None and not self._hurried.done():
            self._hurried.set_result(None)
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        try:
            await waiter
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    async def follow(self) -> None:
        """Read changes until cancelled."""
        while True:
            self._hurried = asyncio.get_running_loop().create_future()
            began_at = boottime_clock()
            try:
                answer, started = await self._first_answer()
            finally:
                self._cancel_reads()
            self._log_slow_read(boottime_clock() - began_at)
            if answer is LogGap.TRIMMED:
                self._cursor = None
                continue
            self._apply_answer(answer)
            if self._at_end:
                self.as_of = started
                self._on_read(started)
            if self._unavailable:
                self._unavailable = False
                log.info("topic {} can be read again", self._partition.topic)
                self._on_regained()
            self._wake_waiters()
            await asyncio.wait([self._hurried], timeout=self.batch_delay)

    async def _first_answer(self) -> tuple[Answer, float]:
        """Return the first answer of any read, and when that read began."""
        if not self._unavailable:
            # A read may have been wanted during the delay after the last one.
            self._start_read(0.0 if self._waiters else self._wait)
            answered = await self._answered_within(
                self._wait + LATE_SECONDS, unless=self._hurried
            )
            if answered is not None:
                return answered
        # Time in which this process could not receive an answer does not count.
        clock = reply_clock()
        clock.acquire()
        try:
            since = clock.mark()
            while not self._unavailable:
                answered = await self._check()
                if answered is not None:
                    return answered
                if not self._reads:
                    self._lose(self._failure)
                elif clock.remaining(LOST_SECONDS, since) <= 0:
                    self._lose("no answer")
        finally:
            clock.release()
        while True:
            answered = await self._check()
            if answered is not None:
                return answered
            if not self._reads:
                await asyncio.sleep(RETRY_INTERVAL)

    async def _check(self) -> tuple[Answer, float] | None:
        """Read without a wait beside the open reads; return an answer, if any."""
        if len(self._reads) >= MAX_READS:
            oldest = next(iter(self._reads))
            oldest.cancel()
            del self._reads[oldest]
        self._start_read(0.0)
        return await self._answered_within(CHECK_INTERVAL)

    async def _answered_within(
        self, seconds: float, *, unless: asyncio.Future[None] | None = None
    ) -> tuple[Answer, float] | None:
        """Return the first answer to an open read.

        None if all fail, none comes in time, or `unless` is done before.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        while self._reads:
            awaited: set[asyncio.Future[Any]] = {*self._reads}
            if unless is not None:
                awaited.add(unless)
            done, _ = await asyncio.wait(
                awaited,
                timeout=max(0.0, deadline - loop.time()),
                return_when=asyncio.FIRST_COMPLETED,
            )
            ended = [task for task in self._reads if task in done]
            if not ended:
                return None
            for task in ended:
                started = self._reads.pop(task)
                answer = task.result()
                if not isinstance(answer, Failure):
                    return answer, started
                self._failure = answer.reason
        return None

    def _start_read(self, wait: float) -> None:
        task = asyncio.create_task(self._read(wait))
        self._reads[task] = boottime_clock()

    async def _read(self, wait: float) -> Answer | Failure:
        if self._cursor is None:
            return await self._log.newest(self._partition)
        return await self._log.read(self._partition, self._cursor, wait=wait)

    def _cancel_reads(self) -> None:
        for task in self._reads:
            task.cancel()
        self._reads.clear()

    def _lose(self, reason: str) -> None:
        self._unavailable = True
        log.warning("topic {} can't be read: {}", self._partition.topic, reason)
        self._on_lost()
        self._wake_waiters()

    def _wake_waiters(self) -> None:
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    def _log_slow_read(self, seconds: float) -> None:
        if seconds > self._wait + SLOW_READ_SECONDS:
            log.info("a read of topic {} took {:.2f} s", self._partition.topic, seconds)

    def _apply_record(self, record: ListedRecord) -> None:
        """Apply a record; one that can't be applied must not hide those behind it."""
        try:
            self._apply(record)
        except Exception:
            log.exception(
                "record {!r} at offset {} of topic {} is skipped",
                record.key[:MAX_KEY_SHOWN],
                record.offset,
                self._partition.topic,
            )

    def _apply_answer(self, answer: Answer) -> None:
        if isinstance(answer, NewestRecords):
            self._replace(answer.records)
            self._cursor = answer.resume
            self._at_end = True
            return
        assert isinstance(answer, KeyedPage)
        for number, record in enumerate(answer.records, answer.start):
            self._apply_record(
                ListedRecord(key=record.key, value=record.value, offset=Offset(number))
            )
        self._cursor = answer.next
        self._at_end = answer.next >= answer.end
