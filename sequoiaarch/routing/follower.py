"""Follow a keyed topic and pass on every change."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Sequence

import logbook

from ..errors import Failure
from ..ids import Offset
from ..storage.keyed import KeyedLog, ListedRecord, LogGap, Partition

log = logbook.Logger("follower")

# A connection that falls silent while a read waits on it hides every change.
# The read ends by itself after this time and the next one finds out. Seconds.
WAIT_SECONDS = 2.0
RETRY_SECONDS = 0.2


def boottime_clock() -> float:
    """Return the seconds since the machine started, its pauses included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class TopicFollower:
    """Read a topic from its newest records on.

    `gather` seconds pass after each change before the next read, so that
    frequent heartbeats don't cost a call each. A read waits up to `wait` seconds
    for a change; the longer, the fewer calls for a topic that rarely changes. Each
    read that was answered is told to `viewed` by the time at which it began.
    """

    def __init__(
        self,
        *,
        log: KeyedLog,
        topic: str,
        replace: Callable[[Sequence[ListedRecord]], None],
        change: Callable[[ListedRecord], None],
        batch_delay: float = 0.0,
        wait: float = WAIT_SECONDS,
        on_lost: Callable[[], None] = lambda: None,
        on_regained: Callable[[], None] = lambda: None,
        on_read: Callable[[float], None] = lambda since: None,
    ) -> None:
        self._log = log
        self._partition = Partition(topic=topic, number=0)
        self._replace = replace
        self._change = change
        self._batch_delay = batch_delay
        self._wait = wait
        self._on_lost = on_lost
        self._on_regained = on_regained
        self._on_read = on_read
        self._cursor: Offset | None = None
        self._away = False
        self.read_at = float("-inf")
        # When the last read that was answered began, on the clock that counts
        # pauses of the machine: what it showed is no older.
        self.as_of = float("-inf")

    @property
    def away(self) -> bool:
        """Return whether the last read failed."""
        return self._away

    async def follow(self) -> None:
        """Read on for ever."""
        while True:
            begun = boottime_clock()
            reason = await self._step()
            if reason is None:
                self.as_of = begun
                self._on_read(begun)
                self.read_at = asyncio.get_running_loop().time()
                if self._away:
                    self._away = False
                    log.info("{} can be read again", self._partition.topic)
                    self._on_regained()
                await asyncio.sleep(self._batch_delay)
                continue
            if not self._away:
                self._away = True
                log.warning("{} can't be read: {}", self._partition.topic, reason)
                self._on_lost()
            await asyncio.sleep(RETRY_SECONDS)

    async def _step(self) -> str | None:
        """Read once; return why it failed."""
        if self._cursor is None:
            return await self._list()
        # While the store is away a short read finds its return sooner.
        wait = 0.0 if self._away else self._wait
        page = await self._log.read(self._partition, self._cursor, wait=wait)
        if page is LogGap.TRIMMED:
            return await self._list()
        if isinstance(page, Failure):
            return page.reason
        assert not isinstance(page, LogGap)
        for place, record in enumerate(page.records, page.start):
            self._change(
                ListedRecord(key=record.key, value=record.value, offset=Offset(place))
            )
        self._cursor = page.next
        return None

    async def _list(self) -> str | None:
        newest = await self._log.newest(self._partition)
        if isinstance(newest, Failure):
            return newest.reason
        self._replace(newest.records)
        self._cursor = newest.resume
        return None
