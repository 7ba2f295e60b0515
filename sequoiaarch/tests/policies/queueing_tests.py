"""Test the estimate of waits for a slot."""

from __future__ import annotations

import math
import unittest

from ...policies.queueing import MAX_PAUSE, SATURATION, expected_wait


def wait(programs: int, slots: int, turn: float = 0.2, pause: float = 0.2) -> float:
    """Return an expected wait."""
    return expected_wait(programs=programs, slots=slots, turn=turn, pause=pause)


class ExpectedWaitTests(unittest.TestCase):
    """Test the machine repair model."""

    def test_slot_for_each_program(self) -> None:
        """Fails if programs wait although each has a slot."""
        self.assertEqual(wait(0, 6), 0.0)
        self.assertEqual(wait(6, 6), 0.0)

    def test_two_programs_and_one_slot(self) -> None:
        """Fails if the wait differs from that of the closed form.

        With equal turns and pauses the states of 0, 1 and 2 programs have the weights
        1, 2 and 2, so 0.4 programs wait and 0.8 turns end in each turn duration.
        """
        self.assertAlmostEqual(wait(2, 1), 0.2 * 0.4 / 0.8)

    def test_grows_with_programs(self) -> None:
        """Fails if more programs wait less, also where the linear estimate begins."""
        for slots in (1, 6, 64):
            waits = [wait(programs, slots) for programs in range(12 * slots)]
            self.assertEqual(waits, sorted(waits))

    def test_linear_estimate(self) -> None:
        """Fails if the wait jumps where the linear estimate begins."""
        for slots in (1, 6):
            for pause in (0.2, 1.0):
                programs = math.floor(SATURATION * slots * (1 + pause / 0.2))
                step = wait(programs + 1, slots, pause=pause) - wait(
                    programs, slots, pause=pause
                )
                self.assertAlmostEqual(step, 0.2 / slots, delta=0.02 / slots)

    def test_many_programs(self) -> None:
        """Fails if many programs exceed the range of floats."""
        for slots in (1, 6, 256):
            for pause in (0.0, 0.2, 5.0, 1e6):
                with self.subTest(slots=slots, pause=pause):
                    self.assertTrue(math.isfinite(wait(10_000, slots, pause=pause)))

    def test_no_slots(self) -> None:
        """Fails if a target without slots seems to serve programs at once."""
        self.assertEqual(wait(1, 0), math.inf)
        self.assertEqual(wait(1, -2), math.inf)
        self.assertEqual(wait(0, -2), 0.0)

    def test_impossible_durations(self) -> None:
        """Fails if an impossible duration gives an undefined wait."""
        for turn in (0.0, -1.0, math.nan, math.inf):
            self.assertEqual(wait(9, 6, turn=turn), 0.0)
        without_pause = wait(9, 6, pause=0.0)
        for pause in (-1.0, math.nan):
            self.assertEqual(wait(9, 6, pause=pause), without_pause)
        longest = wait(9, 6, pause=MAX_PAUSE * 0.2)
        self.assertEqual(wait(9, 6, pause=math.inf), longest)
        self.assertEqual(wait(9, 6, turn=1e-300), wait(9, 6, turn=1e-300, pause=9.0))
