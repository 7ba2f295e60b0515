"""Follow the changes of a keyed topic."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Sequence

import logbook

from ..errors import Failure
from ..ids import Offset
from ..storage.keyed import KeyedLog, ListedRecord, LogGap, Partition

log = logbook.Logger("follower")

# Maximum time for which a read waits for changes. It is short, as a read on a dead
# connection delays all changes until it ends. Seconds.
WAIT_SECONDS = 2.0
RETRY_INTERVAL = 0.2
# A read that takes this much longer than it may wait is logged. Seconds.
SLOW_READ_SECONDS = 0.5


def boottime_clock() -> float:
    """Return the seconds since the machine started, including suspends."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class TopicFollower:
    """Read a snapshot of a topic and then its changes.

    Each read is followed by a delay of `batch_delay` seconds, so that frequent
    heartbeats don't cost a call each. A read waits up to `wait` seconds for a change.
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
        self._batch_delay = batch_delay
        self._wait = wait
        self._on_lost = on_lost
        self._on_regained = on_regained
        self._on_read = on_read
        self._cursor: Offset | None = None
        self._unavailable = False
        self._at_end = True
        # Start of the last read up to the end of the topic, by boottime_clock: the
        # topic is known as of this time.
        self.as_of = float("-inf")

    @property
    def unavailable(self) -> bool:
        """Return whether the last read failed."""
        return self._unavailable

    async def follow(self) -> None:
        """Read changes until cancelled."""
        while True:
            started = boottime_clock()
            reason = await self._read_once()
            self._log_slow_read(boottime_clock() - started)
            if reason is None:
                if self._at_end:
                    self.as_of = started
                    self._on_read(started)
                if self._unavailable:
                    self._unavailable = False
                    log.info("topic {} can be read again", self._partition.topic)
                    self._on_regained()
                await asyncio.sleep(self._batch_delay)
                continue
            if not self._unavailable:
                self._unavailable = True
                log.warning("topic {} can't be read: {}", self._partition.topic, reason)
                self._on_lost()
            await asyncio.sleep(RETRY_INTERVAL)

    def _log_slow_read(self, seconds: float) -> None:
        if seconds > self._wait + SLOW_READ_SECONDS:
            log.info("a read of topic {} took {:.2f} s", self._partition.topic, seconds)

    async def _read_once(self) -> str | None:
        """Read once; return the reason if it failed."""
        if self._cursor is None:
            return await self._read_snapshot()
        # A read that doesn't wait shows sooner that the store is available again.
        wait = 0.0 if self._unavailable else self._wait
        page = await self._log.read(self._partition, self._cursor, wait=wait)
        if page is LogGap.TRIMMED:
            return await self._read_snapshot()
        if isinstance(page, Failure):
            return page.reason
        assert not isinstance(page, LogGap)
        for number, record in enumerate(page.records, page.start):
            self._apply(
                ListedRecord(key=record.key, value=record.value, offset=Offset(number))
            )
        self._cursor = page.next
        self._at_end = page.next >= page.end
        return None

    async def _read_snapshot(self) -> str | None:
        snapshot = await self._log.newest(self._partition)
        if isinstance(snapshot, Failure):
            return snapshot.reason
        self._replace(snapshot.records)
        self._cursor = snapshot.resume
        self._at_end = True
        return None
