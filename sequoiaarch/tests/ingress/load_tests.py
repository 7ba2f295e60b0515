"""Test what is learned of targets from what they owe."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from ...ids import HostName, InstanceId
from ...ingress.load import SILENCE_CHECK, LoadBoard
from ...policies.health import EJECTED, TargetHealth, first_event_due

TARGET = InstanceId("target")
OTHER = HostName("other")


class SilenceTests(unittest.IsolatedAsyncioTestCase):
    """Judge targets that keep their connections and say nothing."""

    async def asyncSetUp(self) -> None:
        """Make a board on a clock that the test moves."""
        self.now = 100.0
        loop = asyncio.get_running_loop()
        patched = mock.patch.object(loop, "time", lambda: self.now)
        patched.start()
        self.addCleanup(patched.stop)
        self.health = TargetHealth(own=HostName("own"))
        self.board = LoadBoard(health=self.health)
        self.told: list[bool] = []
        self.board.report = lambda instance, ok: self.told.append(ok)

    def passes(self, seconds: float, *, lag: float = 0.0) -> None:
        """Let time pass, and have the board look at its end."""
        self.now += seconds
        self.board._judge_silent(lag)

    async def test_silent_target_is_reported(self) -> None:
        """Report a target whose stream stopped between two events.

        An engine's machine loses its network in the middle of a stream. The
        connection stays; the caller would notice after two seconds. Another host
        sees the same, so that both pass the engine over after 0.3 s.
        """
        self.board.started(TARGET)
        self.board.expects(TARGET, "request", 0.3)
        self.passes(0.2)
        self.assertEqual(self.told, [])
        self.passes(0.15)
        self.assertEqual(self.told, [False])
        self.health.report_received(TARGET, OTHER, ok=False, now=self.now)
        self.assertEqual(self.board.failing(TARGET), EJECTED)
        self.passes(5.0)
        self.assertEqual(self.told, [False], "one silence is told once")

    async def test_answer_in_time_is_no_silence(self) -> None:
        """Judge nothing that came in time, or whose caller left."""
        for request in ("answered", "left"):
            self.board.expects(TARGET, request, 0.3)
        self.board.heard(TARGET, "answered")
        self.board.gave_up(TARGET, "left")
        self.passes(1.0)
        self.assertEqual(self.told, [])

    async def test_process_that_stood_still_accuses_nobody(self) -> None:
        """Give targets the time for which this process could not hear them.

        A slow or frozen host wakes with bytes of all its targets unread. It
        would accuse all of them at once, as other hosts that wake would.
        """
        self.board.expects(TARGET, "request", 0.3)
        self.passes(2.0, lag=2.0 - SILENCE_CHECK)
        self.assertEqual(self.told, [])
        self.passes(0.4)
        self.assertEqual(self.told, [False])

    async def test_full_targets_are_not_silent(self) -> None:
        """Wait longer for a first event where long queues were seen of late.

        In a burst all engines have queues of a second. Passing over those whose
        queue is longest would only fill the others.
        """
        patient = first_event_due(0.25, self.board.longest)
        self.assertEqual(patient, 1.0)
        self.board.awaits_first(TARGET, "request", 0.0)
        self.now += 1.0
        self.board.got_first(TARGET, "request")
        self.assertGreater(first_event_due(0.25, self.board.longest), 4.0)
        self.now += 30.0
        self.assertLess(first_event_due(0.25, self.board.longest), 1.1)

    async def test_own_word_counts_more(self) -> None:
        """Stay with a target that answers here while others say that it fails."""
        for host in ("a", "b", "c"):
            self.board.heard(TARGET, "request")
            self.health.report_received(TARGET, HostName(host), ok=False, now=self.now)
            self.assertEqual(self.board.failing(TARGET), 0.0)


class UsualWaitTests(unittest.IsolatedAsyncioTestCase):
    """Tell full targets from one that was not asked for a while."""

    async def asyncSetUp(self) -> None:
        """Make a board on a clock that the test moves."""
        self.now = 100.0
        loop = asyncio.get_running_loop()
        patched = mock.patch.object(loop, "time", lambda: self.now)
        patched.start()
        self.addCleanup(patched.stop)
        self.board = LoadBoard(health=TargetHealth(own=HostName("own")))

    def answer(self, number: int, waited: float) -> None:
        """Have a target answer a request that waited."""
        target = InstanceId(f"i-{number}")
        request = object()
        self.board.started(target)
        self.board.awaits_first(target, request, 0.0)
        self.now += waited
        self.board.got_first(target, request)
        self.board.ended(target)
        self.now -= waited

    async def test_many_targets_and_few_answers(self) -> None:
        """See that all targets are full, though few of them answered of late.

        Twenty engines are full for seconds and a gateway hears of each about once in
        that time. What it last saw of one of them has faded by then, so that the
        shortest wait it knows of says that there is room.
        """
        self.answer(0, 0.0)
        for number in range(20):
            self.answer(number, 0.2)
            self.now += 0.1
        shortest = min(self.board.wait(InstanceId(f"i-{n}")) for n in range(20))
        self.assertLess(shortest, 0.05)
        self.assertGreater(self.board.usual, 0.15)

    async def test_some_targets_are_slow(self) -> None:
        """Go by what most answers waited, not by a few slow targets."""
        for number in range(12):
            self.answer(number, 0.3 if number % 3 == 0 else 0.01)
            self.now += 0.02
        self.assertLess(self.board.usual, 0.05)

    async def test_answers_of_long_ago(self) -> None:
        """Say nothing by few answers, or by those of a burst that has passed."""
        for number in range(8):
            self.answer(number, 0.3)
        self.assertGreater(self.board.usual, 0.1)
        self.now += 1.0
        self.assertEqual(self.board.usual, 0.0)
