"""Compare what the ledger admits with a naive count, in seeded short histories."""

from __future__ import annotations

import asyncio
import random
import unittest
from unittest import mock

from ...ledger import budgets as budgets_module
from ...ledger.reservation import Reservation
from ...ledger.split import LendingSplit, LogOnlySplit
from ...ledger.terms import BudgetVerdict
from .losses_tests import MOST, SMALL, Process, Program

SEEDS = range(2000)
STEPS = 14
PROCESSES = 3
# An answer of the store is there after fewer rounds of the loop than this.
ANSWERED = 12
# Whole turns and some tokens, and others whose turns are granted whole.
BUDGETS = (2 * MOST + 40, 3 * MOST + 40, *SMALL, 2600)


class _History:
    """Play the steps of one seed."""

    def __init__(self, *, seed: int) -> None:
        self.rng = random.Random(seed)
        split = self.rng.choice((LogOnlySplit(), LendingSplit()))
        self.program = Program(budget=self.rng.choice(BUDGETS), split=split)
        self.places = [self.program.process() for _ in range(PROCESSES)]
        self.steps: list[str] = []
        self.refused = 0
        self.lost = 0

    async def play(self) -> None:
        """Play all steps, and check after each."""
        steps = [self._begin, self._begin_together, self._hand, self._hand]
        steps += [self._end, self._end_asking, self._close]
        steps += [self._lose_one, self._lose_all]
        for _ in range(STEPS):
            step = self.rng.choice(steps)
            self.steps.append(step.__name__)
            await step()
            within = self.program.handed <= self.program.limit
            assert within, (self.steps, str(self.program))
        await self.program.close()

    async def _begin(self) -> None:
        must = self.program.must_fit
        found = await self.program.begin(self.rng.choice(self.places))
        if isinstance(found, Reservation):
            return
        self.refused += 1
        told = (self.steps, found, str(self.program))
        assert not (must and found is BudgetVerdict.EXCEEDED), told

    async def _begin_together(self) -> None:
        """Begin turns at once, which may refuse one another but leave nothing."""
        together = [self.program.begin(place) for place in self.places]
        await asyncio.gather(*together)
        await asyncio.gather(*(place.ledger.flush() for place in self.places))

    async def _hand(self) -> None:
        turn = self._any()
        if turn is None:
            return
        left = MOST - self.program.open[turn][1]
        # Ends at a few tokens and losses at the most leave the least room.
        tokens = self.rng.choice((min(left, 10), self.rng.randint(0, left), left))
        covered = await self.program.hand(turn, tokens)
        # As long as every open turn fits at its most none may be cut.
        fits = self.program.counted <= self.program.limit
        assert covered or not fits, (self.steps, str(self.program))

    async def _end(self) -> None:
        turn = self._any()
        if turn is not None:
            await self.program.end(turn)

    async def _end_asking(self) -> None:
        """End a turn that has just asked for all that it may come to."""
        turn = self._any()
        if turn is None:
            return
        asking = asyncio.create_task(turn.cover(MOST))
        for _ in range(self.rng.randrange(ANSWERED)):
            await asyncio.sleep(0)
        await self.program.end(turn)
        asking.cancel()
        await asyncio.wait([asking])

    async def _close(self) -> None:
        """End a turn that is not kept; its process writes what it leaves."""
        turn = self._any()
        if turn is not None:
            process, handed = self.program.open.pop(turn)
            turn.close()
            await process.ledger.flush()
            self.program.ended += handed

    async def _lose_one(self) -> None:
        place = self.rng.randrange(PROCESSES)
        await self._lose(place)

    async def _lose_all(self) -> None:
        await asyncio.gather(*(self._lose(place) for place in range(PROCESSES)))

    async def _lose(self, place: int) -> None:
        lost: Process = self.places[place]
        self.places[place] = self.program.process()
        self.lost += 1
        await self.program.lose(lost)

    def _any(self) -> Reservation | None:
        turns = list(self.program.open)
        return self.rng.choice(turns) if turns else None


class PromiseTests(unittest.IsolatedAsyncioTestCase):
    """Hold both bounds: what may be handed out, and what may be refused."""

    async def test_short_histories(self) -> None:
        """Never exceed what the log may grant, nor refuse a turn that fits.

        Turns begin, hand out and end through three processes; one or all are lost
        with their turns, and fresh ones go on. A turn fits if those that ended, at
        what they handed out, and all others at their most leave room for it.
        """
        # What the loop notes for its debugging takes most of the time.
        asyncio.get_running_loop().set_debug(False)
        refused = lost = 0
        with mock.patch.object(budgets_module, "RELEASE_DEADLINE", 0.0):
            for seed in SEEDS:
                with self.subTest(seed=seed):
                    history = _History(seed=seed)
                    await history.play()
                    refused += history.refused
                    lost += history.lost
        self.assertGreater(refused, len(SEEDS) / 10)
        self.assertGreater(lost, len(SEEDS))
