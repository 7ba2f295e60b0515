"""Test background tasks that fail."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from .. import background
from ..background import MAX_FAILURES, BackgroundTasks


class BackgroundTaskTests(unittest.IsolatedAsyncioTestCase):
    """Run tasks that fail some times, or for ever."""

    async def asyncSetUp(self) -> None:
        """Shorten the pauses, and expect the log lines."""
        for name in ("MIN_PAUSE", "MAX_PAUSE"):
            patch = mock.patch.object(background, name, 0.01)
            patch.start()
            self.addCleanup(patch.stop)
        patched = mock.patch.object(background, "log")
        self.log = patched.start()
        self.addCleanup(patched.stop)
        self.tasks = BackgroundTasks()
        self.addAsyncCleanup(self.tasks.stop)
        self.runs = 0

    async def fail_once(self) -> None:
        """Fail in the first run, and go on for ever in the second."""
        self.runs += 1
        if self.runs == 1:
            raise RecursionError
        await asyncio.Event().wait()

    async def fail_always(self) -> None:
        """Fail in each run."""
        self.runs += 1
        raise ValueError

    async def test_failed_task_starts_again(self) -> None:
        """A background task that fails ends in silence, and its work with it."""
        self.tasks.start([self.fail_once])
        async with asyncio.timeout(5.0):
            while self.runs < 2:
                await asyncio.sleep(0.01)
        self.assertTrue(self.tasks.sound)
        self.assertEqual(self.tasks.failures.total(), 1)
        self.assertEqual(self.log.exception.call_count, 1)
        name = self.log.exception.call_args.args[1]
        self.assertIn("fail_once", name)

    async def test_task_that_cannot_go_on(self) -> None:
        """A process counts as ready though one of its tasks can't go on."""
        self.tasks.start([self.fail_always])
        async with asyncio.timeout(5.0):
            while self.runs < MAX_FAILURES:
                self.assertTrue(self.tasks.sound)
                await asyncio.sleep(0)
            while self.tasks.sound:
                await asyncio.sleep(0)

    async def test_task_that_ends(self) -> None:
        """A task that has done its work is run again."""

        async def end() -> None:
            self.runs += 1

        self.tasks.start([end])
        await asyncio.sleep(0.1)
        self.assertEqual(self.runs, 1)
