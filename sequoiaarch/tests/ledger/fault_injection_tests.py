"""Compare the ledger with a simple model under seeded faults."""

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
STEP_TIMEOUT = 0.2
DELAY = 0.03


class _Process:
    """One run of a process."""

    def __init__(self, *, name: str, store: KeyedStore) -> None:
        self.client: KeyedStoreClient = store.client()
        self.ledger = Ledger(
            log=self.client, writer=name, partition_map=PartitionMap(per_topic=1)
        )
        self.turns = LocalTurns(ledger=self.ledger)


class _Simulation:
    """Run turns of a few programs on processes that start and crash.

    The model consists of the committed turns and the tokens used.
    """

    def __init__(self, *, seed: int) -> None:
        self.rng = random.Random(seed)
        self.store = KeyedStore()
        self.starts = 0
        self.processes = [self.start_process() for _ in range(PROCESSES)]
        self.stopped: list[_Process] = []
        self.prompts: dict[TurnId, tuple[ProgramId, bytes]] = {}
        self.used: dict[ProgramId, int] = {}
        self.count = 0

    def start_process(self) -> _Process:
        """Start a process."""
        self.starts += 1
        return _Process(name=f"life-{self.starts}", store=self.store)

    async def close(self) -> None:
        """Stop all processes."""
        for process in [*self.processes, *self.stopped]:
            await process.ledger.close()
        # Tasks of lost processes wait for answers that never come.
        remaining = asyncio.all_tasks() - {asyncio.current_task()}
        for task in remaining:
            task.cancel()
        await asyncio.gather(*remaining, return_exceptions=True)

    def inject_fault(self) -> None:
        """Inject a random fault, or end one."""
        index = self.rng.randrange(PROCESSES)
        process = self.processes[index]
        faults = process.client.faults
        kind = self.rng.randrange(8)
        if kind == 0:
            self.stopped.append(process)
            self.processes[index] = self.start_process()
        elif kind == 1:
            faults.down = not faults.down
        elif kind == 2:
            faults.lost_replies = self.rng.randint(1, 3)
            faults.append_delay = self.rng.choice((0.0, DELAY))
        elif kind == 3:
            self.store.compact()
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
        """Run a turn that continues a random committed turn, or none."""
        self.count += 1
        program = _program(self.rng.randrange(PROGRAMS))
        committed = list(self.prompts)
        previous = (
            self.rng.choice(committed)
            if committed and self.rng.random() < 0.8
            else None
        )
        process = self.rng.choice(self.processes)
        turn = TurnId(f"t{self.count}")
        start = TurnStart(
            terms=TurnTerms(
                turn=turn, program=program, budget=BUDGET, most=MOST, retention=60.0
            ),
            previous=previous,
            kept=True,
            lifetime=STEP_TIMEOUT,
        )
        try:
            async with asyncio.timeout(STEP_TIMEOUT):
                await self._run(process, start)
        except TimeoutError:
            pass

    async def _run(self, process: _Process, start: TurnStart) -> None:
        opened = await process.turns.open(start)
        if not isinstance(opened, LocalTurn):
            assert opened is not LookupFailure.ABSENT, (start, opened)
            return
        try:
            previous_prompt = self.prompts[start.previous][1] if start.previous else b""
            prompt = opened.history.prompt if opened.history else b""
            assert prompt == previous_prompt, (start, prompt, previous_prompt)
            if await opened.verdict() is not BudgetVerdict.FITS:
                return
            opened.write_index()
            tokens = self.rng.randrange(MOST)
            program = start.terms.program
            if not await opened.cover(tokens):
                return
            opened.record_usage(tokens)
            self.used[program] = self.used.get(program, 0) + tokens
            given = f"[{start.terms.turn}".encode()
            await opened.commit(given, b"]")
            self.prompts[start.terms.turn] = (program, previous_prompt + given + b"]")
        finally:
            opened.close()


def _program(number: int) -> ProgramId:
    return ProgramId(f"program-{number}")


class FaultInjectionTests(unittest.IsolatedAsyncioTestCase):
    """Run seeded simulations."""

    async def test_committed_turns_and_budgets(self) -> None:
        """Find every committed turn exactly, and never exceed a budget.

        Processes crash, lose the store, get delayed duplicates of their appends and
        drop their caches, while concurrent turns of the same programs run on all of
        them.
        """
        for seed in SEEDS:
            with self.subTest(seed=seed):
                simulation = _Simulation(seed=seed)
                for _ in range(STEPS):
                    if simulation.rng.random() < 0.3:
                        simulation.inject_fault()
                    turns = [
                        simulation.turn() for _ in range(simulation.rng.randint(1, 3))
                    ]
                    await asyncio.gather(*turns)
                await self._check(simulation)
                await simulation.close()

    async def _check(self, simulation: _Simulation) -> None:
        for program, used in simulation.used.items():
            self.assertLessEqual(used, BUDGET, program)
        fresh = simulation.start_process()
        simulation.stopped.append(fresh)
        self.assertGreater(len(simulation.prompts), 5)
        for turn, (program, prompt) in simulation.prompts.items():
            history = await fresh.ledger.history(program, turn)
            assert isinstance(history, History), (turn, history)
            self.assertEqual(history.prompt, prompt)
