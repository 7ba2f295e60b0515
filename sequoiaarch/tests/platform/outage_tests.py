"""Replay an outage of the store at a gateway that lends to its own callers."""

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

# Turns name a most of 100 tokens; a lender may lend 3/16 of a budget.
BUDGET = 1000


class OutageTests(DeploymentTestCase):
    """Run one gateway that has claimed all slots."""

    async def asyncSetUp(self) -> None:
        """Start the gateway and wait for its claim."""
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
        """End the gateway and its links."""
        await super().asyncTearDown()
        self.peers.close()
        self.context.destroy(linger=0)

    async def claimed(self) -> IngressDaemon:
        """Return a gateway whose claim stands in the store."""
        daemon = await self.add_daemon("one", peers=self.peers)
        fleet = daemon._fleet
        assert fleet is not None
        async with asyncio.timeout(10.0):
            while not fleet._loan_service._claims.lenders_of(0):
                await asyncio.sleep(0.01)
        return daemon

    async def begin(self, daemon: IngressDaemon, path: str, program: str) -> Answer:
        """Run a first turn of a program."""
        return await self.turn(daemon, b"in", program=program, budget=BUDGET, path=path)

    async def test_programs_begin_while_the_store_is_away(self) -> None:
        """Serve turns that need not be kept as if nothing were wrong.

        The store goes silent for all. Programs begin that no gateway has met.
        Without a lender each is refused until it gives up.
        """
        await self.add_target("i-1", ENGINES, stream_answer)
        daemon = await self.claimed()
        self.clients["one"].faults.down = True
        for number in range(3):
            answer = await self.begin(daemon, "/free/a", f"program-{number}")
            self.assertEqual((answer.status, answer.whole), (200, True))

    async def test_program_goes_on_while_the_store_is_away(self) -> None:
        """Serve several more turns of a program whose grant holds none of them.

        The store goes silent between two turns. Nothing was granted ahead; what the
        turns of a program may hand out then is lent.
        """
        await self.add_target("i-1", ENGINES, stream_answer)
        daemon = await self.claimed()
        first = await self.begin(daemon, "/free/a", "program")
        self.assertEqual(first.status, 200)
        self.clients["one"].faults.down = True
        for _ in range(3):
            answer = await self.begin(daemon, "/free/a", "program")
            self.assertEqual((answer.status, answer.whole), (200, True))

    async def test_end_of_a_kept_turn_waits_for_the_store(self) -> None:
        """Keep what was answered whole, and answer nothing whole before.

        A turn that must be kept begins in an outage. Its events arrive at
        once; its end comes when the store is back, and any gateway can go on
        from it then.
        """
        await self.add_target("i-1", ENGINES, stream_answer)
        daemon = await self.claimed()
        client = self.clients["one"]
        client.faults.down = True
        attempt = self.fresh_id()
        waiting = asyncio.create_task(
            self.turn(daemon, b"in", attempt=attempt, budget=BUDGET)
        )
        await asyncio.sleep(0.8)
        self.assertFalse(waiting.done())
        client.faults.down = False
        answer = await waiting
        self.assertEqual((answer.status, answer.whole), (200, True))
        other = await self.add_daemon("two")
        after = await self.turn(other, b"next", previous=attempt, budget=BUDGET)
        self.assertEqual(after.status, 200)

    async def test_program_that_loops_is_stopped_without_the_log(self) -> None:
        """Hand out the lent part and no token more, whoever asks how often.

        Each turn generates all that it may. The first is covered whole, the
        second for the 87 tokens that are left, and is broken off there; then
        the program is told that its budget can't be known now.
        """
        await self.add_target("i-1", ENGINES, longest_answer)
        daemon = await self.claimed()
        self.clients["one"].faults.down = True
        answers = [await self.begin(daemon, "/free/a", "loops") for _ in range(4)]
        self.assertEqual([one.status for one in answers], [200, 200, 503, 503])
        self.assertEqual([one.whole for one in answers[:2]], [True, False])
        events = sum(one.body.count(b"data:") for one in answers[:2])
        self.assertLessEqual(events * 10, BUDGET * 3 // 16)
        for refused in answers[2:]:
            self.assertIn("retry-after", refused.headers)
