"""Test that a program goes on after losses as long as its budget holds a turn more."""

from __future__ import annotations

import asyncio
import itertools
import unittest
from unittest import mock

from ...errors import ErrorKind, Failure
from ...ids import ProgramId, TurnId
from ...ledger import budgets as budgets_module, ledger as ledger_module
from ...ledger.ledger import Ledger
from ...ledger.partition_map import PartitionMap
from ...ledger.reservation import Reservation
from ...ledger.split import BudgetSplit, LendingSplit, LogOnlySplit
from ...ledger.terms import BudgetVerdict, TurnContent, TurnTerms
from ...standins.keyed_store import KeyedStore, KeyedStoreClient

PROGRAM = ProgramId("program")
MOST = 567
BUDGETS = (900, 1134, 1800, 2600, 5200)
# Budgets that are granted turn by turn.
SMALL = tuple(budget for budget in BUDGETS if budget < 4 * MOST)
SPLITS: tuple[BudgetSplit, ...] = (LogOnlySplit(), LendingSplit())
# A turn is lost after its first part, and raised once, twice or more.
HANDED = (0, 40, 200, 400, MOST)


class Process:
    """Hold one life of a process."""

    def __init__(self, *, name: str, store: KeyedStore, split: BudgetSplit) -> None:
        self.client: KeyedStoreClient = store.client()
        self.ledger = Ledger(
            log=self.client,
            writer=name,
            partition_map=PartitionMap(per_topic=1),
            split=split,
        )
        self.lost = False


class Program:
    """Run turns of one program through processes that are lost.

    `counted` is what its turns count at most: those that ended at what they
    handed out, those that were open at a loss at their most.
    """

    def __init__(self, *, budget: int, split: BudgetSplit | None = None) -> None:
        self.budget = budget
        self.store = KeyedStore()
        self.split = split or LogOnlySplit()
        self.processes: list[Process] = []
        self.open: dict[Reservation, tuple[Process, int]] = {}
        self.ended = 0
        self.cut = 0
        self.handed = 0
        self.turns = 0

    def __str__(self) -> str:
        """Return what a refusal is judged by."""
        kind = type(self.split).__name__
        return f"{self.counted} of {self.budget} counted, {kind}"

    @property
    def limit(self) -> int:
        """Return what the log may grant in all; the rest is lent."""
        return self.split.log_limit(self.terms("any"))

    @property
    def counted(self) -> int:
        """Return what all turns so far count at most."""
        return self.ended + (self.cut + len(self.open)) * MOST

    @property
    def must_fit(self) -> bool:
        """Return whether one more turn may not be refused."""
        return self.counted + MOST <= self.limit

    def process(self) -> Process:
        """Start a process."""
        name = f"life-{len(self.processes)}"
        self.processes.append(Process(name=name, store=self.store, split=self.split))
        return self.processes[-1]

    def terms(self, turn: str) -> TurnTerms:
        """Return the terms of a turn."""
        return TurnTerms(
            turn=TurnId(turn),
            program=PROGRAM,
            budget=self.budget,
            most=MOST,
            retention=60.0,
        )

    async def begin(self, process: Process) -> Reservation | BudgetVerdict:
        """Begin a turn, or return why not."""
        self.turns += 1
        found = await process.ledger.reserve(self.terms(f"t{self.turns}"))
        if isinstance(found, BudgetVerdict):
            return found
        verdict = await found.verdict()
        if verdict is not BudgetVerdict.FITS:
            found.close()
            return verdict
        self.open[found] = (process, 0)
        return found

    async def hand(self, turn: Reservation, tokens: int) -> bool:
        """Hand out tokens of a turn; return whether they were covered."""
        process, before = self.open[turn]
        if not await turn.cover(before + tokens):
            return False
        turn.record_usage(tokens)
        self.handed += tokens
        self.open[turn] = (process, before + tokens)
        return True

    async def end(self, turn: Reservation) -> None:
        """Commit a turn; it counts at what it handed out from its end on."""
        process, handed = self.open[turn]
        content = TurnContent(parent=None, given=b"", produced=b"")
        await process.ledger.commit(turn, content)
        del self.open[turn]
        self.ended += handed

    async def lose(self, process: Process) -> None:
        """Lose a process with its open turns."""
        process.lost = True
        process.client.faults.down = True
        await process.ledger.close()
        for turn, (owner, _) in list(self.open.items()):
            if owner is process:
                del self.open[turn]
                self.cut += 1

    async def lose_all(self) -> None:
        """Lose all processes at once."""
        for process in self.processes:
            if not process.lost:
                await self.lose(process)

    async def close(self) -> None:
        """End all processes, and what lost ones still wait for."""
        for process in self.processes:
            await process.ledger.close()
        left = asyncio.all_tasks() - {asyncio.current_task()}
        for task in left:
            task.cancel()
        await asyncio.gather(*left, return_exceptions=True)


class LossesTestCase(unittest.IsolatedAsyncioTestCase):
    """Count what lost processes held as spent at once, as none of them returns it."""

    def setUp(self) -> None:
        """Have no process wait for another that may be alive."""
        patch = mock.patch.object(budgets_module, "RELEASE_DEADLINE", 0.0)
        patch.start()
        self.addCleanup(patch.stop)

    async def go_on(self, program: Program) -> None:
        """Check that a turn more begins and runs to its most where it must fit."""
        found = await program.begin(program.process())
        if program.must_fit or isinstance(found, Reservation):
            assert isinstance(found, Reservation), (found, str(program))
            self.assertTrue(await program.hand(found, MOST), "cut though it fits")
        self.assertLessEqual(program.handed, program.budget)

    async def cut_turn(self, program: Program, tokens: int) -> None:
        """Lose all while a turn is open that has handed out tokens, if it fits."""
        must = program.must_fit
        found = await program.begin(program.process())
        if isinstance(found, Reservation):
            for _ in range(4):
                self.assertTrue(await program.hand(found, tokens // 4))
        else:
            self.assertFalse(must, (found, str(program)))
        await program.lose_all()


class SmallBudgetTests(LossesTestCase):
    """Lose processes of programs whose budget is granted turn by turn."""

    async def test_two_losses_in_a_row(self) -> None:
        """Go on after all processes were lost twice, each time in an open turn.

        The next turn after the first loss is open when all are lost again. Each
        of the two counts at its most at worst, raised several times or not at all.
        """
        for split, budget, ended in itertools.product(SPLITS, SMALL, (None, 0, 300)):
            for first, second in itertools.product(HANDED, HANDED):
                with self.subTest(split=split, budget=budget, cut=(first, second)):
                    program = Program(budget=budget, split=split)
                    if ended is not None:
                        turn = await program.begin(program.process())
                        assert isinstance(turn, Reservation)
                        self.assertTrue(await program.hand(turn, ended))
                        await program.end(turn)
                    await self.cut_turn(program, first)
                    await self.cut_turn(program, second)
                    await self.go_on(program)
                    await program.close()

    async def test_parallel_turns_are_lost(self) -> None:
        """Go on after a loss of several processes that each ran some sub-agents.

        Those that found no room were refused; only those that began count.
        """
        for split, budget, count, processes in itertools.product(
            SPLITS, SMALL, range(3, 9), (2, 3)
        ):
            with self.subTest(split=split, budget=budget, count=(count, processes)):
                program = Program(budget=budget, split=split)
                places = [program.process() for _ in range(processes)]
                begun = await asyncio.gather(
                    *(program.begin(places[n % processes]) for n in range(count))
                )
                turns = [one for one in begun if isinstance(one, Reservation)]
                await asyncio.gather(*(program.hand(one, 200) for one in turns))
                await asyncio.gather(*(one.ledger.flush() for one in places))
                await program.lose_all()
                await self.go_on(program)
                await program.close()

    async def test_loss_beside_an_outage(self) -> None:
        """Go on once the store is back, which was down as all were lost.

        The turn that is open asks for more while the store is away; nothing of it
        was granted.
        """
        for split, budget, tokens in itertools.product(SPLITS, SMALL, (0, 40, 180)):
            with self.subTest(split=split, budget=budget, tokens=tokens):
                program = Program(budget=budget, split=split)
                process = program.process()
                turn = await program.begin(process)
                assert isinstance(turn, Reservation)
                self.assertTrue(await program.hand(turn, tokens))
                process.client.faults.down = True
                more = asyncio.create_task(program.hand(turn, MOST - tokens))
                await asyncio.sleep(0)
                await program.lose_all()
                more.cancel()
                await asyncio.wait([more])
                await self.go_on(program)
                await program.close()

    async def test_loss_right_after_a_turn_that_was_being_raised(self) -> None:
        """Count a turn that ended at what it handed out, also if it had asked for more.

        A turn asks for the next part of its most before it needs it, and ends
        before the answer. Its caller is told the end, and right after this the
        store is away for its process, which is lost. What the turn was granted
        last must have been returned with its end: a program with a budget of two
        turns is refused for good with 40 tokens handed out.
        """
        for split in SPLITS:
            program = Program(budget=2 * MOST + 40, split=split)
            process = program.process()
            turn = await program.begin(process)
            assert isinstance(turn, Reservation)
            self.assertTrue(await program.hand(turn, 40))
            process.client.faults.delay = 0.02
            more = asyncio.create_task(turn.cover(MOST))
            await asyncio.sleep(0.01)
            await program.end(turn)
            await program.lose_all()
            more.cancel()
            await asyncio.wait([more])
            await self.cut_turn(program, MOST)
            self.assertTrue(program.must_fit)
            await self.go_on(program)
            await program.close()


class LargeBudgetTests(LossesTestCase):
    """Lose processes of programs whose turns are granted whole."""

    async def test_grants_ahead_are_lost(self) -> None:
        """Go on after losses of processes that held more than their open turn.

        In the first half of a budget a process is granted some turns ahead. It is
        lost in its first turn or right after its end, and what it held ahead counts
        as spent with it. Turns that follow are lost in the same way. The program is
        refused although its budget holds one more turn when each lost one is counted
        at its most.
        """
        for split, budget, ended in itertools.product(
            SPLITS, (2600, 5200), (False, True)
        ):
            program = Program(budget=budget, split=split)
            if ended:
                turn = await program.begin(program.process())
                assert isinstance(turn, Reservation)
                await program.end(turn)
                await program.lose_all()
            while program.must_fit:
                await self.cut_turn(program, MOST)
            await program.close()


class ReturnTests(LossesTestCase):
    """Return what was asked for and is needed by nobody any more."""

    async def held(self, program: Program, process: Process) -> int:
        """Return what a process was granted, as another one reads it."""
        ledger = program.process().ledger
        await ledger.partition(PROGRAM).sync()
        return ledger.partition(PROGRAM).state.granted(PROGRAM, process.ledger.writer)

    async def test_grant_whose_answer_was_never_read(self) -> None:
        """Return a grant that stands in the log, though its process never read so.

        Another process has written before it, so the log must be read for the
        answer, and the store fails just then. The caller leaves. The store is back
        and the process lives on; what it was granted stays held for nobody, and
        other processes refuse turns for it.
        """
        program = Program(budget=10 * MOST)
        first, other = program.process(), program.process()
        await first.ledger.partition(PROGRAM).sync()
        turn = await program.begin(other)
        assert isinstance(turn, Reservation)
        await program.end(turn)
        found = await first.ledger.reserve(program.terms("asked"))
        assert isinstance(found, Reservation)
        failure = Failure(kind=ErrorKind.LOG_UNAVAILABLE, reason="down")
        read = mock.AsyncMock(return_value=failure)
        with mock.patch.object(first.client, "read", read):
            self.assertIs(await found.verdict(), BudgetVerdict.UNCERTAIN)
        found.close()
        self.assertGreater(await self.held(program, first), 0)
        returning = (
            mock.patch.object(budgets_module, "RELEASE_AFTER", 0.0),
            mock.patch.object(ledger_module, "RELEASE_INTERVAL", 0.01),
        )
        with returning[0], returning[1]:
            task = asyncio.create_task(first.ledger.run_release())
            await asyncio.sleep(1.0)
            task.cancel()
        self.assertEqual(await self.held(program, first), 0)
        await program.close()

    async def test_process_stops_while_it_asks(self) -> None:
        """Return what a process had just asked for when it is told to stop.

        A turn ends while the answer about its grant is awaited, and its process
        stops in order. Whoever follows counts what it had asked for as spent.
        """
        program = Program(budget=10 * MOST)
        process = program.process()
        await process.ledger.partition(PROGRAM).sync()
        process.client.faults.delay = 0.02
        found = await process.ledger.reserve(program.terms("asked"))
        assert isinstance(found, Reservation)
        await asyncio.sleep(0.01)
        found.close()
        await process.ledger.flush()
        await program.lose(process)
        self.assertEqual(await self.held(program, process), 0)
        await program.close()
