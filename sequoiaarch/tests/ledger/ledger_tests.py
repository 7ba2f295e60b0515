"""Test that turns are never lost and budgets never exceeded."""

from __future__ import annotations

import asyncio
import unittest

from ...ids import ProgramId, TurnId
from ...ledger.ledger import Ledger, Lookup, Reservation, TurnTerms, Verdict
from ...standins.keyed_store import KeyedStore

PROGRAM = ProgramId("program-1")
BUDGET = 800
MOST = 100
RETENTION = 60.0


def terms(turn: str, *, program: ProgramId = PROGRAM) -> TurnTerms:
    """Return the terms of a turn."""
    return TurnTerms(
        turn=TurnId(turn),
        program=program,
        budget=BUDGET,
        most=MOST,
        retention=RETENTION,
    )


class LedgerTestCase(unittest.IsolatedAsyncioTestCase):
    """Hold a store and ledgers of several processes on it."""

    async def asyncSetUp(self) -> None:
        """Make the store."""
        self.store = KeyedStore()
        self._ledgers: list[Ledger] = []

    async def asyncTearDown(self) -> None:
        """End the ledgers."""
        for ledger in self._ledgers:
            await ledger.close()

    async def ledger(self, name: str) -> Ledger:
        """Return the ledger of a process that has just started."""
        client = self.store.client()
        ledger = Ledger(log=client, writer=name)
        self.clients = {**getattr(self, "clients", {}), name: client}
        self._ledgers.append(ledger)
        await ledger.start()
        return ledger

    async def reserved(self, ledger: Ledger, turn: str) -> Reservation:
        """Return the reservation of a turn, which must fit."""
        found = await ledger.reserve(terms(turn))
        assert isinstance(found, Reservation)
        return found

    async def commit(
        self, ledger: Ledger, turn: str, parent: str | None, given: bytes, made: bytes
    ) -> None:
        """Commit a turn."""
        await ledger.commit(
            terms(turn),
            used=len(made),
            parent=TurnId(parent) if parent else None,
            given=given,
            produced=made,
        )


class HistoryTests(LedgerTestCase):
    """Test that a committed turn is found everywhere, and nothing else is."""

    async def test_other_process_at_once(self) -> None:
        """Continue a turn elsewhere before anything told that process of it.

        The caller has the end of its first turn and sends the next through
        another process a millisecond later. That one has not read the log
        since. It must look before it answers that there is no such turn.
        """
        first = await self.ledger("a")
        second = await self.ledger("b")
        await self.commit(first, "t1", None, b"in1", b"out1")
        found = await second.history(PROGRAM, TurnId("t1"))
        self.assertEqual(found, b"in1out1")

    async def test_branches(self) -> None:
        """Continue one turn twice; each branch has its own history."""
        ledger = await self.ledger("a")
        await self.commit(ledger, "t1", None, b"a", b"b")
        await self.commit(ledger, "t2", "t1", b"c", b"d")
        await self.commit(ledger, "t3", "t1", b"e", b"f")
        self.assertEqual(await ledger.history(PROGRAM, TurnId("t2")), b"abcd")
        self.assertEqual(await ledger.history(PROGRAM, TurnId("t3")), b"abef")

    async def test_unknown_turn(self) -> None:
        """Deny a turn that was never answered, once the log was read to its end."""
        ledger = await self.ledger("a")
        found = await ledger.history(PROGRAM, TurnId("nothing"))
        self.assertIs(found, Lookup.ABSENT)

    async def test_unknown_while_store_is_away(self) -> None:
        """Admit uncertainty about a turn while the log can't be read.

        Another process committed the turn. The store then turns this process
        away. An answer that there is no such turn would end the program.
        """
        first = await self.ledger("a")
        second = await self.ledger("b")
        await self.commit(first, "t1", None, b"in", b"out")
        self.clients["b"].faults.down = True
        found = await second.history(PROGRAM, TurnId("t1"))
        self.assertIs(found, Lookup.UNCERTAIN)

    async def test_all_processes_lost(self) -> None:
        """Find a turn after every process was lost and the history dropped."""
        first = await self.ledger("a")
        await self.commit(first, "t1", None, b"in1", b"out1")
        await self.commit(first, "t2", "t1", b"in2", b"out2")
        self.store.forget_history()
        fresh = await self.ledger("b")
        found = await fresh.history(PROGRAM, TurnId("t2"))
        self.assertEqual(found, b"in1out1in2out2")

    async def test_history_dropped_while_running(self) -> None:
        """Find a turn that was committed and dropped from the history unread."""
        first = await self.ledger("a")
        second = await self.ledger("b")
        await self.commit(first, "t1", None, b"in", b"out")
        self.store.forget_history()
        found = await second.history(PROGRAM, TurnId("t1"))
        self.assertEqual(found, b"inout")

    async def test_another_program_continues(self) -> None:
        """Continue a turn under another program, whose partition differs."""
        first = await self.ledger("a")
        second = await self.ledger("b")
        await self.commit(first, "t1", None, b"in", b"out")
        for number in range(8):
            other = ProgramId(f"other-{number}")
            found = await second.history(other, TurnId("t1"))
            self.assertEqual(found, b"inout")

    async def test_late_copy_of_reservation(self) -> None:
        """Keep a turn although an old copy of its reservation arrives late.

        The answer to the reservation's append is lost and the store carries
        it out after the turn's end was committed. Were it accepted then, the
        newest record of the turn would be its reservation, and the turn that
        the caller has would be gone after a restart.
        """
        first = await self.ledger("a")
        self.clients["a"].faults.lost_answers = 1
        self.clients["a"].faults.late = 0.15
        await self.reserved(first, "t1")
        await self.commit(first, "t1", None, b"in", b"out")
        await asyncio.sleep(0.25)
        fresh = await self.ledger("b")
        self.assertEqual(await fresh.history(PROGRAM, TurnId("t1")), b"inout")


class BudgetTests(LedgerTestCase):
    """Test that no more than the budget is ever handed out."""

    async def test_parallel_processes(self) -> None:
        """Let parallel turns through two processes share one budget.

        Sub-agents of one program start at once through different processes,
        each of which knows only its own turns. Together they want twice the
        budget; the order in the log decides which of them fit.
        """
        ledgers = [await self.ledger("a"), await self.ledger("b")]
        wanted = 2 * BUDGET // MOST

        async def one(number: int) -> bool:
            found = await ledgers[number % 2].reserve(terms(f"t{number}"))
            if not isinstance(found, Reservation):
                return False
            return await found.verdict() is Verdict.FITS

        results = await asyncio.gather(*(one(number) for number in range(wanted)))
        self.assertEqual(sum(results), BUDGET // MOST)

    async def test_lost_process(self) -> None:
        """Count what a lost process had reserved as spent."""
        first = await self.ledger("a")
        for number in range(BUDGET // MOST):
            await (await self.reserved(first, f"t{number}")).verdict()
        fresh = await self.ledger("b")
        found = await fresh.reserve(terms("another"))
        self.assertIs(found, Verdict.EXCEEDED)

    async def test_settled_turns_return_the_rest(self) -> None:
        """Give back what a turn did not use."""
        first = await self.ledger("a")
        second = await self.ledger("b")
        for number in range(3 * BUDGET // MOST):
            reservation = await self.reserved(first, f"t{number}")
            await reservation.verdict()
            first.settle(reservation.terms, used=10)
        await first.flush()
        found = await second.reserve(terms("another"))
        self.assertIsInstance(found, Reservation)

    async def test_spent_elsewhere(self) -> None:
        """Refuse before the request is sent where the budget is spent elsewhere.

        A refusal for the budget promises that the turn has not run, so near
        the limit the log decides before anything is sent.
        """
        first = await self.ledger("a")
        second = await self.ledger("b")
        for number in range(BUDGET // MOST - 2):
            reservation = await self.reserved(first, f"t{number}")
            await reservation.verdict()
        await second.history(PROGRAM, TurnId("nothing"))
        for number in range(2):
            await (await self.reserved(first, f"late{number}")).verdict()
        found = await second.reserve(terms("another"))
        self.assertIs(found, Verdict.EXCEEDED)
