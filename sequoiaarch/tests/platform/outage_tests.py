"""Test a gateway that lends to its own callers during an outage of the store."""

from __future__ import annotations

import asyncio
import random
from unittest import mock

import zmq.asyncio

from ...fleet import slot_claimer
from ...fleet.peers import Peers
from ...ids import DataCentre, HostName
from ...ingress.daemon import IngressDaemon
from .deployment import (
    ENGINES,
    LOOPBACK,
    Answer,
    DeploymentTestCase,
    longest_answer,
    stream_answer,
)

# A turn requests at most 100 tokens; a lender may lend 3/16 of a budget.
BUDGET = 1000


class OutageTests(DeploymentTestCase):
    """Run one gateway that has claimed all program slots."""

    async def asyncSetUp(self) -> None:
        """Shorten the claim intervals and prepare the gateway's peers."""
        await super().asyncSetUp()
        for name in ("FIRST_CLAIM_DELAY", "CLAIM_INTERVAL"):
            patch = mock.patch.object(slot_claimer, name, 0.05)
            patch.start()
            self.addCleanup(patch.stop)
        self.context = zmq.asyncio.Context()
        self.peers = Peers(
            context=self.context,
            own=HostName("one"),
            own_address=f"{LOOPBACK}:1",
            data_centre=DataCentre("here"),
            seeds=[],
            rng=random.Random(1),
        )

    async def asyncTearDown(self) -> None:
        """Stop the gateway and its peer connections."""
        await super().asyncTearDown()
        self.peers.close()
        self.context.destroy(linger=0)

    async def start_lender(self) -> IngressDaemon:
        """Start the gateway and wait until its claim is in the store."""
        daemon = await self.add_daemon("one", peers=self.peers)
        fleet = daemon._fleet
        assert fleet is not None
        async with asyncio.timeout(10.0):
            while not fleet._loan_service._claims.lenders_of(0):
                await asyncio.sleep(0.01)
        return daemon

    async def run_turn(self, daemon: IngressDaemon, path: str, program: str) -> Answer:
        """Run a turn without a previous one."""
        return await self.turn(daemon, b"in", program=program, budget=BUDGET, path=path)

    async def test_new_programs_during_outage(self) -> None:
        """Serve turns of new programs that need not be retained.

        Without a lender, all of them would be refused.
        """
        await self.add_target("i-1", ENGINES, stream_answer)
        daemon = await self.start_lender()
        self.clients["one"].faults.down = True
        for number in range(3):
            answer = await self.run_turn(daemon, "/free/a", f"program-{number}")
            self.assertEqual((answer.status, answer.complete), (200, True))

    async def test_running_program_during_outage(self) -> None:
        """Serve further turns of a program from loans.

        The store grants no tokens ahead of a turn.
        """
        await self.add_target("i-1", ENGINES, stream_answer)
        daemon = await self.start_lender()
        first = await self.run_turn(daemon, "/free/a", "program")
        self.assertEqual(first.status, 200)
        self.clients["one"].faults.down = True
        for _ in range(3):
            answer = await self.run_turn(daemon, "/free/a", "program")
            self.assertEqual((answer.status, answer.complete), (200, True))

    async def test_retained_turn_ends_after_outage(self) -> None:
        """End the answer of a retained turn only once the turn is in the store.

        After that any gateway can continue it.
        """
        await self.add_target("i-1", ENGINES, stream_answer)
        daemon = await self.start_lender()
        client = self.clients["one"]
        client.faults.down = True
        attempt = self.fresh_id()
        turn = asyncio.create_task(
            self.turn(daemon, b"in", attempt=attempt, budget=BUDGET)
        )
        await asyncio.sleep(0.8)
        self.assertFalse(turn.done())
        client.faults.down = False
        answer = await turn
        self.assertEqual((answer.status, answer.complete), (200, True))
        other = await self.add_daemon("two")
        after = await self.turn(other, b"next", previous=attempt, budget=BUDGET)
        self.assertEqual(after.status, 200)

    async def test_loan_limits_program_during_outage(self) -> None:
        """Send no more tokens to a program than a lender may lend.

        The loan covers the first turn and 87 tokens of the second, which is cut off
        there. Further turns are refused.
        """
        await self.add_target("i-1", ENGINES, longest_answer)
        daemon = await self.start_lender()
        self.clients["one"].faults.down = True
        answers = [await self.run_turn(daemon, "/free/a", "loops") for _ in range(4)]
        self.assertEqual([answer.status for answer in answers], [200, 200, 503, 503])
        self.assertEqual([answer.complete for answer in answers[:2]], [True, False])
        events = sum(answer.body.count(b"data:") for answer in answers[:2])
        self.assertLessEqual(events * 10, BUDGET * 3 // 16)
        for refused in answers[2:]:
            self.assertIn("retry-after", refused.headers)
