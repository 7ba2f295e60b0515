"""Count only the time in which this process could receive a reply as a timeout.

Time in which the event loop was blocked or the process suspended does not count: a
healthy peer would otherwise be taken for a lost one. A caller's own deadline is a
wall-clock limit and uses `asyncio.timeout`, also around a reply timeout.
"""

from __future__ import annotations

import asyncio
import math
from types import TracebackType
from weakref import WeakKeyDictionary

import msgspec

# Interval of the lag measurement, in seconds. Up to one interval of each blocked period
# counts as time in which a reply could arrive, so it is well below the shortest timeout
# of 0.1 s.
TICK_INTERVAL = 0.02
# Seconds. Shorter lags are usual on an idle machine and do not extend a timeout.
MIN_LAG = 0.005
# Maximum extension of a timeout, in seconds. Callers give up after two seconds without
# an event, so waiting longer for one reply is of no use to them.
MAX_EXTENSION = 2.0
# Seconds for which no timeout expires after the process could not run. A reply that
# already waits in the socket passes through the I/O thread of a link and several
# iterations of the event loop before its reader sees it.
READ_GRACE = 0.03


class Mark(msgspec.Struct, frozen=True, gc=False):
    """A moment on the event loop's clock, with the time lost until then."""

    at: float
    lost: float


class LagMeter:
    """Add up the time by which a periodic tick is late.

    All times are in seconds on the clock of the event loop, also the `interval`.
    """

    def __init__(self, *, interval: float) -> None:
        self._interval = interval
        self.lost = 0.0
        self._due = math.inf
        self._overdue = False
        self._lag_started = -math.inf
        self._resumed = -math.inf

    def tick(self, now: float) -> None:
        """Measure until now, and expect the next tick after the interval."""
        self.observe(now)
        self._overdue = False
        self._due = now + self._interval

    def stop(self) -> None:
        """Expect no further tick."""
        self._due = math.inf

    def observe(self, now: float) -> None:
        """Count how late the tick is so far.

        Timers that were due during a lag may run before the tick itself.
        """
        lag = now - self._due
        if lag <= MIN_LAG:
            return
        if not self._overdue:
            self._overdue = True
            self._lag_started = self._due
        self.lost += lag
        self._due = now
        self._resumed = now

    def mark(self, now: float) -> Mark:
        """Return a moment from which `remaining` can measure."""
        self.observe(now)
        return Mark(now, self.lost)

    def remaining(self, seconds: float, since: Mark, now: float) -> float:
        """Return the time left of a timeout that started at a mark; 0 or less if none.

        A lag that started before the last possible expiry is followed by `READ_GRACE`.
        Later ones are not, so that a loop that lags all the time ends its waits too.
        """
        self.observe(now)
        latest = since.at + seconds + MAX_EXTENSION
        due = min(since.at + seconds + self.lost - since.lost, latest)
        if due <= now and self._lag_started < latest:
            due = self._resumed + READ_GRACE
        return due - now


class ReplyClock:
    """Measure the lag of one event loop while something waits for a reply."""

    def __init__(self) -> None:
        self._meter = LagMeter(interval=TICK_INTERVAL)
        self._users = 0
        self._ticking = False

    @property
    def lost(self) -> float:
        """Return the total measured lag, in seconds."""
        self._meter.observe(asyncio.get_running_loop().time())
        return self._meter.lost

    def acquire(self) -> None:
        """Measure until `release` has been called as often as this method."""
        self._users += 1
        if not self._ticking:
            self._ticking = True
            self._tick()

    def release(self) -> None:
        """End one use; the measurement ends with the next tick without users."""
        self._users -= 1

    def mark(self) -> Mark:
        """Return the current moment."""
        return self._meter.mark(asyncio.get_running_loop().time())

    def remaining(self, seconds: float, since: Mark) -> float:
        """Return the time left of a timeout that started at a mark; 0 or less if none.

        The clock must have been in use since the mark.
        """
        now = asyncio.get_running_loop().time()
        return self._meter.remaining(seconds, since, now)

    def _tick(self) -> None:
        if not self._users:
            self._ticking = False
            self._meter.stop()
            return
        loop = asyncio.get_running_loop()
        now = loop.time()
        self._meter.tick(now)
        # The handle is not kept: it refers to the loop, which is the weak key below.
        loop.call_at(now + TICK_INTERVAL, self._tick)


_clocks: WeakKeyDictionary[asyncio.AbstractEventLoop, ReplyClock] = WeakKeyDictionary()


def reply_clock() -> ReplyClock:
    """Return the clock of the running event loop."""
    loop = asyncio.get_running_loop()
    clock = _clocks.get(loop)
    if clock is None:
        clock = _clocks[loop] = ReplyClock()
    return clock


class ReplyTimeout:
    """Context manager like `asyncio.timeout` that discounts this process's lag."""

    __slots__ = ("_clock", "_handle", "_seconds", "_since", "_timeout")

    def __init__(self, seconds: float | None) -> None:
        self._timeout = asyncio.timeout(None)
        self._seconds = seconds
        self._clock: ReplyClock | None = None
        self._handle: asyncio.TimerHandle | None = None
        self._since = Mark(0.0, 0.0)

    async def __aenter__(self) -> ReplyTimeout:
        await self._timeout.__aenter__()
        if self._seconds is not None:
            self._clock = reply_clock()
            self._clock.acquire()
            self.restart(self._seconds)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._handle is not None:
            self._handle.cancel()
        if self._clock is not None:
            self._clock.release()
        await self._timeout.__aexit__(exc_type, exc, traceback)

    def restart(self, seconds: float) -> None:
        """Start again from now; only for a timeout that was not created with None."""
        assert self._clock is not None
        self._seconds = seconds
        self._since = self._clock.mark()
        self._schedule(seconds)

    def cancel(self) -> None:
        """Never expire from now on."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _schedule(self, seconds: float) -> None:
        if self._handle is not None:
            self._handle.cancel()
        self._handle = asyncio.get_running_loop().call_later(seconds, self._check)

    def _check(self) -> None:
        assert self._clock is not None and self._seconds is not None
        remaining = self._clock.remaining(self._seconds, self._since)
        if remaining > 0:
            self._schedule(remaining)
        else:
            self._timeout.reschedule(asyncio.get_running_loop().time())


def reply_timeout(seconds: float | None) -> ReplyTimeout:
    """Raise TimeoutError after `seconds` in which a reply could arrive; never if None.

    Enter it with `async with`.
    """
    return ReplyTimeout(seconds)
