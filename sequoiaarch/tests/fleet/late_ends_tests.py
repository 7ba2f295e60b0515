"""Test ends of turns that arrive while a delegate handles other requests."""

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
    MAX_TOKENS,
    PROGRAM,
    RETRY_LIMIT,
    TEST_TIMEOUT,
    DelegatesTestCase,
    discard_reply,
    start,
)


class LateEndTests(unittest.IsolatedAsyncioTestCase):
    """Test ends that arrive during a request about the same turn."""

    async def test_end_during_verdict(self) -> None:
        """Settle a loan that is granted after its turn has ended.

        With a slow store, the end can arrive while the delegate waits for a verdict
        and then borrows for the ended turn.
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
        opened = await server.answer(begin, discard_reply)
        assert isinstance(opened, TurnOpened), opened
        self.assertFalse(opened.granted)
        confirm = ConfirmTurnRequest(opening=opening)
        confirmation = asyncio.create_task(server.answer(confirm, discard_reply))
        await lender.asked.wait()
        await server.answer(CloseTurnRequest(opening=opening, handed=0), discard_reply)
        lender.answer.set()
        await confirmation
        self.assertTrue(lender.loans)
        self.assertTrue(all(loan.closed for loan in lender.loans))
        client.faults.delay = 0.0
        await ledger.close()


class SameIdTests(DelegatesTestCase):
    """Test turns that reuse an id."""

    async def test_late_end_report_of_reused_id(self) -> None:
        """Stay within the budget if a caller reuses the id of its turn.

        A late end report of the first attempt must not close the second one, which
        still uses its grant.
        """
        server = self.delegate.turn_server
        turn_start = start("t1", lifetime=TEST_TIMEOUT, budget=MAX_TOKENS)
        end_received = asyncio.Event()
        release_retry = asyncio.Event()
        end_handled = asyncio.Event()

        async def answer(request: Request, send: Send) -> Reply:
            if isinstance(request, CloseTurnRequest):
                end_received.set()
                await release_retry.wait()
                end_handled.set()
            elif not end_received.is_set():
                await asyncio.Event().wait()
            return await server.answer(request, send)

        self.set_delegate_handler(answer)
        first = await self.other.turns.open(turn_start)
        assert isinstance(first, LocalTurn)
        first.close()
        await self.other.ledger.flush()
        await end_received.wait()
        # The caller retries with the same id through another gateway.
        retried_request = OpenTurnRequest(
            opening=OpeningId("another/1"), start=turn_start
        )
        opened = await server.answer(retried_request, discard_reply)
        assert isinstance(opened, TurnOpened), opened
        assert opened.covered is not None
        used = opened.covered
        release_retry.set()
        async with asyncio.timeout(RETRY_LIMIT):
            while not end_handled.is_set():
                await asyncio.sleep(0.01)
        self.assertEqual(server.open_turns, 1, "the end report closed another turn")
        await self.delegate.ledger.flush()
        second = await self.delegate.turns.open(
            start("t2", lifetime=TEST_TIMEOUT, budget=MAX_TOKENS)
        )
        if isinstance(second, LocalTurn):
            while used <= 2 * MAX_TOKENS and await second.cover(10):
                second.record_usage(10)
                used += 10
            second.close()
        self.assertLessEqual(used, MAX_TOKENS)
