"""Test that committed turns are never lost and budgets never exceeded."""

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


def prompt(result: History | LookupFailure) -> bytes | LookupFailure:
    """Return the bytes of a history that was found."""
    return result.prompt if isinstance(result, History) else result


class LedgerTestCase(unittest.IsolatedAsyncioTestCase):
    """Set up a store and the ledgers of several processes."""

    async def asyncSetUp(self) -> None:
        """Create the store."""
        self.store = KeyedStore()
        self._ledgers: list[Ledger] = []

    async def asyncTearDown(self) -> None:
        """Close the ledgers."""
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

    async def store_records(self, partition: Partition) -> list[KeyedRecord]:
        """Return all records of a partition."""
        page = await self.store.client().read(partition, Offset(0), wait=0)
        assert not isinstance(page, Failure | LogGap)
        return page.records

    async def reserved(
        self, ledger: Ledger, turn: str, *, program: ProgramId = PROGRAM
    ) -> Reservation:
        """Reserve a turn, which must fit."""
        result = await ledger.reserve(terms(turn, program=program))
        assert isinstance(result, Reservation)
        return result

    async def commit(
        self,
        ledger: Ledger,
        turn: str,
        parent: str | None,
        given: bytes,
        produced: bytes,
        *,
        program: ProgramId = PROGRAM,
    ) -> None:
        """Run and commit a turn."""
        reservation = await self.reserved(ledger, turn, program=program)
        await reservation.verdict()
        index_write = ledger.write_index(reservation.terms)
        content = TurnContent(
            parent=TurnId(parent) if parent else None, given=given, produced=produced
        )
        await ledger.commit(reservation, content)
        await index_write


class HistoryTests(LedgerTestCase):
    """Find committed turns on every process, and no others."""

    async def test_commit_is_visible_to_other_process_at_once(self) -> None:
        """Find a turn on a process that has not read the log since its commit."""
        first = await self.ledger("a")
        second = await self.ledger("b")
        await self.commit(first, "t1", None, b"in1", b"out1")
        result = await second.history(PROGRAM, TurnId("t1"))
        self.assertEqual(prompt(result), b"in1out1")

    async def test_branches_have_separate_histories(self) -> None:
        """Continue one turn twice; each branch has its own history."""
        ledger = await self.ledger("a")
        await self.commit(ledger, "t1", None, b"a", b"b")
        await self.commit(ledger, "t2", "t1", b"c", b"d")
        await self.commit(ledger, "t3", "t1", b"e", b"f")
        result = await ledger.history(PROGRAM, TurnId("t2"))
        self.assertEqual(prompt(result), b"abcd")
        result = await ledger.history(PROGRAM, TurnId("t3"))
        self.assertEqual(prompt(result), b"abef")

    async def test_unknown_turn_is_absent(self) -> None:
        """Report a turn as absent once the log was read to its end."""
        ledger = await self.ledger("a")
        result = await ledger.history(PROGRAM, TurnId("nothing"))
        self.assertIs(result, LookupFailure.ABSENT)

    async def test_lookup_is_uncertain_while_store_is_down(self) -> None:
        """Report an uncertain result, not absence, while the log can't be read.

        An absent turn would end the program.
        """
        first = await self.ledger("a")
        second = await self.ledger("b")
        await self.commit(first, "t1", None, b"in", b"out")
        self.clients["b"].faults.down = True
        result = await second.history(PROGRAM, TurnId("t1"))
        self.assertIs(result, LookupFailure.UNCERTAIN)

    async def test_turn_survives_loss_of_all_processes(self) -> None:
        """Find a turn after all processes were lost and the log was compacted."""
        first = await self.ledger("a")
        await self.commit(first, "t1", None, b"in1", b"out1")
        await self.commit(first, "t2", "t1", b"in2", b"out2")
        self.store.compact()
        fresh = await self.ledger("b")
        result = await fresh.history(PROGRAM, TurnId("t2"))
        self.assertEqual(prompt(result), b"in1out1in2out2")

    async def test_unread_turn_is_found_after_compaction(self) -> None:
        """Find a turn that was compacted before this process read it."""
        first = await self.ledger("a")
        second = await self.ledger("b")
        await self.commit(first, "t1", None, b"in", b"out")
        self.store.compact()
        result = await second.history(PROGRAM, TurnId("t1"))
        self.assertEqual(prompt(result), b"inout")

    async def test_other_program_continues_a_turn(self) -> None:
        """Find a turn for another program, whatever its partition."""
        first = await self.ledger("a")
        second = await self.ledger("b")
        await self.commit(first, "t1", None, b"in", b"out")
        for number in range(8):
            other = ProgramId(f"other-{number}")
            result = await second.history(other, TurnId("t1"))
            self.assertEqual(prompt(result), b"inout")

    async def test_delayed_duplicate_of_a_commit(self) -> None:
        """Keep a turn whose append lost its answer and is carried out late.

        The duplicate arrives after the retry and after the next turn.
        """
        first = await self.ledger("a")
        self.clients["a"].faults.lost_replies = 1
        self.clients["a"].faults.append_delay = 0.15
        await self.commit(first, "t1", None, b"in", b"out")
        await self.commit(first, "t2", "t1", b"in2", b"out2")
        await asyncio.sleep(0.25)
        fresh = await self.ledger("b")
        result = await fresh.history(PROGRAM, TurnId("t2"))
        self.assertEqual(prompt(result), b"inoutin2out2")

    async def test_copied_history_outlives_its_program(self) -> None:
        """Keep a history that a second program continues after the first has ended.

        The records of the first program are removed, but the second one's next turn
        still needs them.
        """
        first = await self.ledger("a")
        await self.commit(first, "t1", None, b"in", b"out")
        second = await self.ledger("b")
        other = ProgramId("other")
        result = await second.history(other, TurnId("t1"))
        assert isinstance(result, History)
        self.assertFalse(result.own)
        reservation = await second.reserve(terms("u1", program=other))
        assert isinstance(reservation, Reservation)
        await reservation.verdict()
        content = TurnContent(
            parent=None, base=result.prompt, given=b"+", produced=b"!"
        )
        await second.commit(reservation, content)
        await second.write_index(reservation.terms)
        await self.store.add(second.partition_map.of_program(PROGRAM), "t1", b"")
        third = await self.ledger("c")
        last = await third.history(other, TurnId("u1"))
        self.assertEqual(prompt(last), b"inout+!")

    async def test_dropped_turns_are_read_again(self) -> None:
        """Find a turn whose memory was freed."""
        ledger = await self.ledger("a")
        await self.commit(ledger, "t1", None, b"in", b"out")
        ledger.partition(PROGRAM).drop_turns()
        self.assertEqual(ledger.turns, 0)
        result = await ledger.history(PROGRAM, TurnId("t1"))
        self.assertEqual(prompt(result), b"inout")

    async def test_start_reads_only_the_needed_partition(self) -> None:
        """Read a single partition to continue a turn after a restart.

        Reading the whole store would delay the start of all processes after a power
        loss.
        """
        first = await self.ledger("a", per_topic=12)
        for number in range(20):
            program = ProgramId(f"program-{number}")
            await self.commit(first, f"t{number}", None, b"in", b"out", program=program)
        reads = self.store.listings
        fresh = await self.ledger("b", per_topic=12)
        result = await fresh.history(ProgramId("program-7"), TurnId("t7"))
        self.assertEqual(prompt(result), b"inout")
        self.assertEqual(self.store.listings - reads, 1)


class BudgetTests(LedgerTestCase):
    """Check that no more than the budget is ever used."""

    async def run_turn(self, ledger: Ledger, turn: str, tokens: int) -> BudgetVerdict:
        """Run a turn that uses `tokens`, and return whether it fitted."""
        result = await ledger.reserve(terms(turn))
        if isinstance(result, BudgetVerdict):
            return result
        verdict = await result.verdict()
        if verdict is BudgetVerdict.FITS:
            self.assertTrue(await result.cover(tokens))
            result.record_usage(tokens)
        result.close()
        return verdict

    async def test_parallel_turns_on_two_processes_share_a_budget(self) -> None:
        """Admit as many parallel turns on two processes as the budget holds.

        Each process knows only its own turns; the order of the log decides.
        """
        ledgers = [await self.ledger("a"), await self.ledger("b")]
        wanted = 2 * BUDGET // MOST

        async def run_one(number: int) -> bool:
            result = await ledgers[number % 2].reserve(terms(f"t{number}"))
            if not isinstance(result, Reservation):
                return False
            if await result.verdict() is not BudgetVerdict.FITS:
                return False
            self.assertTrue(await result.cover(MOST), "cut off although it fits")
            result.record_usage(MOST)
            return True

        results = await asyncio.gather(*(run_one(number) for number in range(wanted)))
        self.assertLessEqual(sum(results), BUDGET // MOST)
        self.assertGreaterEqual(sum(results), BUDGET // MOST - 2)

    async def test_small_budget_admits_a_turn_after_a_crash(self) -> None:
        """Admit another turn of a small budget after a crash during its second turn.

        Guards against counting the maximum of the interrupted turn as spent.
        """

        def small_terms(turn: str) -> TurnTerms:
            return TurnTerms(
                turn=TurnId(turn),
                program=PROGRAM,
                budget=1134,
                most=567,
                retention=RETENTION,
            )

        first = await self.ledger("a")
        for turn, tokens in (("t1", 300), ("t2", 40)):
            hold = await first.reserve(small_terms(turn))
            assert isinstance(hold, Reservation)
            self.assertIs(await hold.verdict(), BudgetVerdict.FITS)
            hold.record_usage(tokens)
            if turn == "t1":
                hold.close()
                await first.flush()
        fresh = await self.ledger("b")
        # Before this deadline the turn is refused as held, since a live process may
        # release the tokens.
        with mock.patch.object(budgets_module, "RELEASE_TIMEOUT", 0.0):
            result = await fresh.reserve(small_terms("t3"))
        self.assertIsInstance(result, Reservation)

    async def test_raised_grant_of_a_lost_process_counts_as_spent(self) -> None:
        """Count all raised grants of a lost process as spent, as its turn used them."""
        ledger = await self.ledger("a")

        def small_terms(turn: str) -> TurnTerms:
            return msgspec.structs.replace(terms(turn), budget=3 * MOST)

        first = await ledger.reserve(small_terms("t1"))
        assert isinstance(first, Reservation)
        self.assertIs(await first.verdict(), BudgetVerdict.FITS)
        for _ in range(9):
            self.assertTrue(await first.cover((first.covered or 0) + 1))
            if first.covered is None:
                break
        self.assertIsNone(first.covered)
        first.record_usage(MOST)
        fresh = await self.ledger("b")
        used = MOST
        with mock.patch.object(budgets_module, "RELEASE_TIMEOUT", 0.0):
            for number in range(4):
                hold = await fresh.reserve(small_terms(f"u{number}"))
                if isinstance(hold, Reservation):
                    self.assertTrue(await hold.cover(MOST))
                    hold.record_usage(MOST)
                    used += MOST
        self.assertEqual(used, 3 * MOST)

    async def test_turn_without_announced_maximum(self) -> None:
        """Have the log grant what a turn uses beyond its announced maximum."""
        ledger = await self.ledger("a")
        hold = await ledger.reserve(msgspec.structs.replace(terms("t1"), most=0))
        assert isinstance(hold, Reservation)
        self.assertIs(await hold.verdict(), BudgetVerdict.FITS)
        for _ in range(10):
            self.assertTrue(await hold.cover(10 + hold._used))
            hold.record_usage(10)
        state = ledger.partition(PROGRAM).state
        self.assertGreaterEqual(state.granted(PROGRAM, ledger.writer), 100)

    async def test_queued_turn_keeps_its_demand(self) -> None:
        """Keep tokens free for a turn that is queued at a busy engine for long.

        Sub-agents that begin on another process meanwhile must not get them, or the
        stream is cut off.
        """
        first, second = await self.ledger("a"), await self.ledger("b")
        budget = int(2.5 * MOST)

        def limited_terms(turn: str) -> TurnTerms:
            return msgspec.structs.replace(terms(turn), budget=budget)

        with (
            mock.patch.object(budgets_module, "RELEASE_TIMEOUT", 0.6),
            mock.patch.object(budgets_module, "RELEASE_INTERVAL", 0.1),
            mock.patch.object(ledger_module, "RELEASE_INTERVAL", 0.1),
        ):
            release_task = asyncio.create_task(first.run_release())
            self.addCleanup(release_task.cancel)
            waiting = await first.reserve(limited_terms("t1"))
            assert isinstance(waiting, Reservation)
            self.assertIs(await waiting.verdict(), BudgetVerdict.FITS)
            other = await second.reserve(limited_terms("t2"))
            assert isinstance(other, Reservation)
            await asyncio.sleep(1.5)
            self.assertIsInstance(
                await second.reserve(limited_terms("t3")), BudgetVerdict
            )
        self.assertTrue(await waiting.cover(MOST))
        self.assertTrue(await other.cover(MOST))

    async def test_refused_turns_do_not_block_running_ones(self) -> None:
        """Raise the grants of running turns while other turns are refused.

        A process with an outdated view must read the log before it requests tokens, or
        its requests block the running turns of other processes.
        """
        first, second = await self.ledger("a"), await self.ledger("b")

        def limited_terms(turn: str) -> TurnTerms:
            return msgspec.structs.replace(terms(turn), budget=2 * MOST + 60)

        early = await second.reserve(limited_terms("t0"))
        assert isinstance(early, Reservation)
        early.close()
        await second.flush()
        running = [await first.reserve(limited_terms(name)) for name in ("t1", "t2")]
        await first.flush()
        partition = second.partition_map.of_program(PROGRAM)
        before = len(await self.store_records(partition))
        for number in range(5):
            self.assertIs(
                await second.reserve(limited_terms(f"u{number}")), BudgetVerdict.HELD
            )
        self.assertEqual(len(await self.store_records(partition)), before)
        for turn in running:
            assert isinstance(turn, Reservation)
            self.assertIs(await turn.verdict(), BudgetVerdict.FITS)
            self.assertTrue(await turn.cover(MOST))

    async def test_refused_raise_is_retried(self) -> None:
        """Continue a turn once the conflicting grant was released."""
        ledger = await self.ledger("a")
        partition = ledger.partition_map.of_program(PROGRAM)
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
            await self.store.add(partition, key, encode_record(record))
            self.assertIs(await running.cover(MOST), fits)

    async def test_budget_released_during_admission_is_reported_as_held(self) -> None:
        """Report a budget as held, not spent, if the conflict is gone when it is read.

        Another process reserves tokens just before this one's grant and releases them
        just after it.
        """
        ledger = await self.ledger("a")
        client = self.clients["a"]
        partition = ledger.partition_map.of_program(PROGRAM)
        small = msgspec.structs.replace(terms("t1"), budget=int(1.6 * MOST))

        async def write_other_grant(tokens: int, wanted: int) -> None:
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
            await self.store.add(partition, key, encode_record(record))

        append = client.append

        async def append_between_grants(
            partition: Partition, records: list[KeyedRecord], *, writer: Writer
        ) -> Offset | Failure:
            await write_other_grant(64, 30 + MOST)
            done = await append(partition, records, writer=writer)
            await write_other_grant(30, 30)
            return done

        await write_other_grant(30, 30)
        with mock.patch.object(client, "append", append_between_grants):
            result = await ledger.reserve(small)
        self.assertIs(result, BudgetVerdict.HELD)
        again = msgspec.structs.replace(small, turn=TurnId("t2"))
        self.assertIsInstance(await ledger.reserve(again), Reservation)

    async def test_raise_whose_answer_is_lost(self) -> None:
        """Use nothing of a raise until its append is answered, and continue then."""
        ledger = await self.ledger("a")
        small = msgspec.structs.replace(terms("t1"), budget=2 * MOST)
        hold = await ledger.reserve(small)
        assert isinstance(hold, Reservation)
        self.assertIs(await hold.verdict(), BudgetVerdict.FITS)
        before = hold.covered or 0
        self.clients["a"].faults.lost_replies = 1
        covering = asyncio.create_task(hold.cover(before + 1))
        await asyncio.sleep(0)
        self.assertFalse(hold.is_granted)
        self.assertTrue(await covering)
        self.assertTrue(hold.is_granted)

    async def test_grants_of_a_lost_process_count_as_spent(self) -> None:
        """Count what a lost process was granted as spent."""
        first = await self.ledger("a")
        for number in range(BUDGET // MOST):
            await (await self.reserved(first, f"t{number}")).verdict()
        fresh = await self.ledger("b")
        result = await fresh.reserve(terms("another"))
        self.assertIn(result, (BudgetVerdict.EXCEEDED, BudgetVerdict.HELD))

    async def test_successive_processes_stay_within_the_budget(self) -> None:
        """Use no more than the budget on processes that replace each other.

        Each process knows the turns of earlier ones only from the log.
        """
        used = 0
        for run in range(6):
            ledger = await self.ledger(f"life-{run}")
            for number in range(4):
                verdict = await self.run_turn(ledger, f"t{run}-{number}", 70)
                used += 70 * (verdict is BudgetVerdict.FITS)
        self.assertLessEqual(used, BUDGET)
        self.assertGreater(used, 0)

    async def test_unused_grant_is_released(self) -> None:
        """Let another process use what an idle program left unused."""
        first = await self.ledger("a")
        second = await self.ledger("b")
        release_task = asyncio.create_task(first.run_release())
        self.addCleanup(release_task.cancel)
        for number in range(3):
            self.assertIs(
                await self.run_turn(first, f"t{number}", 10), BudgetVerdict.FITS
            )
        async with asyncio.timeout(10):
            while first.partition(PROGRAM).state.granted(PROGRAM, first.writer) > 30:
                await asyncio.sleep(0.02)
        for number in range((BUDGET - 30) // MOST):
            result = await second.reserve(terms(f"u{number}"))
            self.assertIsInstance(result, Reservation, number)

    async def test_unused_tokens_of_ended_turns_survive_crashes(self) -> None:
        """Admit turns of a small budget on processes that crash after each turn.

        What the ended turns left unused must not count.
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

        for run in range(6):
            ledger = await self.ledger(f"life-{run}")
            result = await ledger.reserve(small_terms(f"t{run}"))
            assert isinstance(result, Reservation), (run, result)
            self.assertIs(await result.verdict(), BudgetVerdict.FITS)
            result.record_usage(20)
            content = TurnContent(parent=None, given=b"", produced=b"")
            await ledger.commit(result, content)
            await ledger.close()

    async def test_one_store_call_per_turn(self) -> None:
        """Call the store at most once per turn, and hold no grant beyond that turn."""
        ledger = await self.ledger("a")
        for number in range(8):
            self.assertIs(
                await self.run_turn(ledger, f"t{number}", 30), BudgetVerdict.FITS
            )
            granted = ledger._budgets.granted(PROGRAM)
            assert granted is not None
            self.assertLessEqual(granted, 30 * number + MOST)
        self.assertLessEqual(self.store.appends, 8)

    async def test_turn_is_refused_while_store_is_down(self) -> None:
        """Refuse a turn at once while there is neither store nor lender."""
        ledger = await self.ledger("a")
        self.assertIs(await self.run_turn(ledger, "t0", 40), BudgetVerdict.FITS)
        self.clients["a"].faults.down = True
        async with asyncio.timeout(1.0):
            verdict = await self.run_turn(ledger, "t1", 40)
        self.assertIs(verdict, BudgetVerdict.UNCERTAIN)

    async def test_budget_spent_by_another_process(self) -> None:
        """Refuse a turn before its request is sent if others have spent the budget."""
        first = await self.ledger("a")
        second = await self.ledger("b")
        self.assertIs(await self.run_turn(second, "u0", 10), BudgetVerdict.FITS)
        ran = 0
        while await self.run_turn(first, f"t{ran}", MOST) is BudgetVerdict.FITS:
            ran += 1
        self.assertGreater(ran, 2)
        await second.partition(PROGRAM).sync()
        self.assertIsInstance(await second.reserve(terms("u1")), BudgetVerdict)

    async def test_budget_spent_by_another_process_unread(self) -> None:
        """Use nothing if others have spent the budget and this process has not read so.

        The request may start before the grant is known, but no event may be sent.
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

    async def test_refusal_log_lists_other_grants(self) -> None:
        """Log what other processes were granted when a turn is refused."""
        first, second = await self.ledger("a"), await self.ledger("b")
        tight = msgspec.structs.replace(terms("t1"), budget=int(1.5 * MOST))
        self.assertIsInstance(await first.reserve(tight), Reservation)
        with logbook.TestHandler() as handler:
            verdict = await second.reserve(msgspec.structs.replace(tight, turn="t2"))
        self.assertIs(verdict, BudgetVerdict.HELD)
        text = handler.formatted_records[-1]
        self.assertIn(f"{PROGRAM} is refused, its budget of 150 is held", text)
        self.assertIn("granted to others: a 34 of which 0 used, 100 wanted", text)

    async def test_usage_counts_after_partition_is_forgotten(self) -> None:
        """Count what was used here before the memory of the partition was freed."""
        ledger = await self.ledger("a")
        ran = 0
        while await self.run_turn(ledger, f"t{ran}", 70) is BudgetVerdict.FITS:
            ran += 1
            if ran == 4:
                await ledger.flush()
                ledger.partition(PROGRAM).forget()
        self.assertLessEqual(ran * 70, BUDGET)
        fresh = await self.ledger("b")
        result = await fresh.reserve(terms("u"))
        self.assertFalse(isinstance(result, Reservation) and ran * 70 > BUDGET - MOST)

    async def test_first_grant_needs_no_read(self) -> None:
        """Tell from the offset of the append that a grant is valid, without a read."""
        ledger = await self.ledger("a")
        before = self.clients["a"].reads
        self.assertIs(await self.run_turn(ledger, "t0", 10), BudgetVerdict.FITS)
        self.assertEqual(self.clients["a"].reads - before, 0)
