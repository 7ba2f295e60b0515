"""Compare admission with a simple model in seeded random scenarios."""

from __future__ import annotations

import asyncio
import random
import unittest
from unittest import mock

from ...ledger import budgets as budgets_module
from ...ledger.reservation import Reservation
from ...ledger.split import LendingSplit, LogOnlySplit
from ...ledger.terms import BudgetVerdict
from .crash_tests import MOST, SMALL, Process, Program

SEEDS = range(2000)
STEP_COUNT = 14
PROCESS_COUNT = 3
# The store answers within fewer iterations of the event loop than this.
MAX_ANSWER_ROUNDS = 12
# Small budgets with a remainder, and one whose turns are granted whole.
BUDGETS = (2 * MOST + 40, 3 * MOST + 40, *SMALL, 2600)


class _Scenario:
    """Run the random steps of one seed."""

    def __init__(self, *, seed: int) -> None:
        self.rng = random.Random(seed)
        split = self.rng.choice((LogOnlySplit(), LendingSplit()))
        self.program = Program(budget=self.rng.choice(BUDGETS), split=split)
        self.processes = [self.program.process() for _ in range(PROCESS_COUNT)]
        self.steps: list[str] = []
        self.refused = 0
        self.crashed = 0

    async def play(self) -> None:
        """Run all steps, and check the budget after each."""
        steps = [self._begin, self._begin_together, self._use_tokens, self._use_tokens]
        steps += [self._end, self._end_with_pending_raise, self._close]
        steps += [self._crash_one, self._crash_all]
        for _ in range(STEP_COUNT):
            step = self.rng.choice(steps)
            self.steps.append(step.__name__)
            await step()
            within = self.program.used <= self.program.limit
            assert within, (self.steps, str(self.program))
        await self.program.close()

    async def _begin(self) -> None:
        must_admit = self.program.must_admit
        opened = await self.program.begin(self.rng.choice(self.processes))
        if isinstance(opened, Reservation):
            return
        self.refused += 1
        details = (self.steps, opened, str(self.program))
        assert not (must_admit and opened is BudgetVerdict.EXCEEDED), details

    async def _begin_together(self) -> None:
        """Begin turns concurrently; refused ones must not keep any tokens."""
        openings = [self.program.begin(process) for process in self.processes]
        await asyncio.gather(*openings)
        await asyncio.gather(*(process.ledger.flush() for process in self.processes))

    async def _use_tokens(self) -> None:
        turn = self._random_turn()
        if turn is None:
            return
        remaining = MOST - self.program.open[turn][1]
        # A turn leaves the least budget if it ends with few tokens used or crashes with
        # many.
        tokens = self.rng.choice(
            (min(remaining, 10), self.rng.randint(0, remaining), remaining)
        )
        covered = await self.program.use_tokens(turn, tokens)
        # While every open turn fits at its maximum, none may be cut off.
        fits = self.program.max_used <= self.program.limit
        assert covered or not fits, (self.steps, str(self.program))

    async def _end(self) -> None:
        turn = self._random_turn()
        if turn is not None:
            await self.program.end(turn)

    async def _end_with_pending_raise(self) -> None:
        """End a turn that has a raise to its maximum pending."""
        turn = self._random_turn()
        if turn is None:
            return
        covering = asyncio.create_task(turn.cover(MOST))
        for _ in range(self.rng.randrange(MAX_ANSWER_ROUNDS)):
            await asyncio.sleep(0)
        await self.program.end(turn)
        covering.cancel()
        await asyncio.wait([covering])

    async def _close(self) -> None:
        """End a turn that is not kept; its process writes the released grant."""
        turn = self._random_turn()
        if turn is not None:
            process, used = self.program.open.pop(turn)
            turn.close()
            await process.ledger.flush()
            self.program.ended += used

    async def _crash_one(self) -> None:
        index = self.rng.randrange(PROCESS_COUNT)
        await self._crash(index)

    async def _crash_all(self) -> None:
        await asyncio.gather(*(self._crash(index) for index in range(PROCESS_COUNT)))

    async def _crash(self, index: int) -> None:
        crashed: Process = self.processes[index]
        self.processes[index] = self.program.process()
        self.crashed += 1
        await self.program.crash(crashed)

    def _random_turn(self) -> Reservation | None:
        turns = list(self.program.open)
        return self.rng.choice(turns) if turns else None


class BudgetInvariantTests(unittest.IsolatedAsyncioTestCase):
    """Check both bounds: what may be used, and what may be refused."""

    async def test_random_scenarios(self) -> None:
        """Never exceed the log's limit, and never refuse a turn that fits.

        Turns run on three processes, of which one or all crash and are replaced. A turn
        fits if the tokens used by ended turns and the maximum of all others leave room
        for it.
        """
        # Debug mode of the event loop takes most of the time.
        asyncio.get_running_loop().set_debug(False)
        refused = crashed = 0
        with mock.patch.object(budgets_module, "RELEASE_TIMEOUT", 0.0):
            for seed in SEEDS:
                with self.subTest(seed=seed):
                    scenario = _Scenario(seed=seed)
                    await scenario.play()
                    refused += scenario.refused
                    crashed += scenario.crashed
        self.assertGreater(refused, len(SEEDS) / 10)
        self.assertGreater(crashed, len(SEEDS))
