"""Simulate turns that are superseded by later ones of their session."""

from __future__ import annotations

import random
import unittest

from ...ids import ProgramId, SessionId, TurnId
from ...ledger.ledger import Ledger
from ...ledger.partition_map import PartitionMap
from ...ledger.reservation import Reservation
from ...ledger.terms import BudgetVerdict, TurnTerms
from ...standins.keyed_store import KeyedStore

SEEDS = range(60)
STEPS = 50
PROGRAM = ProgramId("program")
MOST = 100
SESSIONS = ("", "a", "b")


class _Turn:
    """Relay a turn as a gateway does, asking only for tokens that are not covered."""

    def __init__(self, *, hold: Reservation) -> None:
        self.hold = hold
        self.used = 0
        self.covered = hold.covered

    @property
    def session(self) -> SessionId:
        """Return the session of the turn."""
        return self.hold.terms.session

    async def send(self, tokens: int) -> bool:
        """Send tokens if they are covered."""
        if self.covered is not None and self.used + tokens > self.covered:
            if not await self.hold.cover(self.used + tokens):
                return False
            self.covered = self.hold.covered
        self.used += tokens
        self.hold.record_usage(tokens)
        return True


class _Simulation:
    """Run turns of one program in the process that keeps its account."""

    def __init__(self, *, seed: int) -> None:
        self.rng = random.Random(seed)
        self.ledger = Ledger(
            log=KeyedStore().client(),
            writer="one",
            partition_map=PartitionMap(per_topic=1),
        )
        self.budget = self.rng.randint(MOST, 6 * MOST)
        self.count = 0
        self.running: list[_Turn] = []
        self.newest: dict[SessionId, _Turn] = {}
        self.used = 0

    async def step(self) -> None:
        """Begin a turn, send tokens of one, or end one."""
        action = self.rng.randrange(8)
        if action == 0 or not self.running:
            await self._begin()
        elif action == 1:
            turn = self.running.pop(self.rng.randrange(len(self.running)))
            turn.hold.close()
        else:
            await self._send(self.rng.choice(self.running))

    async def _begin(self) -> None:
        self.count += 1
        terms = TurnTerms(
            turn=TurnId(f"t{self.count}"),
            program=PROGRAM,
            budget=self.budget,
            most=MOST,
            retention=60.0,
            session=SessionId(self.rng.choice(SESSIONS)),
        )
        hold = await self.ledger.reserve(terms)
        if not isinstance(hold, Reservation):
            return
        assert await hold.verdict() is BudgetVerdict.FITS
        turn = _Turn(hold=hold)
        self.running.append(turn)
        self.newest[turn.session] = turn

    async def _send(self, turn: _Turn) -> None:
        tokens = min(self.rng.randint(1, 30), MOST - turn.used)
        if await turn.send(tokens):
            self.used += tokens
        else:
            assert self._is_superseded(turn), turn.hold.terms
            assert turn.covered is not None
            missing = turn.used + tokens - turn.covered
            account = self.ledger._budgets._accounts[PROGRAM]
            assert account.wanted + missing > self.budget, (turn.hold.terms, missing)
        granted = self.ledger.partition(PROGRAM).state.granted(
            PROGRAM, self.ledger.writer
        )
        assert self.used <= granted <= self.budget, (self.used, granted)

    def _is_superseded(self, turn: _Turn) -> bool:
        """Return whether the caller has begun a later turn of the session."""
        return turn.session != "" and self.newest[turn.session] is not turn


class SupersededTurnsTests(unittest.IsolatedAsyncioTestCase):
    """Run seeded simulations."""

    async def test_only_superseded_turns_are_cut_off(self) -> None:
        """Cut off only superseded turns, and only if the budget is too small.

        Turns of several sessions run concurrently on budgets of one to six turns. The
        log grants at least what is used, at any time.
        """
        for seed in SEEDS:
            with self.subTest(seed=seed):
                simulation = _Simulation(seed=seed)
                for _ in range(STEPS):
                    await simulation.step()
                await simulation.ledger.close()
