"""Test admission with a replay of an overload, without a network."""

from __future__ import annotations

import functools
import unittest
from collections import Counter

from ...policies.fair_share import max_min_shares
from ...policies.return_queue import MIN_RANK_SHARE
from .overload_replay import (
    CAPACITY,
    END,
    RANKS,
    WORKSPACE_WEIGHTS,
    WORKSPACES,
    Program,
    Replay,
)

# Arrivals differ between seeds by more than a tenth for some seconds.
SEEDS = range(1, 7)
# Programs per second.
BELOW, OVERLOAD, USUAL = 0.95 * CAPACITY, 2 * CAPACITY, 0.8 * CAPACITY
# Start and end of the burst, in seconds, and the time to recover from it.
BURST_START, BURST_END, RECOVERY = 6.0, 12.6, 2.0
# Seconds until the engines have as many programs as under constant load.
WARM_UP = 4.0


def usual_with_burst(now: float) -> float:
    """Return the programs per second of the usual load with one burst."""
    return OVERLOAD if BURST_START <= now < BURST_END else USUAL


@functools.cache
def steady(rate: float, naive: bool = False) -> list[Replay]:
    """Return replays of a constant load."""
    return [Replay(lambda _: rate, naive=naive, seed=seed) for seed in SEEDS]


@functools.cache
def burst(naive: bool = False) -> list[Replay]:
    """Return replays of the usual load with one burst."""
    return [Replay(usual_with_burst, naive=naive, seed=seed) for seed in SEEDS]


def goodput(replays: list[Replay], start: float, end: float) -> float:
    """Return the mean number of programs per second that end in time."""
    return sum(replay.goodput(start, end) for replay in replays) / len(replays)


def arrived(replays: list[Replay], start: float, end: float) -> list[Program]:
    """Return the programs that arrive in an interval."""
    programs = [program for replay in replays for program in replay.programs]
    return [program for program in programs if start <= program.arrived < end]


def in_time_part(programs: list[Program]) -> float:
    """Return the fraction of programs that end in time."""
    return sum(program.in_time for program in programs) / len(programs)


def reference() -> float:
    """Return what the engines achieve just below overload, by the better policy."""
    return max(goodput(steady(BELOW, naive), WARM_UP, END) for naive in (False, True))


class OverloadReplayTests(unittest.TestCase):
    """Guard the stated targets for an overload of twice the engines' capacity."""

    def test_reference(self) -> None:
        """Fails if the reference load is an overload for the replayed engines."""
        self.assertGreaterEqual(reference(), 0.9 * BELOW)

    def test_lasting_overload(self) -> None:
        """Fails if an overload that lasts reduces the programs that end in time."""
        achieved = goodput(steady(OVERLOAD), WARM_UP, END)
        self.assertGreaterEqual(achieved, 0.8 * reference())

    def test_no_admission_collapses(self) -> None:
        """Fails if the load is too weak to need admission control."""
        achieved = goodput(steady(OVERLOAD, True), WARM_UP, END)
        self.assertLess(achieved, 0.2 * reference())

    def test_burst(self) -> None:
        """Fails if a burst reduces the programs that end in time while it lasts."""
        achieved = goodput(burst(), BURST_START, BURST_END)
        self.assertGreaterEqual(achieved, 0.8 * reference())

    def test_recovery(self) -> None:
        """Fails if the usual load is not carried again 2 s after a burst."""
        programs = arrived(burst(), BURST_END + RECOVERY, END)
        self.assertGreaterEqual(in_time_part(programs), 0.95)

    def test_no_recovery_without_admission(self) -> None:
        """Fails if engines recover from the burst without admission control."""
        programs = arrived(burst(True), BURST_END + RECOVERY, END)
        self.assertLess(in_time_part(programs), 0.5)

    def test_return_at_the_given_time(self) -> None:
        """Fails if callers that return at their time are refused again."""
        replays = steady(OVERLOAD) + burst()
        granted = sum(replay.returned_granted for replay in replays)
        returned = sum(replay.returned for replay in replays)
        self.assertGreaterEqual(granted / returned, 0.9)

    def test_cache(self) -> None:
        """Fails if an engine gets more programs than its cache holds."""
        for replay in steady(OVERLOAD) + burst():
            self.assertEqual(replay.overfilled, 0)

    def test_workspaces(self) -> None:
        """Fails if a workspace gets less than half of its max-min share in time."""
        demands = {
            workspace: OVERLOAD * weight / sum(WORKSPACE_WEIGHTS)
            for workspace, weight in zip(WORKSPACES, WORKSPACE_WEIGHTS, strict=True)
        }
        shares = max_min_shares(demands, goodput(steady(OVERLOAD), WARM_UP, END))
        programs = arrived(steady(OVERLOAD), WARM_UP, END)
        in_time = Counter(p.workspace for p in programs if p.in_time)
        for workspace, share in shares.items():
            with self.subTest(workspace=workspace):
                rate = in_time[workspace] / (END - WARM_UP) / len(SEEDS)
                self.assertGreaterEqual(rate, 0.5 * share)

    def test_ranks(self) -> None:
        """Fails if a rank starves, or a less urgent one goes first."""
        programs = arrived(steady(OVERLOAD), WARM_UP, END)
        in_time = Counter(p.rank for p in programs if p.in_time)
        for rank in RANKS:
            with self.subTest(rank=rank):
                share = in_time[rank] / in_time.total()
                self.assertGreaterEqual(share, 0.5 * MIN_RANK_SHARE)
        self.assertGreater(in_time[0], in_time[1])
        self.assertGreater(in_time[1], in_time[2])
