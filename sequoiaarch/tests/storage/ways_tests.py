"""Test how calls reach a store that answers late, in part or not at all."""

from __future__ import annotations

import asyncio
import unittest

from ...errors import ErrorKind, Failure
from ...storage.calls import StoreCall, StoreReply
from ...storage.hedged import HedgedClient
from ...storage.relayed import RelayedClient, StoreAccess

PATIENCE = 10.0
CALL = StoreCall(method="GET", path="/x", timeout=PATIENCE)
GOOD = StoreReply(status=200, body=b"good")
BUSY = StoreReply(status=503, body=b"")
FAILED = Failure(kind=ErrorKind.LOG_UNAVAILABLE, reason="down")


class _Caller:
    """Answer calls as a test says, and count them."""

    def __init__(self, *replies: StoreReply | Failure | None) -> None:
        self.replies = list(replies)
        self.calls = 0

    async def call(self, call: StoreCall) -> StoreReply | Failure:
        """Return the next reply; None stands for an answer that never comes."""
        self.calls += 1
        reply = self.replies[0] if len(self.replies) == 1 else self.replies.pop(0)
        if reply is None:
            await asyncio.Event().wait()
        assert reply is not None
        return reply


class HedgedTests(unittest.IsolatedAsyncioTestCase):
    """Test the second call for a late answer."""

    async def test_lost_answer(self) -> None:
        """Get the answer by a second call when the first one's is lost.

        The store carries the first call out and its answer is lost. The end
        of a turn would wait for the whole timeout.
        """
        caller = _Caller(None, GOOD)
        async with asyncio.timeout(PATIENCE / 2):
            reply = await HedgedClient(client=caller).call(CALL)
        self.assertEqual(reply, GOOD)
        self.assertEqual(caller.calls, 2)

    async def test_two_lost_answers(self) -> None:
        """Get the answer by a third call when two are lost.

        The store loses a third of its answers. One append in eight loses two,
        and its process then took the store to be away and refused turns.
        """
        caller = _Caller(None, None, GOOD)
        async with asyncio.timeout(PATIENCE / 2):
            self.assertEqual(await HedgedClient(client=caller).call(CALL), GOOD)
        self.assertEqual(caller.calls, 3)

    async def test_in_time(self) -> None:
        """Call once when the answer comes."""
        caller = _Caller(GOOD)
        hedged = HedgedClient(client=caller)
        for _ in range(10):
            self.assertEqual(await hedged.call(CALL), GOOD)
        self.assertEqual(caller.calls, 10)

    async def test_both_fail(self) -> None:
        """Fail when both calls do."""
        reply = await HedgedClient(client=_Caller(FAILED)).call(CALL)
        self.assertEqual(reply, FAILED)


class RelayedTests(unittest.IsolatedAsyncioTestCase):
    """Test the way through a peer."""

    async def test_turned_away(self) -> None:
        """Reach the store through a peer, and directly again once it serves.

        The store turns this process away with a status while it serves the
        others. Its callers' turns must still be kept.
        """
        direct, relay = _Caller(BUSY), _Caller(GOOD)
        caller = RelayedClient(direct=direct, relay=relay.call)
        for _ in range(5):
            self.assertEqual(await caller.call(CALL), GOOD)
        self.assertIs(caller.access, StoreAccess.RELAYED)
        direct.replies = [GOOD]
        async with asyncio.timeout(PATIENCE):
            while caller.access is not StoreAccess.DIRECT:
                await caller.call(CALL)
                await asyncio.sleep(0.05)

    async def test_silent_direct_way(self) -> None:
        """Ask a peer while the direct way says nothing, not after its timeout.

        A process is cut off from the store without a reset: its calls hang. The
        end of a turn waits for its commit, and its program is late by each
        second that this takes.
        """
        direct, relay = _Caller(None), _Caller(GOOD)
        caller = RelayedClient(
            direct=direct, relay=relay.call, relay_delay=lambda: 0.01
        )
        async with asyncio.timeout(PATIENCE):
            self.assertEqual(await caller.call(CALL), GOOD)
        self.assertIs(caller.access, StoreAccess.RELAYED)
        self.assertEqual(direct.calls, 1)

    async def test_slow_call_among_served_ones(self) -> None:
        """Stay with the direct way where one call is silent and others are served."""
        direct, relay = _Caller(None, GOOD), _Caller(GOOD)
        asked = asyncio.Event()

        async def relayed(call: StoreCall) -> StoreReply | Failure:
            asked.set()
            await asyncio.sleep(0.05)
            return await relay.call(call)

        caller = RelayedClient(direct=direct, relay=relayed, relay_delay=lambda: 0.01)
        silent = asyncio.create_task(caller.call(CALL))
        await asyncio.wait_for(asked.wait(), PATIENCE)
        self.assertEqual(await caller.call(CALL), GOOD)
        self.assertEqual(await silent, GOOD)
        self.assertIs(caller.access, StoreAccess.DIRECT)

    async def test_one_call_fails_among_served_ones(self) -> None:
        """Go on asking while other calls are served.

        One call loses all its answers, and no peer can carry it either. Others
        have just been served: the store is not away, and nobody's turn may be
        refused for it.
        """
        direct, relay = _Caller(GOOD), _Caller(FAILED)
        caller = RelayedClient(direct=direct, relay=relay.call)
        await caller.call(CALL)
        direct.replies = [FAILED]
        self.assertEqual(await caller.call(CALL), FAILED)
        self.assertIs(caller.access, StoreAccess.DIRECT)
        direct.replies = [GOOD]
        self.assertEqual(await caller.call(CALL), GOOD)

    async def test_relayed_call_ends_after_the_return(self) -> None:
        """Stay with the direct way when a relayed call ends later.

        A call is on its way through a peer while the store takes this process
        back. Its good answer is no sign that the direct way fails; taken for
        one, calls went through peers for good.
        """
        direct, relay = _Caller(BUSY), _Caller(GOOD)
        held = asyncio.Event()

        async def relayed(call: StoreCall) -> StoreReply | Failure:
            if call.path == "/slow":
                await held.wait()
            return await relay.call(call)

        caller = RelayedClient(direct=direct, relay=relayed)
        await caller.call(CALL)
        slow = StoreCall(method="GET", path="/slow", timeout=PATIENCE)
        pending = asyncio.create_task(caller.call(slow))
        await asyncio.sleep(0)
        direct.replies = [GOOD]
        async with asyncio.timeout(PATIENCE):
            while caller.access is not StoreAccess.DIRECT:
                await caller.call(CALL)
                await asyncio.sleep(0.05)
            held.set()
            self.assertEqual(await pending, GOOD)
        self.assertIs(caller.access, StoreAccess.DIRECT)

    async def test_away(self) -> None:
        """Ask for a store that nobody reaches now and then, not for each call.

        The store is down. Every append, read and peer's relay that is tried
        all the same is priced, and its caller waits to be told.
        """
        direct, relay = _Caller(FAILED), _Caller(FAILED)
        caller = RelayedClient(direct=direct, relay=relay.call)
        self.assertIsInstance(await caller.call(CALL), Failure)
        self.assertIs(caller.access, StoreAccess.NONE)
        for _ in range(100):
            self.assertIsInstance(await caller.call(CALL), Failure)
        self.assertLess(direct.calls, 10)
        direct.replies = [GOOD]
        async with asyncio.timeout(PATIENCE):
            while await caller.call(CALL) != GOOD:
                await asyncio.sleep(0.05)
        self.assertIs(caller.access, StoreAccess.DIRECT)
