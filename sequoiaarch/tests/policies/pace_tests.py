"""Test the learned pace of targets."""

from __future__ import annotations

import math
import unittest

from ...ids import InstanceId
from ...policies.pace import (
    AVERAGING_SECONDS,
    FORGET_SECONDS,
    IDLE_SECONDS,
    MAX_EVENT_SECONDS,
    MAX_EVENTS,
    GapTable,
    PaceSample,
    PaceTable,
    uneven,
)

FAST, SLOW, OTHER = InstanceId("fast"), InstanceId("slow"), InstanceId("other")


def sample(
    instance: InstanceId = FAST,
    *,
    seconds: float = 0.2,
    events: int = 20,
    turns: int = 1,
) -> PaceSample:
    """Return a sample."""
    return PaceSample(instance=instance, seconds=seconds, events=events, turns=turns)


class PaceTableTests(unittest.TestCase):
    """Test the averages of samples."""

    def setUp(self) -> None:
        """Start with an empty table."""
        self.table = PaceTable()

    def run_turns(
        self, instance: InstanceId, pace: float, start: float, end: float
    ) -> None:
        """Add a sample each 0.2 s."""
        for step in range(round((end - start) / 0.2)):
            added = sample(instance, seconds=20 * pace)
            self.assertTrue(self.table.add(added, start + step * 0.2))

    def test_nothing_known(self) -> None:
        """Fails if a table without samples is an error."""
        self.assertEqual(self.table.paces(0.0), {})
        self.assertIsNone(self.table.events_per_turn)
        self.assertIsNone(self.table.idle_pace(FAST))
        self.assertEqual(self.table.idle_paces(), [])

    def test_lasting_slowness(self) -> None:
        """Fails if a target that stays slow is not known to be after some turns."""
        self.run_turns(FAST, 0.01, 0.0, 6.0)
        self.run_turns(SLOW, 0.025, 0.0, 6.0)
        paces = self.table.paces(6.0)
        self.assertAlmostEqual(paces[FAST], 0.01, delta=0.001)
        self.assertAlmostEqual(paces[SLOW], 0.025, delta=0.001)

    def test_short_slowness(self) -> None:
        """Fails if half a second of slowness counts as a slow target."""
        self.run_turns(FAST, 0.01, 0.0, 6.0)
        self.run_turns(FAST, 0.025, 6.0, 6.6)
        self.assertLess(self.table.paces(6.6)[FAST], 0.015)
        self.assertAlmostEqual(self.table.idle_pace(FAST) or 0.0, 0.01, delta=0.0005)

    def test_unused_target_is_tried_again(self) -> None:
        """Fails if a target that gets no requests stays slow for ever."""
        self.run_turns(FAST, 0.01, 0.0, 6.0)
        self.run_turns(SLOW, 0.03, 0.0, 6.0)
        later = self.table.paces(6.0 + 10 * AVERAGING_SECONDS)
        self.assertLess(later[SLOW], 0.021)

    def test_idle_pace_follows(self) -> None:
        """Fails if an engine that became slower for good counts as loaded for ever."""
        self.run_turns(FAST, 0.01, 0.0, 6.0)
        self.run_turns(FAST, 0.02, 6.0, 6.0 + 5 * IDLE_SECONDS)
        self.assertGreater(self.table.idle_pace(FAST) or 0.0, 0.019)

    def test_impossible_samples(self) -> None:
        """Fails if an impossible sample is an error or changes what is known."""
        self.run_turns(FAST, 0.01, 0.0, 6.0)
        paces, events = self.table.paces(6.0), self.table.events_per_turn
        idle = self.table.idle_pace(FAST)
        for wrong in (
            sample(seconds=math.nan),
            sample(seconds=math.inf),
            sample(seconds=0.0),
            sample(seconds=-1.0),
            sample(seconds=1e-300),
            sample(seconds=21 * MAX_EVENT_SECONDS),
            sample(events=0),
            sample(events=-3),
            sample(events=MAX_EVENTS + 1, seconds=1e6),
            sample(events=10**400),
            sample(turns=0),
            sample(turns=-5),
            sample(turns=21),
        ):
            with self.subTest(wrong=str(wrong)[:80]):
                self.assertFalse(self.table.add(wrong, 6.0))
                self.assertEqual(self.table.paces(6.0), paces)
                self.assertEqual(self.table.events_per_turn, events)
                self.assertEqual(self.table.idle_pace(FAST), idle)

    def test_earlier_time(self) -> None:
        """Fails if a sample with an earlier time moves the idle pace past a mean."""
        self.run_turns(FAST, 0.01, 0.0, 6.0)
        self.table.add(sample(seconds=0.6), -1e9)
        self.assertGreaterEqual(self.table.idle_pace(FAST) or 0.0, 0.0099)

    def test_targets_that_left(self) -> None:
        """Fails if targets that left stay in the table for ever."""
        self.run_turns(SLOW, 0.03, 0.0, 6.0)
        self.run_turns(FAST, 0.01, FORGET_SECONDS, FORGET_SECONDS + 8.0)
        self.table.add(sample(OTHER), FORGET_SECONDS + 8.0)
        self.assertEqual(self.table.paces(FORGET_SECONDS + 8.0).keys(), {FAST, OTHER})


class GapTableTests(unittest.TestCase):
    """Test the speed of targets."""

    def setUp(self) -> None:
        """Create an empty table."""
        self.table = GapTable()

    def test_load_does_not_change_speed(self) -> None:
        """Fails if a target that processes prompts between events counts as slower."""
        self.table.add(FAST, [0.01, 0.03, 0.04] * 8)
        self.assertAlmostEqual(self.table.speeds()[FAST], 0.01)

    def test_moment_of_slowness(self) -> None:
        """Fails if a turn in a slow moment changes the speed of a target."""
        self.table.add(FAST, [0.01] * 12)
        self.table.add(FAST, [0.025] * 6)
        self.assertAlmostEqual(self.table.speeds()[FAST], 0.01)

    def test_lasting_slowness(self) -> None:
        """Fails if a target that became slower for good keeps its earlier speed."""
        self.table.add(FAST, [0.01] * 24)
        self.table.add(FAST, [0.025] * 24)
        self.assertAlmostEqual(self.table.speeds()[FAST], 0.025)

    def test_few_or_impossible_gaps(self) -> None:
        """Fails if a speed is told from too few gaps or from impossible ones."""
        self.table.add(FAST, [0.01] * 11)
        self.table.add(FAST, [0.0, -1.0, math.nan])
        self.assertEqual(self.table.speeds(), {})

    def test_target_that_left(self) -> None:
        """Fails if a target that left stays in the table."""
        self.table.add(FAST, [0.01] * 24)
        self.table.forget(FAST)
        self.assertEqual(self.table.speeds(), {})


class UnevenTests(unittest.TestCase):
    """Test when targets count as uneven."""

    def test_uneven(self) -> None:
        """Fails if a factor of more than 2 between three targets is not noticed."""
        self.assertTrue(uneven([0.01, 0.011, 0.021]))
        self.assertFalse(uneven([0.01, 0.011, 0.019]))
        self.assertFalse(uneven([0.01, 0.03]))

    def test_impossible_paces(self) -> None:
        """Fails if an impossible pace makes targets count as uneven."""
        even = [0.01, 0.011, 0.012]
        for wrong in (0.0, -1.0, math.nan, math.inf):
            self.assertFalse(uneven([wrong, *even]))
            self.assertFalse(uneven([*even, wrong]))
