"""Test the load and silence detection of targets."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from ...ids import HostName, InstanceId
from ...ingress.load import SILENCE_CHECK_INTERVAL, LoadTracker
from ...policies.health import EJECTED_FAILURE_RATE, TargetHealth, first_event_due
from ..hold_up import hold_up

TARGET = InstanceId("target")
OTHER = HostName("other")


class SilenceTests(unittest.IsolatedAsyncioTestCase):
    """Detect targets that stop responding but keep their connections open."""

    async def asyncSetUp(self) -> None:
        """Create a tracker on a clock that the test controls."""
        self.now = 100.0
        loop = asyncio.get_running_loop()
        patched = mock.patch.object(loop, "time", lambda: self.now)
        patched.start()
        self.addCleanup(patched.stop)
        self.health = TargetHealth(own=HostName("own"))
        self.tracker = LoadTracker(health=self.health)
        self.reported: list[bool] = []
        self.tracker.report = lambda instance, ok: self.reported.append(ok)

    def advance(self, seconds: float, *, lag: float = 0.0) -> None:
        """Advance the clock, then check for silent targets."""
        self.now += seconds
        self.tracker._report_silent(lag)

    async def test_silent_target_is_reported(self) -> None:
        """Report a target whose stream stops between two events, only once.

        Once another host reports it too, the target is ejected.
        """
        self.tracker.request_started(TARGET)
        self.tracker.expect_within(TARGET, "request", 0.3)
        self.advance(0.2)
        self.assertEqual(self.reported, [])
        self.advance(0.15)
        self.assertEqual(self.reported, [False])
        self.health.report_received(TARGET, OTHER, ok=False, now=self.now)
        self.assertEqual(self.tracker.failure_rate(TARGET), EJECTED_FAILURE_RATE)
        self.advance(5.0)
        self.assertEqual(self.reported, [False], "each silence is reported once")

    async def test_answer_in_time_is_not_reported(self) -> None:
        """Report nothing for data in time or for requests whose caller left."""
        for request in ("answered", "left"):
            self.tracker.expect_within(TARGET, request, 0.3)
        self.tracker.data_received(TARGET, "answered")
        self.tracker.discard(TARGET, "left")
        self.advance(1.0)
        self.assertEqual(self.reported, [])

    async def test_event_loop_lag_extends_deadlines(self) -> None:
        """Extend deadlines by the time in which this process was suspended.

        Otherwise a process that resumes would report all its targets at once.
        """
        self.tracker.expect_within(TARGET, "request", 0.3)
        self.advance(2.0, lag=2.0 - SILENCE_CHECK_INTERVAL)
        self.assertEqual(self.reported, [])
        self.advance(0.4)
        self.assertEqual(self.reported, [False])

    async def test_long_queues_extend_first_event_deadline(self) -> None:
        """Allow more time for a first event while recent waits are long.

        Ejecting full engines in a burst would only fill the others.
        """
        timeout = first_event_due(0.25, self.tracker.longest_wait)
        self.assertEqual(timeout, 1.0)
        self.tracker.track_first_event(TARGET, "request", 0.0)
        self.now += 1.0
        self.tracker.first_event_received(TARGET, "request")
        self.assertGreater(first_event_due(0.25, self.tracker.longest_wait), 4.0)
        self.now += 30.0
        self.assertLess(first_event_due(0.25, self.tracker.longest_wait), 1.1)

    async def test_own_observation_outweighs_reports(self) -> None:
        """Keep using a target that responds here while other hosts report failures."""
        for host in ("a", "b", "c"):
            self.tracker.data_received(TARGET, "request")
            self.health.report_received(TARGET, HostName(host), ok=False, now=self.now)
            self.assertEqual(self.tracker.failure_rate(TARGET), 0.0)


class WatchTests(unittest.IsolatedAsyncioTestCase):
    """Watch targets on the clock of the event loop."""

    async def asyncSetUp(self) -> None:
        """Watch a target whose next data is due."""
        self.tracker = LoadTracker(health=TargetHealth(own=HostName("own")))
        self.reported: list[bool] = []
        self.tracker.report = lambda instance, ok: self.reported.append(ok)
        watching = asyncio.create_task(self.tracker.watch())
        self.addCleanup(watching.cancel)
        self.tracker.expect_within(TARGET, "request", 0.25)

    async def test_blocked_event_loop(self) -> None:
        """Report no target whose data could not be received in time."""
        hold_up(0.4, after=0.02)
        await asyncio.sleep(0.15)
        self.tracker.data_received(TARGET, "request")
        await asyncio.sleep(0.3)
        self.assertEqual(self.reported, [])

    async def test_silence_after_blocked_event_loop(self) -> None:
        """Report a target that stays silent after the event loop was blocked."""
        hold_up(0.4, after=0.02)
        await asyncio.sleep(1.0)
        self.assertEqual(self.reported, [False])


class LowerQuartileWaitTests(unittest.IsolatedAsyncioTestCase):
    """Estimate whether all targets are full from recent waits."""

    async def asyncSetUp(self) -> None:
        """Create a tracker on a clock that the test controls."""
        self.now = 100.0
        loop = asyncio.get_running_loop()
        patched = mock.patch.object(loop, "time", lambda: self.now)
        patched.start()
        self.addCleanup(patched.stop)
        self.tracker = LoadTracker(health=TargetHealth(own=HostName("own")))

    def answer(self, number: int, waited: float) -> None:
        """Have a target send its first event after a wait."""
        target = InstanceId(f"i-{number}")
        request = object()
        self.tracker.request_started(target)
        self.tracker.track_first_event(target, request, 0.0)
        self.now += waited
        self.tracker.first_event_received(target, request)
        self.tracker.request_ended(target)
        self.now -= waited

    async def test_many_targets_and_few_answers(self) -> None:
        """Detect that all targets are full when each of them rarely responds.

        The shortest estimate of a single target has decayed by then.
        """
        self.answer(0, 0.0)
        for number in range(20):
            self.answer(number, 0.2)
            self.now += 0.1
        shortest = min(
            self.tracker.expected_wait(InstanceId(f"i-{index}")) for index in range(20)
        )
        self.assertLess(shortest, 0.05)
        self.assertGreater(self.tracker.lower_quartile_wait, 0.15)

    async def test_few_slow_targets(self) -> None:
        """Ignore the waits at a minority of slow targets."""
        for number in range(12):
            self.answer(number, 0.3 if number % 3 == 0 else 0.01)
            self.now += 0.02
        self.assertLess(self.tracker.lower_quartile_wait, 0.05)

    async def test_old_answers_are_ignored(self) -> None:
        """Return no wait once all observations are older than the window."""
        for number in range(8):
            self.answer(number, 0.3)
        self.assertGreater(self.tracker.lower_quartile_wait, 0.1)
        self.now += 1.0
        self.assertEqual(self.tracker.lower_quartile_wait, 0.0)
