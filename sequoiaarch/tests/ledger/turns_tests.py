"""Test that a turn returns its budget however its caller leaves."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from ...ids import ProgramId, TurnId
from ...ledger import turns as turns_module
from ...ledger.ledger import Ledger
from ...ledger.partition_map import PartitionMap
from ...ledger.reservation import Reservation
from ...ledger.terms import BudgetVerdict, TurnStart, TurnTerms
from ...ledger.turns import LocalTurn, LocalTurns
from ...standins.keyed_store import KeyedStore
from .fake_lender import SlowLender

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
        ledger = Ledger(
            log=client, writer=name, partition_map=PartitionMap(per_topic=1)
        )
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
                mock.patch.object(turns_module, "LOG_TIMEOUT", patience),
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

    async def test_turn_ends_while_it_borrows(self) -> None:
        """Settle a loan that comes after the end of its turn.

        The log is late, a lender is asked, and the caller leaves meanwhile. The
        turn was closed before the loan arrives. A loan that nobody settles counts as
        handed out at its most, and later turns are refused for it.
        """
        lender = SlowLender()
        budget = 10 * MOST
        with mock.patch.object(turns_module, "LOG_TIMEOUT", DELAY / 5):
            ledger, _ = self.process("b", delay=DELAY)
            hold = await ledger.reserve(terms("t2", budget))
            assert isinstance(hold, Reservation)
            turn = LocalTurn(
                start=start("t2", budget),
                history=None,
                hold=hold,
                ledger=ledger,
                lender=lender,
            )
            asking = asyncio.create_task(turn.verdict())
            await lender.asked.wait()
            turn.close()
            lender.answer.set()
            await asking
        self.assertTrue(lender.loans)
        self.assertTrue(all(loan.closed for loan in lender.loans))


class ReservationTests(TurnsTestCase):
    """Hold a part of the budget for each opening of a turn."""

    async def test_one_turn_is_opened_twice(self) -> None:
        """Hold the budget for each opening of a turn until just that one ends.

        A turn is asked for a second time while its first opening is still held.
        The first one is closed. What the second one may hand out must stay held: it
        goes on, and other processes grant what seems to be free to other turns.
        Together they hand out more than the budget.
        """
        budget = 2 * MOST + 20
        ledger, _ = self.process("a")
        other, _ = self.process("b")
        first = await ledger.reserve(terms("t1", budget))
        again = await ledger.reserve(terms("t1", budget))
        assert isinstance(first, Reservation) and isinstance(again, Reservation)
        first.close()
        await ledger.flush()
        running = [again]
        for name in ("u1", "u2"):
            found = await other.reserve(terms(name, budget))
            if isinstance(found, Reservation):
                running.append(found)
        handed = 0
        for hold in running:
            if hold.covered is None or await hold.cover(MOST):
                hold.record_usage(MOST)
                handed += MOST
        self.assertEqual(handed, 2 * MOST)
