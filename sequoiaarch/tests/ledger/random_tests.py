"""Compare the ledger with a naive one under seeded faults of store and processes."""

from __future__ import annotations

import asyncio
import random
import unittest

from ...ids import ProgramId, TurnId
from ...ledger.ledger import Ledger
from ...ledger.partition_map import PartitionMap
from ...ledger.terms import BudgetVerdict, History, LookupFailure, TurnStart, TurnTerms
from ...ledger.turns import LocalTurn, LocalTurns
from ...standins.keyed_store import KeyedStore, KeyedStoreClient

SEEDS = range(8)
STEPS = 60
PROCESSES = 3
PROGRAMS = 3
BUDGET = 700
MOST = 100
PATIENCE = 0.2
LATE = 0.03


class _Process:
    """Hold one life of a process."""

    def __init__(self, *, name: str, store: KeyedStore) -> None:
        self.client: KeyedStoreClient = store.client()
        self.ledger = Ledger(
            log=self.client, writer=name, partition_map=PartitionMap(per_topic=1)
        )
        self.turns = LocalTurns(ledger=self.ledger)


class _World:
    """Run turns of a few programs through processes that come and go.

    The naive ledger is a dictionary of the turns whose end was told, and the
    tokens that were handed out.
    """

    def __init__(self, *, seed: int) -> None:
        self.rng = random.Random(seed)
        self.store = KeyedStore()
        self.lives = 0
        self.processes = [self.fresh() for _ in range(PROCESSES)]
        self.ended: list[_Process] = []
        self.prompts: dict[TurnId, tuple[ProgramId, bytes]] = {}
        self.handed: dict[ProgramId, int] = {}
        self.count = 0

    def fresh(self) -> _Process:
        """Start a process."""
        self.lives += 1
        return _Process(name=f"life-{self.lives}", store=self.store)

    async def close(self) -> None:
        """End all processes."""
        for process in [*self.processes, *self.ended]:
            await process.ledger.close()
        # What a lost process still waited for never comes.
        left = asyncio.all_tasks() - {asyncio.current_task()}
        for task in left:
            task.cancel()
        await asyncio.gather(*left, return_exceptions=True)

    def disturb(self) -> None:
        """Bring one fault about, or end one."""
        place = self.rng.randrange(PROCESSES)
        process = self.processes[place]
        faults = process.client.faults
        kind = self.rng.randrange(8)
        if kind == 0:
            self.ended.append(process)
            self.processes[place] = self.fresh()
        elif kind == 1:
            faults.down = not faults.down
        elif kind == 2:
            faults.lost_answers = self.rng.randint(1, 3)
            faults.late = self.rng.choice((0.0, LATE))
        elif kind == 3:
            self.store.forget_history()
        elif kind == 4:
            for program in range(PROGRAMS):
                partition = process.ledger.partition(_program(program))
                if partition.idle:
                    partition.drop_turns()
        elif kind == 5:
            faults.delay = self.rng.choice((0.0, 0.005))
        else:
            faults.down = False

    async def turn(self) -> None:
        """Run a turn that continues any turn told so far, or none."""
        self.count += 1
        program = _program(self.rng.randrange(PROGRAMS))
        told = list(self.prompts)
        previous = self.rng.choice(told) if told and self.rng.random() < 0.8 else None
        process = self.rng.choice(self.processes)
        turn = TurnId(f"t{self.count}")
        start = TurnStart(
            terms=TurnTerms(
                turn=turn, program=program, budget=BUDGET, most=MOST, retention=60.0
            ),
            previous=previous,
            kept=True,
            lifetime=PATIENCE,
        )
        try:
            async with asyncio.timeout(PATIENCE):
                await self._run(process, start)
        except TimeoutError:
            pass

    async def _run(self, process: _Process, start: TurnStart) -> None:
        opened = await process.turns.open(start)
        if not isinstance(opened, LocalTurn):
            assert opened is not LookupFailure.ABSENT, (start, opened)
            return
        try:
            before = self.prompts[start.previous][1] if start.previous else b""
            found = opened.history.prompt if opened.history else b""
            assert found == before, (start, found, before)
            if await opened.verdict() is not BudgetVerdict.FITS:
                return
            opened.write_index()
            tokens = self.rng.randrange(MOST)
            program = start.terms.program
            if not await opened.cover(tokens):
                return
            opened.record_usage(tokens)
            self.handed[program] = self.handed.get(program, 0) + tokens
            given = f"[{start.terms.turn}".encode()
            await opened.commit(given, b"]")
            self.prompts[start.terms.turn] = (program, before + given + b"]")
        finally:
            opened.close()


def _program(number: int) -> ProgramId:
    return ProgramId(f"program-{number}")


class RandomTests(unittest.IsolatedAsyncioTestCase):
    """Run seeded worlds."""

    async def test_histories_and_budgets(self) -> None:
        """Find every turn that was told, exactly, and never exceed a budget.

        Processes die, are turned away, lose answers that are carried out
        late, and forget what they had read, while turns of the same programs
        run through all of them, several at once.
        """
        for seed in SEEDS:
            with self.subTest(seed=seed):
                world = _World(seed=seed)
                for _ in range(STEPS):
                    if world.rng.random() < 0.3:
                        world.disturb()
                    turns = [world.turn() for _ in range(world.rng.randint(1, 3))]
                    await asyncio.gather(*turns)
                await self._check(world)
                await world.close()

    async def _check(self, world: _World) -> None:
        for program, handed in world.handed.items():
            self.assertLessEqual(handed, BUDGET, program)
        fresh = world.fresh()
        world.ended.append(fresh)
        self.assertGreater(len(world.prompts), 5)
        for turn, (program, prompt) in world.prompts.items():
            found = await fresh.ledger.history(program, turn)
            assert isinstance(found, History), (turn, found)
            self.assertEqual(found.prompt, prompt)
