"""Test that a turn returns its budget however its caller leaves."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from ...ids import ProgramId, TurnId
from ...ledger import turns as turns_module
from ...ledger.ledger import Ledger
from ...ledger.places import Places
from ...ledger.reservation import Reservation
from ...ledger.terms import BudgetVerdict, TurnStart, TurnTerms
from ...ledger.turns import LocalTurns
from ...standins.keyed_store import KeyedStore

PROGRAM = ProgramId("program")
MOST = 100
# The store answers after this time, in seconds.
DELAY = 0.05


def terms(turn: str, budget: int) -> TurnTerms:
    """Return the terms of a turn."""
    return TurnTerms(
        turn=TurnId(turn), program=PROGRAM, budget=budget, most=MOST, retention=60.0
    )


def start(turn: str, budget: int) -> TurnStart:
    """Return a turn that begins a chain."""
    return TurnStart(terms=terms(turn, budget), previous=None, kept=True, lifetime=60.0)


class _Caller:
    """Leave in the same loop iteration in which the grant arrives."""

    def __init__(self, *, ledger: Ledger) -> None:
        self._reserve = ledger.reserve
        self.task: asyncio.Task[object] | None = None

    async def reserve(self, asked: TurnTerms) -> Reservation | BudgetVerdict:
        """Reserve, and have the caller leave before it can see the answer."""
        found = await self._reserve(asked)
        assert self.task is not None
        asyncio.get_running_loop().call_soon(self.task.cancel)
        return found


class TurnsTestCase(unittest.IsolatedAsyncioTestCase):
    """Hold a store and ledgers of several processes on it."""

    async def asyncSetUp(self) -> None:
        """Make the store."""
        self.store = KeyedStore()

    def process(self, name: str, *, delay: float = 0.0) -> tuple[Ledger, LocalTurns]:
        """Return the ledger and the turns of a process."""
        client = self.store.client()
        client.faults.delay = delay
        ledger = Ledger(log=client, writer=name, places=Places(per_topic=1))
        self.addAsyncCleanup(ledger.close)
        return ledger, LocalTurns(ledger=ledger)


class LeavingTests(TurnsTestCase):
    """Return what was reserved for callers that have left."""

    async def test_caller_leaves_as_the_grant_arrives(self) -> None:
        """Return a grant whose caller leaves in the same moment.

        A caller waits for its turn while the store is slow, and leaves just as the
        answer comes. Nobody has the turn then, so nobody ends it. Its part of the
        budget stays held, and a program whose budget holds one more turn is refused
        through every process.
        """
        budget = MOST + 20
        for patience in (DELAY / 5, 10 * DELAY):
            with (
                self.subTest(patience=patience),
                mock.patch.object(turns_module, "LOG_PATIENCE", patience),
            ):
                self.store = KeyedStore()
                ledger, turns = self.process("a", delay=DELAY)
                caller = _Caller(ledger=ledger)
                with mock.patch.object(ledger, "reserve", caller.reserve):
                    caller.task = asyncio.create_task(turns.open(start("t1", budget)))
                    await asyncio.wait([caller.task])
                self.assertTrue(caller.task.cancelled())
                await ledger.flush()
                other, _ = self.process("b")
                found = await other.reserve(terms("t2", budget))
                self.assertIsInstance(found, Reservation)
