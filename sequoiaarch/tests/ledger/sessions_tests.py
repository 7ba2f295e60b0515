"""Play turns of which some are given up by their caller, by seed."""

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
    """Relay a turn as a gateway does, which asks only for what it was not told."""

    def __init__(self, *, hold: Reservation) -> None:
        self.hold = hold
        self.handed = 0
        self.told = hold.covered

    @property
    def session(self) -> SessionId:
        """Return the session of the turn."""
        return self.hold.terms.session

    async def send(self, tokens: int) -> bool:
        """Hand out tokens if they are covered."""
        if self.told is not None and self.handed + tokens > self.told:
            if not await self.hold.cover(self.handed + tokens):
                return False
            self.told = self.hold.covered
        self.handed += tokens
        self.hold.record_usage(tokens)
        return True


class _World:
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
        self.handed = 0

    async def step(self) -> None:
        """Begin a turn, have one hand out tokens, or end one."""
        kind = self.rng.randrange(8)
        if kind == 0 or not self.running:
            await self._begin()
        elif kind == 1:
            turn = self.running.pop(self.rng.randrange(len(self.running)))
            turn.hold.close()
        else:
            await self._hand_out(self.rng.choice(self.running))

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

    async def _hand_out(self, turn: _Turn) -> None:
        tokens = min(self.rng.randint(1, 30), MOST - turn.handed)
        if await turn.send(tokens):
            self.handed += tokens
        else:
            assert self._given_up(turn), turn.hold.terms
            assert turn.told is not None
            short = turn.handed + tokens - turn.told
            account = self.ledger._budgets._accounts[PROGRAM]
            assert account.wanted + short > self.budget, (turn.hold.terms, short)
        granted = self.ledger.partition(PROGRAM).state.granted(
            PROGRAM, self.ledger.writer
        )
        assert self.handed <= granted <= self.budget, (self.handed, granted)

    def _given_up(self, turn: _Turn) -> bool:
        """Return whether the caller has begun another turn of the session."""
        return turn.session != "" and self.newest[turn.session] is not turn


class SessionsTests(unittest.IsolatedAsyncioTestCase):
    """Run seeded worlds."""

    async def test_only_what_was_given_up_is_cut(self) -> None:
        """Cut no turn but one that its caller gave up, where the budget lacks the rest.

        Turns of several sessions run at once in budgets of one to six turns. At no
        time is more handed out than the log grants.
        """
        for seed in SEEDS:
            with self.subTest(seed=seed):
                world = _World(seed=seed)
                for _ in range(STEPS):
                    await world.step()
                await world.ledger.close()
