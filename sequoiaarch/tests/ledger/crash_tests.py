"""Test that a program can go on after crashes while its budget allows a turn."""

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
# Budgets that are granted in steps.
SMALL = tuple(budget for budget in BUDGETS if budget < 4 * MOST)
SPLITS: tuple[BudgetSplit, ...] = (LogOnlySplit(), LendingSplit())
# Tokens used by a turn before the crash: no raise, one raise or several.
USED = (0, 40, 200, 400, MOST)


class Process:
    """One run of a process."""

    def __init__(self, *, name: str, store: KeyedStore, split: BudgetSplit) -> None:
        self.client: KeyedStoreClient = store.client()
        self.ledger = Ledger(
            log=self.client,
            writer=name,
            partition_map=PartitionMap(per_topic=1),
            split=split,
        )
        self.crashed = False


class Program:
    """Run turns of one program on processes that crash.

    `max_used` is the upper bound of what its turns used: the tokens used by ended
    turns, and the maximum of all others.
    """

    def __init__(self, *, budget: int, split: BudgetSplit | None = None) -> None:
        self.budget = budget
        self.store = KeyedStore()
        self.split = split or LogOnlySplit()
        self.processes: list[Process] = []
        self.open: dict[Reservation, tuple[Process, int]] = {}
        self.ended = 0
        self.crashed_turns = 0
        self.used = 0
        self.turns = 0

    def __str__(self) -> str:
        """Return the figures that explain a refusal."""
        kind = type(self.split).__name__
        return f"{self.max_used} of {self.budget} counted, {kind}"

    @property
    def limit(self) -> int:
        """Return the maximum that the log may grant; the rest is lent."""
        return self.split.log_limit(self.terms("any"))

    @property
    def max_used(self) -> int:
        """Return the maximum that all turns so far can have used."""
        return self.ended + (self.crashed_turns + len(self.open)) * MOST

    @property
    def must_admit(self) -> bool:
        """Return whether another turn must be admitted."""
        return self.max_used + MOST <= self.limit

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
        """Begin a turn, or return why it is refused."""
        self.turns += 1
        opened = await process.ledger.reserve(self.terms(f"t{self.turns}"))
        if isinstance(opened, BudgetVerdict):
            return opened
        verdict = await opened.verdict()
        if verdict is not BudgetVerdict.FITS:
            opened.close()
            return verdict
        self.open[opened] = (process, 0)
        return opened

    async def use_tokens(self, turn: Reservation, tokens: int) -> bool:
        """Use tokens of a turn; return whether they were covered."""
        process, before = self.open[turn]
        if not await turn.cover(before + tokens):
            return False
        turn.record_usage(tokens)
        self.used += tokens
        self.open[turn] = (process, before + tokens)
        return True

    async def end(self, turn: Reservation) -> None:
        """Commit a turn, which then counts with the tokens that it used."""
        process, used = self.open[turn]
        content = TurnContent(parent=None, given=b"", produced=b"")
        await process.ledger.commit(turn, content)
        del self.open[turn]
        self.ended += used

    async def crash(self, process: Process) -> None:
        """Crash a process with its open turns."""
        process.crashed = True
        process.client.faults.down = True
        await process.ledger.close()
        for turn, (owner, _) in list(self.open.items()):
            if owner is process:
                del self.open[turn]
                self.crashed_turns += 1

    async def crash_all(self) -> None:
        """Crash all processes at once."""
        for process in self.processes:
            if not process.crashed:
                await self.crash(process)

    async def close(self) -> None:
        """Stop all processes and cancel the tasks of crashed ones."""
        for process in self.processes:
            await process.ledger.close()
        remaining = asyncio.all_tasks() - {asyncio.current_task()}
        for task in remaining:
            task.cancel()
        await asyncio.gather(*remaining, return_exceptions=True)


class CrashTestCase(unittest.IsolatedAsyncioTestCase):
    """Count the grants of crashed processes as spent at once."""

    def setUp(self) -> None:
        """Let no process wait for another one to release tokens."""
        patch = mock.patch.object(budgets_module, "RELEASE_TIMEOUT", 0.0)
        patch.start()
        self.addCleanup(patch.stop)

    async def check_continues(self, program: Program) -> None:
        """Check that another turn runs to its maximum wherever it must fit."""
        opened = await program.begin(program.process())
        if program.must_admit or isinstance(opened, Reservation):
            assert isinstance(opened, Reservation), (opened, str(program))
            self.assertTrue(
                await program.use_tokens(opened, MOST), "cut off although it fits"
            )
        self.assertLessEqual(program.used, program.budget)

    async def crash_during_turn(self, program: Program, tokens: int) -> None:
        """Crash all processes during a turn that has used `tokens`, if it fits."""
        must_admit = program.must_admit
        opened = await program.begin(program.process())
        if isinstance(opened, Reservation):
            for _ in range(4):
                self.assertTrue(await program.use_tokens(opened, tokens // 4))
        else:
            self.assertFalse(must_admit, (opened, str(program)))
        await program.crash_all()


class SmallBudgetCrashTests(CrashTestCase):
    """Crash processes of programs whose budget is granted in steps."""

    async def test_two_crashes_in_a_row(self) -> None:
        """Admit a turn after two crashes, each during an open turn.

        The interrupted turns count with their maximum at most, however often they were
        raised.
        """
        for split, budget, ended in itertools.product(SPLITS, SMALL, (None, 0, 300)):
            for first, second in itertools.product(USED, USED):
                with self.subTest(
                    split=split, budget=budget, crashed_turns=(first, second)
                ):
                    program = Program(budget=budget, split=split)
                    if ended is not None:
                        turn = await program.begin(program.process())
                        assert isinstance(turn, Reservation)
                        self.assertTrue(await program.use_tokens(turn, ended))
                        await program.end(turn)
                    await self.crash_during_turn(program, first)
                    await self.crash_during_turn(program, second)
                    await self.check_continues(program)
                    await program.close()

    async def test_crash_with_parallel_turns(self) -> None:
        """Admit a turn after a crash of several processes with parallel sub-agents.

        Only turns that began count, not the refused ones.
        """
        for split, budget, count, processes in itertools.product(
            SPLITS, SMALL, range(3, 9), (2, 3)
        ):
            with self.subTest(split=split, budget=budget, count=(count, processes)):
                program = Program(budget=budget, split=split)
                pool = [program.process() for _ in range(processes)]
                results = await asyncio.gather(
                    *(program.begin(pool[n % processes]) for n in range(count))
                )
                turns = [
                    result for result in results if isinstance(result, Reservation)
                ]
                await asyncio.gather(*(program.use_tokens(turn, 200) for turn in turns))
                await asyncio.gather(*(process.ledger.flush() for process in pool))
                await program.crash_all()
                await self.check_continues(program)
                await program.close()

    async def test_crash_during_an_outage(self) -> None:
        """Admit a turn after a crash during an outage of the store.

        The open turn requests more in the outage, of which nothing is granted.
        """
        for split, budget, tokens in itertools.product(SPLITS, SMALL, (0, 40, 180)):
            with self.subTest(split=split, budget=budget, tokens=tokens):
                program = Program(budget=budget, split=split)
                process = program.process()
                turn = await program.begin(process)
                assert isinstance(turn, Reservation)
                self.assertTrue(await program.use_tokens(turn, tokens))
                process.client.faults.down = True
                pending = asyncio.create_task(program.use_tokens(turn, MOST - tokens))
                await asyncio.sleep(0)
                await program.crash_all()
                pending.cancel()
                await asyncio.wait([pending])
                await self.check_continues(program)
                await program.close()

    async def test_crash_after_a_turn_with_a_pending_raise(self) -> None:
        """Count an ended turn with the tokens that it used, even with a raise pending.

        The raise must be released with the end of the turn, as its process crashes
        right after it; otherwise a small budget would be used up by it.
        """
        for split in SPLITS:
            program = Program(budget=2 * MOST + 40, split=split)
            process = program.process()
            turn = await program.begin(process)
            assert isinstance(turn, Reservation)
            self.assertTrue(await program.use_tokens(turn, 40))
            process.client.faults.delay = 0.02
            pending = asyncio.create_task(turn.cover(MOST))
            await asyncio.sleep(0.01)
            await program.end(turn)
            await program.crash_all()
            pending.cancel()
            await asyncio.wait([pending])
            await self.crash_during_turn(program, MOST)
            self.assertTrue(program.must_admit)
            await self.check_continues(program)
            await program.close()


class LargeBudgetCrashTests(CrashTestCase):
    """Crash processes of programs whose turns are granted whole."""

    async def test_repeated_crashes_with_large_grants(self) -> None:
        """Admit turns as long as the budget holds the maximum of each interrupted one.

        Guards against grants that exceed the open turn, as a crash makes them count as
        spent.
        """
        for split, budget, ended in itertools.product(
            SPLITS, (2600, 5200), (False, True)
        ):
            program = Program(budget=budget, split=split)
            if ended:
                turn = await program.begin(program.process())
                assert isinstance(turn, Reservation)
                await program.end(turn)
                await program.crash_all()
            while program.must_admit:
                await self.crash_during_turn(program, MOST)
            await program.close()


class ReleaseTests(CrashTestCase):
    """Release requested tokens that are no longer needed."""

    async def granted(self, program: Program, process: Process) -> int:
        """Return what a process was granted, as read by another process."""
        ledger = program.process().ledger
        await ledger.partition(PROGRAM).sync()
        return ledger.partition(PROGRAM).state.granted(PROGRAM, process.ledger.writer)

    async def test_grant_with_unread_answer_is_released(self) -> None:
        """Release a grant that is in the log although its process failed to read it.

        Otherwise it stays reserved, and other processes refuse turns for it.
        """
        program = Program(budget=10 * MOST)
        first, other = program.process(), program.process()
        await first.ledger.partition(PROGRAM).sync()
        turn = await program.begin(other)
        assert isinstance(turn, Reservation)
        await program.end(turn)
        opened = await first.ledger.reserve(program.terms("asked"))
        assert isinstance(opened, Reservation)
        failure = Failure(kind=ErrorKind.LOG_UNAVAILABLE, reason="down")
        read = mock.AsyncMock(return_value=failure)
        with mock.patch.object(first.client, "read", read):
            self.assertIs(await opened.verdict(), BudgetVerdict.UNCERTAIN)
        opened.close()
        self.assertGreater(await self.granted(program, first), 0)
        patches = (
            mock.patch.object(budgets_module, "RELEASE_AFTER", 0.0),
            mock.patch.object(ledger_module, "RELEASE_INTERVAL", 0.01),
        )
        with patches[0], patches[1]:
            task = asyncio.create_task(first.ledger.run_release())
            await asyncio.sleep(1.0)
            task.cancel()
        self.assertEqual(await self.granted(program, first), 0)
        await program.close()

    async def test_pending_grant_is_released_on_stop(self) -> None:
        """Release a grant that is requested as its process is told to stop.

        Otherwise the following processes count it as spent.
        """
        program = Program(budget=10 * MOST)
        process = program.process()
        await process.ledger.partition(PROGRAM).sync()
        process.client.faults.delay = 0.02
        opened = await process.ledger.reserve(program.terms("asked"))
        assert isinstance(opened, Reservation)
        await asyncio.sleep(0.01)
        opened.close()
        await process.ledger.flush()
        await program.crash(process)
        self.assertEqual(await self.granted(program, process), 0)
        await program.close()
