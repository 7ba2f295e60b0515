"""Test the order in which refused programs return."""

from __future__ import annotations

import math
import time
import unittest

from ...ids import ProgramId, Workspace
from ...policies.return_queue import (
    GRANT_WINDOW,
    MAX_RETURN,
    MIN_RANK_SHARE,
    MIN_RATE,
    MIN_RETURN,
    PROMISED_FRACTION,
    REMEMBERED,
    RETURN_MARGIN,
    ReturnQueue,
)

A, B, C = ProgramId("a"), ProgramId("b"), ProgramId("c")
BUSY, QUIET = Workspace("busy"), Workspace("quiet")


class ReturnQueueTests(unittest.TestCase):
    """Test return times and reserved places."""

    def setUp(self) -> None:
        """Start with an empty queue."""
        self.queue = ReturnQueue()

    def refuse(
        self,
        program: ProgramId,
        *,
        now: float = 0.0,
        rank: int = 1,
        slack: float = 20.0,
        rate: float = 2.0,
        workspace: Workspace | None = None,
        busy: frozenset[Workspace | None] = frozenset(),
    ) -> float:
        """Refuse a program and return the seconds after which to return.

        `rate` is the number of places per second that are promised to returns.
        """
        return self.queue.refuse(
            program,
            rank=rank,
            slack=slack,
            rate=rate / PROMISED_FRACTION,
            now=now,
            workspace=workspace,
            busy=busy,
        )

    def test_returns_are_spread(self) -> None:
        """Fails if programs return at the same time or out of order."""
        waits = [self.refuse(ProgramId(f"p{number}")) for number in range(3)]
        self.assertEqual(waits, [0.5, 1.0, 1.5])

    def test_attempts_count_once(self) -> None:
        """Fails if a further attempt of a program delays itself or others."""
        self.assertEqual([self.refuse(A), self.refuse(A)], [0.5, 0.5])
        self.assertEqual(self.refuse(B), 1.0)

    def test_first_refused_returns_first(self) -> None:
        """Fails if a program that is refused again goes behind later ones."""
        self.refuse(A)
        self.refuse(B, now=0.1)
        self.assertEqual(self.refuse(A, now=0.5), 0.5)
        self.assertEqual(self.queue.reserved(B, rank=1, now=1.0), 1)
        self.assertEqual(self.queue.reserved(A, rank=1, now=1.0), 0)

    def test_urgent_rank_first(self) -> None:
        """Fails if a program waits behind a less urgent one."""
        self.refuse(A, rank=2)
        self.assertEqual(self.refuse(B, rank=0), 0.5)
        self.assertEqual(self.queue.reserved(C, rank=1, now=0.5), 1)

    def test_busy_workspace_waits_behind_itself(self) -> None:
        """Fails if programs of a busy workspace delay those of other workspaces."""
        for number in range(5):
            self.refuse(ProgramId(f"p{number}"), workspace=BUSY)
        busy = frozenset([BUSY])
        self.assertEqual(self.refuse(A, workspace=QUIET, busy=busy), 0.5)
        kept = self.queue.reserved(B, rank=1, now=0.5, workspace=BUSY, busy=busy)
        self.assertEqual(kept, 6)
        kept = self.queue.reserved(B, rank=1, now=0.5, workspace=QUIET, busy=busy)
        self.assertEqual(kept, 1)

    def test_return_at_its_time(self) -> None:
        """Fails if a program that returns at its time waits behind its own rank."""
        self.refuse(A)
        wait = self.refuse(B)
        self.assertEqual(self.queue.reserved(B, rank=1, now=wait - 0.2), 1)
        self.assertEqual(self.queue.reserved(B, rank=1, now=wait), 0)
        self.assertEqual(self.queue.reserved(C, rank=1, now=wait), 1)

    def test_urgent_program_is_due(self) -> None:
        """Fails if a program that returns at its time takes an urgent one's place."""
        wait = self.refuse(A, rank=1)
        self.refuse(B, rank=0)
        self.assertEqual(self.queue.reserved(A, rank=1, now=wait), 1)

    def test_rank_without_its_minimum_share_first(self) -> None:
        """Fails if the least urgent rank starves, or takes more than its share."""
        for number in range(GRANT_WINDOW):
            self.queue.admit(ProgramId(f"p{number}"), rank=0)
        self.refuse(A, rank=0)
        self.assertEqual(self.refuse(B, rank=2), 0.5)
        for number in range(math.ceil(MIN_RANK_SHARE * GRANT_WINDOW)):
            self.queue.admit(ProgramId(f"q{number}"), rank=2)
        self.assertEqual(self.refuse(B, rank=2), 2 / MIN_RATE)

    def test_places_of_urgent_ranks(self) -> None:
        """Fails if places that more urgent programs will take are promised."""
        for number in range(GRANT_WINDOW // 2):
            self.queue.admit(ProgramId(f"p{number}"), rank=0)
            self.queue.admit(ProgramId(f"q{number}"), rank=1)
        self.assertAlmostEqual(self.refuse(A, rank=1, rate=4.0), 0.5)
        self.assertAlmostEqual(self.refuse(B, rank=0, rate=4.0), 0.25)

    def test_late_programs_last(self) -> None:
        """Fails if a program that can't end in time delays one that can."""
        self.refuse(A, slack=0.0)
        self.assertTrue(self.queue.is_late(A, 0.0))
        self.assertEqual(self.queue.reserved(C, rank=1, now=0.0), 0)
        self.assertEqual(self.refuse(B), 0.5)
        self.assertEqual(self.queue.reserved(C, rank=1, now=0.0), 1)
        self.assertEqual(self.queue.reserved(A, rank=0, now=0.0), 1)

    def test_return_after_latest_start(self) -> None:
        """Fails if a place is kept for a program that returns too late to use it."""
        self.refuse(A)
        self.refuse(B, slack=1.0)
        self.assertEqual(self.refuse(C), 1.0)

    def test_no_deadline_is_never_late(self) -> None:
        """Fails if a program without a deadline counts as late."""
        self.refuse(A, slack=math.inf)
        self.assertFalse(self.queue.is_late(A, 7.0))

    def test_absent_programs(self) -> None:
        """Fails if programs that do not return keep their place, or are kept."""
        wait = self.refuse(A)
        self.assertEqual(self.queue.reserved(B, rank=1, now=wait), 1)
        gone = wait + RETURN_MARGIN + 0.01
        self.assertEqual(self.queue.reserved(B, rank=1, now=gone), 0)
        self.assertFalse(self.queue.waiting)
        self.queue.advance(wait + REMEMBERED + 0.01)
        self.assertEqual(len(self.queue), 0)

    def test_impossible_figures(self) -> None:
        """Fails if an undefined rate or slack gives an undefined time to return."""
        for rate in (0.0, -3.0, math.nan, math.inf):
            with self.subTest(rate=rate):
                self.queue = ReturnQueue()
                self.assertEqual(self.refuse(A, rate=rate), 1 / MIN_RATE)
        for slack in (-1.0, math.nan):
            with self.subTest(slack=slack):
                self.queue = ReturnQueue()
                self.refuse(A, slack=slack)
                self.assertTrue(self.queue.is_late(A, 0.0))

    def test_bounds(self) -> None:
        """Fails if a time to return is too short to connect, or is out of sight."""
        self.assertEqual(self.refuse(A, rate=1e9), MIN_RETURN)
        for number in range(99):
            wait = self.refuse(ProgramId(f"p{number}"), slack=math.inf)
        self.assertEqual(wait, MAX_RETURN)

    def test_cost(self) -> None:
        """Fails if the cost of a decision grows with the programs that wait.

        A scan of all of them takes more than ten times as long for as many more.
        """
        few, many = self.seconds_of_decisions(200), self.seconds_of_decisions(6_000)
        self.assertLess(many, 8 * few)

    def seconds_of_decisions(self, programs: int) -> float:
        """Return the processor time of decisions while programs wait."""
        queue = ReturnQueue()
        for number in range(programs):
            name, workspace = ProgramId(f"p{number}"), Workspace(str(number % 20))
            queue.refuse(
                name, rank=1, slack=40.0, rate=50.0, now=0.0, workspace=workspace
            )
        best = math.inf
        for _ in range(5):
            start = time.process_time()
            for number in range(200):
                name = ProgramId(f"p{number}")
                queue.refuse(name, rank=1, slack=40.0, rate=50.0, now=0.0)
                queue.reserved(name, rank=1, now=0.0)
            best = min(best, time.process_time() - start)
        return best
