"""Test that the end of each turn frees its place, however the turn ends."""

from __future__ import annotations

import asyncio

from ...fleet.delegated_turn import DelegatedTurn
from ...fleet.placed_turns import PlacedTurns
from ...fleet.turn_server import TurnServer
from ...ids import InstanceId, ProgramId
from ...ledger.terms import BudgetVerdict, LookupFailure
from ...ledger.turns import LocalTurns, OpenTurn
from ..ledger.fake_lender import SlowLender
from .placement_host import (
    TEST_TIMEOUT,
    PlacementHost,
    PlacementTestCase,
    demand,
    start,
)

ENGINE = InstanceId("i-1")


class TurnEndTests(PlacementTestCase):
    """End turns in all ways that there are."""

    async def asyncSetUp(self) -> None:
        """Choose a gateway and the delegate of its program."""
        await super().asyncSetUp()
        await self.connect()
        self.gateway, self.delegate = self.others(self.owner())

    async def opened(self, gateway: PlacementHost, program: str) -> OpenTurn:
        """Open a turn that is counted at the delegate."""
        opened = await gateway.turns.open(start(program), demand())
        assert not isinstance(opened, BudgetVerdict | LookupFailure), opened
        self.assertEqual(self.open_turns(program), 1)
        return opened

    def open_turns(self, program: str) -> int | None:
        """Return the open turns of a program at all hosts; None if it is unknown."""
        line = ProgramId(f"{program}#s")
        known = [host.programs.get(line) for host in self.hosts.values()]
        counts = [entry.open_turns for entry in known if entry is not None]
        return sum(counts) if counts else None

    async def until_ended(self, program: str) -> None:
        """Wait until no turn of a program is open."""
        async with asyncio.timeout(TEST_TIMEOUT):
            while self.open_turns(program):
                await asyncio.sleep(0.01)

    async def test_commit_and_close(self) -> None:
        """End a turn once by its commit, at the delegate and at its gateway."""
        for gateway in (self.gateway, self.delegate):
            program = self.program(gateway, self.delegate)
            turn = await self.opened(gateway, program)
            turn.engine.ran_at = ENGINE
            turn.write_index()
            turn.record_usage(10)
            await turn.commit(b"in", b"out")
            self.assertEqual(self.open_turns(program), 0)
            turn.close()
            turn.close()
            await asyncio.sleep(0.05)
            self.assertEqual(self.open_turns(program), 0)
            self.assertEqual(self.delegate.programs.home_of(ProgramId(program)), ENGINE)

    async def test_close_after_output(self) -> None:
        """Keep the engine of a turn that ran and was not committed."""
        program = self.program(self.gateway, self.delegate)
        turn = await self.opened(self.gateway, program)
        turn.engine.ran_at = ENGINE
        turn.close()
        await self.until_ended(program)
        self.assertEqual(self.delegate.programs.home_of(ProgramId(program)), ENGINE)

    async def test_commit_while_the_store_is_away(self) -> None:
        """Free the place when the answer is complete, though its commit waits."""
        program = self.program(self.delegate, self.delegate)
        turn = await self.opened(self.delegate, program)
        turn.engine.ran_at = ENGINE
        self.delegate.client.faults.down = True
        commit = asyncio.create_task(turn.commit(b"in", b"out"))
        await asyncio.sleep(0.05)
        self.assertFalse(commit.done())
        self.assertEqual(self.open_turns(program), 0)
        commit.cancel()
        await asyncio.wait([commit])

    async def test_turn_that_nobody_ends(self) -> None:
        """Free the place of a turn whose gateway is lost after its lifetime."""
        program = self.program(self.gateway, self.delegate)
        turn_start = start(program)
        opened = await self.gateway.turns.open(turn_start, demand())
        assert isinstance(opened, DelegatedTurn)
        self.assertEqual(self.open_turns(program), 1)
        await asyncio.sleep(turn_start.lifetime + 0.2)
        self.assertIsNone(self.open_turns(program))

    async def test_turn_on_a_loan(self) -> None:
        """Place and end a turn that runs on a loan while the store is away."""
        lender = SlowLender()
        lender.answer.set()
        host = self.delegate
        placed = PlacedTurns(
            local=LocalTurns(ledger=host.ledger, lender=lender),
            ledger=host.ledger,
            programs=host.programs,
            placements=host.placements,
        )
        host.client.faults.down = True
        program = self.program(host, host)
        opened = await placed.open(start(program), demand())
        assert not isinstance(opened, BudgetVerdict | LookupFailure), opened
        self.assertEqual(len(lender.loans), 1)
        self.assertIsNotNone(opened.engine.home)
        self.assertEqual(self.open_turns(program), 1)
        opened.engine.ran_at = ENGINE
        opened.close()
        self.assertEqual(self.open_turns(program), 0)

    async def test_fallback_within_a_turn(self) -> None:
        """End a turn whose delegate was lost, and tell it the engine if it returns."""
        program = self.program(self.gateway, self.delegate)
        turn = await self.opened(self.gateway, program)
        assert isinstance(turn, DelegatedTurn)
        turn.engine.ran_at = ENGINE
        turn.record_usage(10)
        answer = self.delegate.handler
        restarted = TurnServer(
            local=LocalTurns(ledger=self.delegate.ledger), ledger=self.delegate.ledger
        )
        self.delegate.handler = restarted.answer
        self.assertIsNone(await turn._cover_at_delegate(10))
        fallback = asyncio.create_task(turn._fall_back())
        await asyncio.sleep(0)
        self.delegate.handler = answer
        self.assertIsNotNone(await fallback)
        await self.until_ended(program)
        self.assertEqual(self.delegate.programs.home_of(ProgramId(program)), ENGINE)
        turn.close()
        await asyncio.sleep(0.05)
        self.assertEqual(self.open_turns(program), 0)

    async def test_reservation_is_refused(self) -> None:
        """Count no turn that the budget refuses after its placement."""
        program = self.program(self.delegate, self.delegate)
        turn_start = start(program, previous="nothing")
        refused = await self.delegate.turns.open(turn_start, demand())
        self.assertIs(refused, LookupFailure.ABSENT)
        self.assertIsNone(self.open_turns(program))
