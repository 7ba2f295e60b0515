"""Test ends of turns that come while a delegate still works on them."""

from __future__ import annotations

import asyncio
import unittest

from ...fleet.turn_server import TurnServer
from ...ids import OpeningId
from ...ledger.ledger import Ledger
from ...ledger.partition_map import PartitionMap
from ...ledger.turns import LocalTurn, LocalTurns
from ...standins.keyed_store import KeyedStore
from ...wire.links import Send
from ...wire.messages import (
    CloseTurnRequest,
    ConfirmTurnRequest,
    OpenTurnRequest,
    Reply,
    Request,
    TurnOpened,
)
from ..ledger.fake_lender import SlowLender
from .delegates_tests import (
    MOST,
    PATIENCE,
    PROGRAM,
    SETTLE_TIME,
    DelegatesTestCase,
    start,
    unheard,
)


class LateEndTests(unittest.IsolatedAsyncioTestCase):
    """End turns while their delegate works on a request about them."""

    async def test_end_while_the_verdict_is_awaited(self) -> None:
        """Settle a loan that a turn gets after it has ended.

        The store is slow. A gateway asks whether the turn is granted and its caller
        leaves, or it hears nothing in time and goes on by itself: the turn's end
        comes while the delegate still waits for the log. The delegate borrows
        for the ended turn, and nobody settles that.
        """
        store = KeyedStore()
        client = store.client()
        ledger = Ledger(log=client, writer="w", partition_map=PartitionMap(per_topic=2))
        lender = SlowLender()
        server = TurnServer(
            local=LocalTurns(ledger=ledger, lender=lender), ledger=ledger
        )
        self.assertTrue(await ledger.partition(PROGRAM).sync())
        client.faults.delay = 2.0
        opening = OpeningId("1")
        begin = OpenTurnRequest(opening=opening, start=start("t1"))
        opened = await server.answer(begin, unheard)
        assert isinstance(opened, TurnOpened), opened
        self.assertFalse(opened.granted)
        confirm = ConfirmTurnRequest(opening=opening)
        asked = asyncio.create_task(server.answer(confirm, unheard))
        await lender.asked.wait()
        await server.answer(CloseTurnRequest(opening=opening, handed=0), unheard)
        lender.answer.set()
        await asked
        self.assertTrue(lender.loans)
        self.assertTrue(all(loan.closed for loan in lender.loans))
        client.faults.delay = 0.0
        await ledger.close()


class SameIdTests(DelegatesTestCase):
    """Use the id of a turn once more."""

    async def test_end_of_an_earlier_try_with_the_same_id(self) -> None:
        """Exceed no budget where a caller uses the id of its turn again.

        A try was opened too late, and its gateway tells the delegate until that hears
        it. The caller comes back under the same id through another gateway. What was
        told of the first try ended the second, whose gateway went on with what it
        was told to be covered: 134 tokens of a budget of 100 went out. Callers owe an
        id of its own to each request; nothing checks that.
        """
        server = self.delegate.turn_server
        begun = start("t1", lifetime=PATIENCE, budget=MOST)
        heard = asyncio.Event()
        again = asyncio.Event()
        told = asyncio.Event()

        async def answer(request: Request, send: Send) -> Reply:
            if isinstance(request, CloseTurnRequest):
                heard.set()
                await again.wait()
                told.set()
            elif not heard.is_set():
                await asyncio.Event().wait()
            return await server.answer(request, send)

        self.answer_with(answer)
        first = await self.other.turns.open(begun)
        assert isinstance(first, LocalTurn)
        first.close()
        await self.other.ledger.flush()
        await heard.wait()
        # The caller comes back with the same id, through a gateway that reaches it.
        again_begun = OpenTurnRequest(opening=OpeningId("another/1"), start=begun)
        opened = await server.answer(again_begun, unheard)
        assert isinstance(opened, TurnOpened), opened
        assert opened.covered is not None
        handed = opened.covered
        again.set()
        async with asyncio.timeout(SETTLE_TIME):
            while not told.is_set():
                await asyncio.sleep(0.01)
        self.assertEqual(server.open_turns, 1, "the end was another turn's")
        await self.delegate.ledger.flush()
        second = await self.delegate.turns.open(
            start("t2", lifetime=PATIENCE, budget=MOST)
        )
        if isinstance(second, LocalTurn):
            while handed <= 2 * MOST and await second.cover(10):
                second.record_usage(10)
                handed += 10
            second.close()
        self.assertLessEqual(handed, MOST)
