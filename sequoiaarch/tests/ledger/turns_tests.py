"""Test that a turn releases its budget however its caller leaves."""

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
# Response time of the store, in seconds.
DELAY = 0.05


def terms(turn: str, budget: int) -> TurnTerms:
    """Return the terms of a turn."""
    return TurnTerms(
        turn=TurnId(turn), program=PROGRAM, budget=budget, most=MOST, retention=60.0
    )


def start(turn: str, budget: int) -> TurnStart:
    """Return a turn that starts a new history."""
    return TurnStart(terms=terms(turn, budget), previous=None, kept=True, lifetime=60.0)


class _LeavingCaller:
    """Caller that leaves in the loop iteration in which the grant arrives."""

    def __init__(self, *, ledger: Ledger) -> None:
        self._reserve = ledger.reserve
        self.task: asyncio.Task[object] | None = None

    async def reserve(self, turn_terms: TurnTerms) -> Reservation | BudgetVerdict:
        """Reserve, and cancel the caller before it can see the answer."""
        result = await self._reserve(turn_terms)
        assert self.task is not None
        asyncio.get_running_loop().call_soon(self.task.cancel)
        return result


class TurnsTestCase(unittest.IsolatedAsyncioTestCase):
    """Set up a store and the ledgers of several processes."""

    async def asyncSetUp(self) -> None:
        """Create the store."""
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


class CallerLeavesTests(TurnsTestCase):
    """Release what was reserved for callers that have left."""

    async def test_caller_leaves_as_the_grant_arrives(self) -> None:
        """Release a grant whose caller leaves as it arrives.

        Otherwise nobody ends the turn, and its tokens stay reserved for good.
        """
        budget = MOST + 20
        for open_timeout in (DELAY / 5, 10 * DELAY):
            with (
                self.subTest(open_timeout=open_timeout),
                mock.patch.object(turns_module, "LOG_TIMEOUT", open_timeout),
            ):
                self.store = KeyedStore()
                ledger, turns = self.process("a", delay=DELAY)
                caller = _LeavingCaller(ledger=ledger)
                with mock.patch.object(ledger, "reserve", caller.reserve):
                    caller.task = asyncio.create_task(turns.open(start("t1", budget)))
                    await asyncio.wait([caller.task])
                self.assertTrue(caller.task.cancelled())
                await ledger.flush()
                other, _ = self.process("b")
                result = await other.reserve(terms("t2", budget))
                self.assertIsInstance(result, Reservation)

    async def test_loan_is_settled_after_turn_has_ended(self) -> None:
        """Settle a loan that arrives after the end of its turn.

        An unsettled loan counts in full, and later turns would be refused for it.
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
            verdict_task = asyncio.create_task(turn.verdict())
            await lender.asked.wait()
            turn.close()
            lender.answer.set()
            await verdict_task
        self.assertTrue(lender.loans)
        self.assertTrue(all(loan.closed for loan in lender.loans))


class ReservationTests(TurnsTestCase):
    """Reserve separately for each opening of a turn."""

    async def test_turn_opened_twice_has_two_reservations(self) -> None:
        """Keep the second reservation of a turn when the first is closed.

        Otherwise other processes are granted its tokens, and the budget is exceeded.
        """
        budget = 2 * MOST + 20
        ledger, _ = self.process("a")
        other, _ = self.process("b")
        first = await ledger.reserve(terms("t1", budget))
        second = await ledger.reserve(terms("t1", budget))
        assert isinstance(first, Reservation) and isinstance(second, Reservation)
        first.close()
        await ledger.flush()
        running = [second]
        for name in ("u1", "u2"):
            result = await other.reserve(terms(name, budget))
            if isinstance(result, Reservation):
                running.append(result)
        used = 0
        for hold in running:
            if hold.covered is None or await hold.cover(MOST):
                hold.record_usage(MOST)
                used += MOST
        self.assertEqual(used, 2 * MOST)
