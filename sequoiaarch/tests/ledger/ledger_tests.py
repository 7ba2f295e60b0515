"""Test that turns are never lost and budgets never exceeded."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

import logbook
import msgspec

from ...errors import Failure
from ...ids import Offset, ProgramId, TurnId, WriterId
from ...ledger import budgets as budgets_module, ledger as ledger_module
from ...ledger.ledger import Ledger
from ...ledger.partition_map import PartitionMap
from ...ledger.records import GrantRecord, encode_record, grant_key
from ...ledger.reservation import Reservation
from ...ledger.terms import (
    BudgetVerdict,
    History,
    LookupFailure,
    TurnContent,
    TurnTerms,
)
from ...standins.keyed_store import KeyedStore
from ...storage.keyed import KeyedRecord, LogGap, Partition, Writer

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


def prompt(found: History | LookupFailure) -> bytes | LookupFailure:
    """Return the bytes of a history that was found."""
    return found.prompt if isinstance(found, History) else found


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

    async def ledger(self, name: str, *, per_topic: int = 2) -> Ledger:
        """Return the ledger of a process that has just started."""
        client = self.store.client()
        ledger = Ledger(
            log=client, writer=name, partition_map=PartitionMap(per_topic=per_topic)
        )
        self.clients = {**getattr(self, "clients", {}), name: client}
        self._ledgers.append(ledger)
        return ledger

    async def store_records(self, place: Partition) -> list[KeyedRecord]:
        """Return all records that stand in a partition."""
        page = await self.store.client().read(place, Offset(0), wait=0)
        assert not isinstance(page, Failure | LogGap)
        return page.records

    async def reserved(
        self, ledger: Ledger, turn: str, *, program: ProgramId = PROGRAM
    ) -> Reservation:
        """Return the reservation of a turn, which must fit."""
        found = await ledger.reserve(terms(turn, program=program))
        assert isinstance(found, Reservation)
        return found

    async def commit(
        self,
        ledger: Ledger,
        turn: str,
        parent: str | None,
        given: bytes,
        made: bytes,
        *,
        program: ProgramId = PROGRAM,
    ) -> None:
        """Run and commit a turn."""
        reservation = await self.reserved(ledger, turn, program=program)
        await reservation.verdict()
        announced = ledger.write_index(reservation.terms)
        content = TurnContent(
            parent=TurnId(parent) if parent else None, given=given, produced=made
        )
        await ledger.commit(reservation, content)
        await announced


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
        self.assertEqual(prompt(found), b"in1out1")

    async def test_branches(self) -> None:
        """Continue one turn twice; each branch has its own history."""
        ledger = await self.ledger("a")
        await self.commit(ledger, "t1", None, b"a", b"b")
        await self.commit(ledger, "t2", "t1", b"c", b"d")
        await self.commit(ledger, "t3", "t1", b"e", b"f")
        found = await ledger.history(PROGRAM, TurnId("t2"))
        self.assertEqual(prompt(found), b"abcd")
        found = await ledger.history(PROGRAM, TurnId("t3"))
        self.assertEqual(prompt(found), b"abef")

    async def test_unknown_turn(self) -> None:
        """Deny a turn that was never answered, once the log was read to its end."""
        ledger = await self.ledger("a")
        found = await ledger.history(PROGRAM, TurnId("nothing"))
        self.assertIs(found, LookupFailure.ABSENT)

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
        self.assertIs(found, LookupFailure.UNCERTAIN)

    async def test_all_processes_lost(self) -> None:
        """Find a turn after every process was lost and the history dropped."""
        first = await self.ledger("a")
        await self.commit(first, "t1", None, b"in1", b"out1")
        await self.commit(first, "t2", "t1", b"in2", b"out2")
        self.store.forget_history()
        fresh = await self.ledger("b")
        found = await fresh.history(PROGRAM, TurnId("t2"))
        self.assertEqual(prompt(found), b"in1out1in2out2")

    async def test_history_dropped_while_running(self) -> None:
        """Find a turn that was committed and dropped from the history unread."""
        first = await self.ledger("a")
        second = await self.ledger("b")
        await self.commit(first, "t1", None, b"in", b"out")
        self.store.forget_history()
        found = await second.history(PROGRAM, TurnId("t1"))
        self.assertEqual(prompt(found), b"inout")

    async def test_another_program_continues(self) -> None:
        """Continue a turn under another program, whose partition differs."""
        first = await self.ledger("a")
        second = await self.ledger("b")
        await self.commit(first, "t1", None, b"in", b"out")
        for number in range(8):
            other = ProgramId(f"other-{number}")
            found = await second.history(other, TurnId("t1"))
            self.assertEqual(prompt(found), b"inout")

    async def test_late_copy_of_a_commit(self) -> None:
        """Keep a turn although its first commit was lost and comes late.

        The answer to the append is lost, and the store carries it out after
        the repeat and after what followed it.
        """
        first = await self.ledger("a")
        self.clients["a"].faults.lost_answers = 1
        self.clients["a"].faults.late = 0.15
        await self.commit(first, "t1", None, b"in", b"out")
        await self.commit(first, "t2", "t1", b"in2", b"out2")
        await asyncio.sleep(0.25)
        fresh = await self.ledger("b")
        found = await fresh.history(PROGRAM, TurnId("t2"))
        self.assertEqual(prompt(found), b"inoutin2out2")

    async def test_foreign_history_outlives_its_program(self) -> None:
        """Keep a history that a second program continues, after the first ended.

        A second program continues a turn of a first one, through a process
        that knows neither. The first one's records are removed when it can't
        come back. The second one's next turn still needs them.
        """
        first = await self.ledger("a")
        await self.commit(first, "t1", None, b"in", b"out")
        second = await self.ledger("b")
        other = ProgramId("other")
        found = await second.history(other, TurnId("t1"))
        assert isinstance(found, History)
        self.assertFalse(found.own)
        reservation = await second.reserve(terms("u1", program=other))
        assert isinstance(reservation, Reservation)
        await reservation.verdict()
        content = TurnContent(parent=None, base=found.prompt, given=b"+", produced=b"!")
        await second.commit(reservation, content)
        await second.write_index(reservation.terms)
        await self.store.add(second.partition_map.of_program(PROGRAM), "t1", b"")
        third = await self.ledger("c")
        last = await third.history(other, TurnId("u1"))
        self.assertEqual(prompt(last), b"inout+!")

    async def test_memory_of_turns_is_freed(self) -> None:
        """Find a turn whose memory was needed for others."""
        ledger = await self.ledger("a")
        await self.commit(ledger, "t1", None, b"in", b"out")
        ledger.partition(PROGRAM).drop_turns()
        self.assertEqual(ledger.turns, 0)
        found = await ledger.history(PROGRAM, TurnId("t1"))
        self.assertEqual(prompt(found), b"inout")

    async def test_a_start_reads_little(self) -> None:
        """Continue a turn after a power loss by reading its program alone.

        All processes lose power and start again at once. When each read the
        whole store first, none of them answered for 16 s.
        """
        first = await self.ledger("a", per_topic=12)
        for number in range(20):
            program = ProgramId(f"program-{number}")
            await self.commit(first, f"t{number}", None, b"in", b"out", program=program)
        reads = self.store.listings
        fresh = await self.ledger("b", per_topic=12)
        found = await fresh.history(ProgramId("program-7"), TurnId("t7"))
        self.assertEqual(prompt(found), b"inout")
        self.assertEqual(self.store.listings - reads, 1)


class BudgetTests(LedgerTestCase):
    """Test that no more than the budget is ever handed out."""

    async def run_turn(self, ledger: Ledger, turn: str, tokens: int) -> BudgetVerdict:
        """Run a turn that hands out tokens, and return whether it fitted."""
        found = await ledger.reserve(terms(turn))
        if isinstance(found, BudgetVerdict):
            return found
        verdict = await found.verdict()
        if verdict is BudgetVerdict.FITS:
            self.assertTrue(await found.cover(tokens))
            found.record_usage(tokens)
        found.close()
        return verdict

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
            if await found.verdict() is not BudgetVerdict.FITS:
                return False
            self.assertTrue(await found.cover(MOST), "cut although it had room")
            found.record_usage(MOST)
            return True

        results = await asyncio.gather(*(one(number) for number in range(wanted)))
        self.assertLessEqual(sum(results), BUDGET // MOST)
        self.assertGreaterEqual(sum(results), BUDGET // MOST - 2)

    async def test_small_budget_after_a_loss(self) -> None:
        """Let a program go on whose budget holds one more turn after a loss.

        A program with a budget of two turns ends its first one, which used half
        of its most, and begins the second; all processes are lost after a few
        tokens of it. Its kept turn can be continued and 1,134 - 340 tokens are
        not handed out, more than a turn needs; but what the lost process held
        for the second turn counts as spent, and every try is refused.
        """

        def of_two(turn: str) -> TurnTerms:
            return TurnTerms(
                turn=TurnId(turn),
                program=PROGRAM,
                budget=1134,
                most=567,
                retention=RETENTION,
            )

        first = await self.ledger("a")
        for turn, tokens in (("t1", 300), ("t2", 40)):
            hold = await first.reserve(of_two(turn))
            assert isinstance(hold, Reservation)
            self.assertIs(await hold.verdict(), BudgetVerdict.FITS)
            hold.record_usage(tokens)
            if turn == "t1":
                hold.close()
                await first.flush()
        fresh = await self.ledger("b")
        # Until then the answer is to come back, as a live process may return it.
        with mock.patch.object(budgets_module, "RELEASE_DEADLINE", 0.0):
            found = await fresh.reserve(of_two("t3"))
        self.assertIsInstance(found, Reservation)

    async def test_loss_within_a_raised_turn(self) -> None:
        """Count as spent what a lost process was granted, after raises too.

        A turn of a small budget has more granted while it runs, and hands it
        out; its process is lost. Another process must not hand out the same
        tokens, whatever the first one's turn had come to.
        """
        ledger = await self.ledger("a")

        def third(turn: str) -> TurnTerms:
            return msgspec.structs.replace(terms(turn), budget=3 * MOST)

        first = await ledger.reserve(third("t1"))
        assert isinstance(first, Reservation)
        self.assertIs(await first.verdict(), BudgetVerdict.FITS)
        for _ in range(9):
            self.assertTrue(await first.cover((first.covered or 0) + 1))
            if first.covered is None:
                break
        self.assertIsNone(first.covered)
        first.record_usage(MOST)
        fresh = await self.ledger("b")
        handed = MOST
        with mock.patch.object(budgets_module, "RELEASE_DEADLINE", 0.0):
            for number in range(4):
                hold = await fresh.reserve(third(f"u{number}"))
                if isinstance(hold, Reservation):
                    self.assertTrue(await hold.cover(MOST))
                    hold.record_usage(MOST)
                    handed += MOST
        self.assertEqual(handed, 3 * MOST)

    async def test_turn_that_announced_nothing(self) -> None:
        """Have the log grant what a turn comes to beyond what was announced."""
        ledger = await self.ledger("a")
        hold = await ledger.reserve(msgspec.structs.replace(terms("t1"), most=0))
        assert isinstance(hold, Reservation)
        self.assertIs(await hold.verdict(), BudgetVerdict.FITS)
        for _ in range(10):
            self.assertTrue(await hold.cover(10 + hold._used))
            hold.record_usage(10)
        state = ledger.partition(PROGRAM).state
        self.assertGreaterEqual(state.granted(PROGRAM, ledger.writer), 100)

    async def test_turn_that_waits_keeps_its_claim(self) -> None:
        """Leave free what a turn may need that waits for long at a full engine.

        Its process told the others what the turn may come to, and they leave
        that free for a while. The turn's first event comes later. Sub-agents
        that begin through another process meanwhile must not get the rest of the
        budget: the stream would be cut in the middle.
        """
        first, second = await self.ledger("a"), await self.ledger("b")
        budget = int(2.5 * MOST)

        def of(turn: str) -> TurnTerms:
            return msgspec.structs.replace(terms(turn), budget=budget)

        with (
            mock.patch.object(budgets_module, "RELEASE_DEADLINE", 0.6),
            mock.patch.object(budgets_module, "RELEASE_INTERVAL", 0.1),
            mock.patch.object(ledger_module, "RELEASE_INTERVAL", 0.1),
        ):
            returning = asyncio.create_task(first.run_release())
            self.addCleanup(returning.cancel)
            waiting = await first.reserve(of("t1"))
            assert isinstance(waiting, Reservation)
            self.assertIs(await waiting.verdict(), BudgetVerdict.FITS)
            other = await second.reserve(of("t2"))
            assert isinstance(other, Reservation)
            await asyncio.sleep(1.5)
            self.assertIsInstance(await second.reserve(of("t3")), BudgetVerdict)
        self.assertTrue(await waiting.cover(MOST))
        self.assertTrue(await other.cover(MOST))

    async def test_refused_turns_take_no_part(self) -> None:
        """Raise what a running turn holds beside turns that are refused.

        A program that loops starts sub-agents through several processes. Two of
        its turns run and leave no room for a third. Another process, which has
        not read of them, is asked for one again and again. Its view is old: it
        must look before it asks the log for a part, or the running turns find
        their rest taken, and their streams are cut.
        """
        first, second = await self.ledger("a"), await self.ledger("b")

        def of(turn: str) -> TurnTerms:
            return msgspec.structs.replace(terms(turn), budget=2 * MOST + 60)

        early = await second.reserve(of("t0"))
        assert isinstance(early, Reservation)
        early.close()
        await second.flush()
        running = [await first.reserve(of(name)) for name in ("t1", "t2")]
        await first.flush()
        place = second.partition_map.of_program(PROGRAM)
        before = len(await self.store_records(place))
        for number in range(5):
            self.assertIs(await second.reserve(of(f"u{number}")), BudgetVerdict.HELD)
        self.assertEqual(len(await self.store_records(place)), before)
        for turn in running:
            assert isinstance(turn, Reservation)
            self.assertIs(await turn.verdict(), BudgetVerdict.FITS)
            self.assertTrue(await turn.cover(MOST))

    async def test_raise_that_did_not_hold_is_asked_for_again(self) -> None:
        """Go on with a turn once what was in its way has been returned.

        While a turn runs, another process begins one that finds no room and takes
        its part back some milliseconds later. A raise that fell between the two did
        not hold. The stream waits, and asks again.
        """
        ledger = await self.ledger("a")
        place = ledger.partition_map.of_program(PROGRAM)
        running = await ledger.reserve(
            msgspec.structs.replace(terms("t1"), budget=MOST + 20)
        )
        assert isinstance(running, Reservation)
        self.assertIs(await running.verdict(), BudgetVerdict.FITS)
        key = grant_key(PROGRAM, WriterId("b"))
        for tokens, fits in ((60, False), (0, True)):
            record = GrantRecord(
                program=PROGRAM,
                retention=RETENTION,
                writer=WriterId("b"),
                budget=MOST + 20,
                tokens=tokens,
                used=0,
            )
            await self.store.add(place, key, encode_record(record))
            self.assertIs(await running.cover(MOST), fits)

    async def test_room_is_returned_while_a_turn_is_judged(self) -> None:
        """Have a caller come back whose budget was held only for a moment.

        Another process opens a turn and returns it at once, as its gateway has gone
        elsewhere. A grant that falls between the two has no room at its place in the
        log. By the time that it is read nothing is held any more, which was taken for
        a budget that is spent.
        """
        ledger = await self.ledger("a")
        client = self.clients["a"]
        place = ledger.partition_map.of_program(PROGRAM)
        small = msgspec.structs.replace(terms("t1"), budget=int(1.6 * MOST))

        async def put_other(tokens: int, wanted: int) -> None:
            record = GrantRecord(
                program=PROGRAM,
                retention=RETENTION,
                writer=WriterId("b"),
                budget=small.budget,
                tokens=tokens,
                used=30,
                wanted=wanted,
            )
            key = grant_key(PROGRAM, WriterId("b"))
            await self.store.add(place, key, encode_record(record))

        append = client.append

        async def overtaken(
            partition: Partition, records: list[KeyedRecord], *, writer: Writer
        ) -> Offset | Failure:
            await put_other(64, 30 + MOST)
            done = await append(partition, records, writer=writer)
            await put_other(30, 30)
            return done

        await put_other(30, 30)
        with mock.patch.object(client, "append", overtaken):
            found = await ledger.reserve(small)
        self.assertIs(found, BudgetVerdict.HELD)
        again = msgspec.structs.replace(small, turn=TurnId("t2"))
        self.assertIsInstance(await ledger.reserve(again), Reservation)

    async def test_raise_without_an_answer(self) -> None:
        """Hand out nothing of a raise whose answer was lost, and go on after it.

        The store carries the raise out and its answer is lost; it is asked
        again under the same number and gets the first answer.
        """
        ledger = await self.ledger("a")
        small = msgspec.structs.replace(terms("t1"), budget=2 * MOST)
        hold = await ledger.reserve(small)
        assert isinstance(hold, Reservation)
        self.assertIs(await hold.verdict(), BudgetVerdict.FITS)
        before = hold.covered or 0
        self.clients["a"].faults.lost_answers = 1
        covering = asyncio.create_task(hold.cover(before + 1))
        await asyncio.sleep(0)
        self.assertFalse(hold.granted)
        self.assertTrue(await covering)
        self.assertTrue(hold.granted)

    async def test_lost_process(self) -> None:
        """Count what a lost process was granted as spent."""
        first = await self.ledger("a")
        for number in range(BUDGET // MOST):
            await (await self.reserved(first, f"t{number}")).verdict()
        fresh = await self.ledger("b")
        found = await fresh.reserve(terms("another"))
        self.assertIn(found, (BudgetVerdict.EXCEEDED, BudgetVerdict.HELD))

    async def test_never_more_than_the_budget(self) -> None:
        """Hand out no more than the budget through processes that come and go.

        One process after the other runs turns of a program and is lost; each
        next one knows of the earlier ones' turns from the log alone.
        """
        handed = 0
        for life in range(6):
            ledger = await self.ledger(f"life-{life}")
            for number in range(4):
                verdict = await self.run_turn(ledger, f"t{life}-{number}", 70)
                handed += 70 * (verdict is BudgetVerdict.FITS)
        self.assertLessEqual(handed, BUDGET)
        self.assertGreater(handed, 0)

    async def test_rest_is_returned(self) -> None:
        """Let another process use what a still program does not."""
        first = await self.ledger("a")
        second = await self.ledger("b")
        returning = asyncio.create_task(first.run_release())
        self.addCleanup(returning.cancel)
        for number in range(3):
            self.assertIs(
                await self.run_turn(first, f"t{number}", 10), BudgetVerdict.FITS
            )
        async with asyncio.timeout(10):
            while first.partition(PROGRAM).state.granted(PROGRAM, first.writer) > 30:
                await asyncio.sleep(0.02)
        for number in range((BUDGET - 30) // MOST):
            found = await second.reserve(terms(f"u{number}"))
            self.assertIsInstance(found, Reservation, number)

    async def test_small_budget_after_all_are_lost(self) -> None:
        """Let a program go on whose ended turns used little, after a power loss.

        A program with a budget of three turns at their most takes turns through
        several processes, each of which is lost right after the turn's end.
        What they did not use must not count: the program that comes back has
        most of its budget left.
        """
        small = 3 * MOST

        def small_terms(turn: str) -> TurnTerms:
            return TurnTerms(
                turn=TurnId(turn),
                program=PROGRAM,
                budget=small,
                most=MOST,
                retention=RETENTION,
            )

        for life in range(6):
            ledger = await self.ledger(f"life-{life}")
            found = await ledger.reserve(small_terms(f"t{life}"))
            assert isinstance(found, Reservation), (life, found)
            self.assertIs(await found.verdict(), BudgetVerdict.FITS)
            found.record_usage(20)
            content = TurnContent(parent=None, given=b"", produced=b"")
            await ledger.commit(found, content)
            await ledger.close()

    async def test_one_call_for_each_turn(self) -> None:
        """Ask the store once for each turn at most, and hold nothing beside it.

        Every call is priced. A program takes its turns one after the other, and
        whenever its process is lost no more than one turn's most counts as spent.
        """
        ledger = await self.ledger("a")
        for number in range(8):
            self.assertIs(
                await self.run_turn(ledger, f"t{number}", 30), BudgetVerdict.FITS
            )
            held = ledger._budgets.granted(PROGRAM)
            assert held is not None
            self.assertLessEqual(held, 30 * number + MOST)
        self.assertLessEqual(self.store.appends, 8)

    async def test_store_away(self) -> None:
        """Refuse at once while the store is away and nobody lends.

        The store goes down between two turns. What was granted for the first is
        durable, but no whole turn is left of it.
        """
        ledger = await self.ledger("a")
        self.assertIs(await self.run_turn(ledger, "t0", 40), BudgetVerdict.FITS)
        self.clients["a"].faults.down = True
        async with asyncio.timeout(1.0):
            verdict = await self.run_turn(ledger, "t1", 40)
        self.assertIs(verdict, BudgetVerdict.UNCERTAIN)

    async def test_spent_elsewhere(self) -> None:
        """Refuse before the request is sent where the budget is spent elsewhere.

        A refusal for the budget promises that the turn has not run, so near
        the limit the log decides before anything is sent.
        """
        first = await self.ledger("a")
        second = await self.ledger("b")
        self.assertIs(await self.run_turn(second, "u0", 10), BudgetVerdict.FITS)
        ran = 0
        while await self.run_turn(first, f"t{ran}", MOST) is BudgetVerdict.FITS:
            ran += 1
        self.assertGreater(ran, 2)
        await second.partition(PROGRAM).sync()
        self.assertIsInstance(await second.reserve(terms("u1")), BudgetVerdict)

    async def test_spent_elsewhere_unread(self) -> None:
        """Hand nothing out where the budget was spent elsewhere and nobody read it.

        A process that has not read what others were granted may send the request
        beside its grant. It learns from the grant's place that it does not fit,
        before the first event goes out.
        """
        first = await self.ledger("a")
        second = await self.ledger("b")
        self.assertIs(await self.run_turn(second, "u0", 10), BudgetVerdict.FITS)
        ran = 0
        while await self.run_turn(first, f"t{ran}", MOST) is BudgetVerdict.FITS:
            ran += 1
        fits = await self.run_turn(second, "u1", MOST) is BudgetVerdict.FITS
        self.assertLessEqual(10 + ran * MOST + fits * MOST, BUDGET)
        self.assertFalse(fits)

    async def test_refusal_names_what_was_counted(self) -> None:
        """Log who was granted what where a turn is refused.

        A caller is told that its budget is spent. Who keeps how much of it must be
        found in the lines of the process that refused it.
        """
        first, second = await self.ledger("a"), await self.ledger("b")
        tight = msgspec.structs.replace(terms("t1"), budget=int(1.5 * MOST))
        self.assertIsInstance(await first.reserve(tight), Reservation)
        with logbook.TestHandler() as handler:
            verdict = await second.reserve(msgspec.structs.replace(tight, turn="t2"))
        self.assertIs(verdict, BudgetVerdict.HELD)
        text = handler.formatted_records[-1]
        self.assertIn(f"{PROGRAM} is refused, its budget of 150 is held", text)
        self.assertIn("granted to others: a 34 of which 0 used, 100 wanted", text)

    async def test_forgotten_partition(self) -> None:
        """Count what was handed out here before the memory of it was freed.

        A process frees what it knows of a program that has been still. The
        program comes back there and spends the rest of its budget, not the
        whole of it again.
        """
        ledger = await self.ledger("a")
        ran = 0
        while await self.run_turn(ledger, f"t{ran}", 70) is BudgetVerdict.FITS:
            ran += 1
            if ran == 4:
                await ledger.flush()
                ledger.partition(PROGRAM).forget()
        self.assertLessEqual(ran * 70, BUDGET)
        fresh = await self.ledger("b")
        found = await fresh.reserve(terms("u"))
        self.assertFalse(isinstance(found, Reservation) and ran * 70 > BUDGET - MOST)

    async def test_first_grant_needs_no_read_after_it(self) -> None:
        """Learn that a grant holds from the place that the append returns.

        Nothing of others stands before it, so a read would tell nothing new;
        with one for each grant a program of ten turns cost ten calls more.
        """
        ledger = await self.ledger("a")
        before = self.clients["a"].reads
        self.assertIs(await self.run_turn(ledger, "t0", 10), BudgetVerdict.FITS)
        self.assertEqual(self.clients["a"].reads - before, 0)
