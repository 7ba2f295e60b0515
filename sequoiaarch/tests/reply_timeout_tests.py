"""Test timeouts that count only the time in which a reply could be received."""

from __future__ import annotations

import asyncio
import socket
import threading
import time
import unittest

from ..reply_timeout import (
    MAX_EXTENSION,
    READ_GRACE,
    TICK_INTERVAL,
    LagMeter,
    reply_clock,
    reply_timeout,
)

LIMIT = 0.1
# Slack for the event loop of a busy test machine. Seconds.
SLACK = 0.3


class LagMeterTests(unittest.TestCase):
    """Measure lag on a clock that the test controls."""

    def setUp(self) -> None:
        """Create a meter whose first tick has run."""
        self.meter = LagMeter(interval=TICK_INTERVAL)
        self.now = 100.0
        self.meter.tick(self.now)

    def run_until(self, end: float) -> None:
        """Tick on time until `end` seconds after the start."""
        while self.now + TICK_INTERVAL <= 100.0 + end:
            self.now += TICK_INTERVAL
            self.meter.tick(self.now)
        self.now = 100.0 + end

    def block(self, seconds: float) -> None:
        """Run no tick for a while, then the overdue one."""
        self.now += seconds
        self.meter.tick(self.now)

    def test_idle_loop(self) -> None:
        """Expire at the limit, and lose no time, if every tick is nearly on time."""
        since = self.meter.mark(self.now)
        for _ in range(4):
            self.now += TICK_INTERVAL + 0.001
            self.meter.tick(self.now)
        remaining = self.meter.remaining(LIMIT, since, self.now)
        self.assertAlmostEqual(remaining, LIMIT - 4 * (TICK_INTERVAL + 0.001))
        self.assertLessEqual(self.meter.remaining(LIMIT, since, 100.0 + LIMIT), 0)
        self.assertEqual(self.meter.lost, 0.0)

    def test_blocked_time_does_not_count(self) -> None:
        """Leave what was left before the block, but for one interval at most."""
        since = self.meter.mark(self.now)
        self.run_until(0.05)
        self.block(0.7)
        remaining = self.meter.remaining(LIMIT, since, self.now)
        self.assertLessEqual(remaining, 0.05 + 1e-9)
        self.assertGreaterEqual(remaining, 0.05 - TICK_INTERVAL)

    def test_lag_before_the_mark(self) -> None:
        """Extend no timeout by a lag that ended before it started.

        The tick is still overdue when the first callback after the lag runs.
        """
        self.now += 0.7
        since = self.meter.mark(self.now)
        self.meter.tick(self.now)
        self.assertAlmostEqual(self.meter.remaining(LIMIT, since, self.now), LIMIT)

    def test_lag_is_counted_once(self) -> None:
        """Count a lag once that a timer and then the tick observe."""
        self.now += 0.7
        self.meter.observe(self.now)
        self.now += 0.002
        self.meter.tick(self.now)
        self.assertAlmostEqual(self.meter.lost, 0.7 - TICK_INTERVAL)

    def test_reader_runs_before_expiry(self) -> None:
        """Do not expire right after a block that outlasts the maximum extension.

        The reply may already wait in the socket.
        """
        since = self.meter.mark(self.now)
        self.now += 60.0
        self.assertAlmostEqual(self.meter.remaining(LIMIT, since, self.now), READ_GRACE)
        self.meter.tick(self.now)
        self.now += READ_GRACE
        self.assertLessEqual(self.meter.remaining(LIMIT, since, self.now), 1e-9)

    def test_extension_is_bounded(self) -> None:
        """Expire also in a loop that lags all the time."""
        since = self.meter.mark(self.now)
        while self.meter.remaining(LIMIT, since, self.now) > 0:
            self.block(0.2)
            self.assertLess(self.now - since.at, LIMIT + MAX_EXTENSION + 0.5)
        self.assertGreaterEqual(self.now - since.at, LIMIT + MAX_EXTENSION)


class ReplyTimeoutTests(unittest.IsolatedAsyncioTestCase):
    """Block the event loop while something waits."""

    def block(self, seconds: float, *, after: float = 0.0) -> None:
        """Block the event loop after a delay."""
        asyncio.get_running_loop().call_later(after, time.sleep, seconds)

    async def wait_for_nothing(self, seconds: float) -> float:
        """Return how long a wait lasts that nothing ends."""
        started = time.monotonic()
        with self.assertRaises(TimeoutError):
            async with reply_timeout(seconds):
                await asyncio.Event().wait()
        return time.monotonic() - started

    async def test_expires_on_an_idle_loop(self) -> None:
        """Expire at the limit, like `asyncio.timeout`."""
        elapsed = await self.wait_for_nothing(LIMIT)
        self.assertGreaterEqual(elapsed, LIMIT - 0.001)
        self.assertLess(elapsed, LIMIT + SLACK)

    async def test_block_extends_the_wait(self) -> None:
        """Wait for as long as before in addition to a block."""
        self.block(0.4, after=0.01)
        elapsed = await self.wait_for_nothing(LIMIT)
        self.assertGreaterEqual(elapsed, 0.4 + LIMIT - 2 * TICK_INTERVAL)

    async def test_reply_that_waits_in_the_socket(self) -> None:
        """Read a reply that arrived while the loop was blocked past the limit.

        The reader wakes up several iterations of the loop after the timer is due.
        """
        ours, theirs = socket.socketpair()
        reader, writer = await asyncio.open_connection(sock=ours)
        queue: asyncio.Queue[bytes] = asyncio.Queue()

        async def read() -> None:
            data = await reader.readexactly(5)
            for _ in range(5):
                await asyncio.sleep(0)
            queue.put_nowait(data)

        reading = asyncio.create_task(read())
        # Sent by another thread, as by another process, in the middle of the block.
        sender = threading.Timer(0.3, theirs.sendall, [b"reply"])
        sender.start()
        self.block(0.7, after=LIMIT - 0.01)
        async with reply_timeout(LIMIT):
            self.assertEqual(await queue.get(), b"reply")
        sender.join()
        await reading
        writer.close()
        theirs.close()

    async def test_deadline_of_the_caller(self) -> None:
        """End at the caller's deadline, however long the loop was blocked."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        self.block(0.4, after=0.01)
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout_at(started + 0.5):
                async with reply_timeout(1.0):
                    await asyncio.Event().wait()
        self.assertLess(loop.time() - started, 1.0)

    async def test_restart(self) -> None:
        """Count from the last restart."""
        async with reply_timeout(LIMIT) as limit:
            limit.restart(4 * LIMIT)
            await asyncio.sleep(2 * LIMIT)
        with self.assertRaises(TimeoutError):
            async with reply_timeout(60.0) as limit:
                limit.restart(LIMIT)
                await asyncio.Event().wait()

    async def test_no_limit(self) -> None:
        """Never expire without a limit."""
        async with reply_timeout(None):
            await asyncio.sleep(2 * LIMIT)

    async def test_cancelled_wait(self) -> None:
        """Pass on the cancellation of a waiting task."""
        waiting = asyncio.create_task(self.wait_for_nothing(60.0))
        await asyncio.sleep(0.01)
        waiting.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await waiting

    async def test_measurement_ends(self) -> None:
        """Schedule no further ticks once nothing waits for a reply."""
        clock = reply_clock()
        for _ in range(3):
            async with reply_timeout(LIMIT):
                await asyncio.sleep(0)
        self.assertTrue(clock._ticking)
        await asyncio.sleep(3 * TICK_INTERVAL)
        self.assertFalse(clock._ticking)
        self.block(0.1)
        await asyncio.sleep(0.05)
        self.assertEqual(clock.lost, 0.0)
