"""Test hedged and relayed calls to a slow, partly or fully unavailable store."""

from __future__ import annotations

import asyncio
import unittest

import msgspec

from ...errors import ErrorKind, Failure
from ...storage.calls import StoreCall, StoreReply
from ...storage.hedged import HedgedClient
from ...storage.relayed import RelayedClient, StorePath

TIMEOUT = 10.0
CALL = StoreCall(method="GET", path="/x", timeout=TIMEOUT)
SUCCESS = StoreReply(status=200, body=b"good")
REJECTED = StoreReply(status=503, body=b"")
FAILED = Failure(kind=ErrorKind.LOG_UNAVAILABLE, reason="down")


class _FakeClient:
    """Store client that returns given replies and counts the calls."""

    def __init__(self, *replies: StoreReply | Failure | None) -> None:
        self.replies = list(replies)
        self.calls = 0

    async def call(self, call: StoreCall) -> StoreReply | Failure:
        """Return the next reply; never return if it is None."""
        self.calls += 1
        reply = self.replies[0] if len(self.replies) == 1 else self.replies.pop(0)
        if reply is None:
            await asyncio.Event().wait()
        assert reply is not None
        return reply


class HedgedClientTests(unittest.IsolatedAsyncioTestCase):
    """Test hedged calls."""

    async def test_lost_reply(self) -> None:
        """A lost reply costs one hedge delay, not the whole timeout."""
        client = _FakeClient(None, SUCCESS)
        async with asyncio.timeout(TIMEOUT / 2):
            reply = await HedgedClient(client=client).call(CALL)
        self.assertEqual(reply, SUCCESS)
        self.assertEqual(client.calls, 2)

    async def test_two_lost_replies(self) -> None:
        """Two lost replies don't make the store look unavailable."""
        client = _FakeClient(None, None, SUCCESS)
        async with asyncio.timeout(TIMEOUT / 2):
            self.assertEqual(await HedgedClient(client=client).call(CALL), SUCCESS)
        self.assertEqual(client.calls, 3)

    async def test_reply_in_time(self) -> None:
        """A call whose reply is in time is not repeated."""
        client = _FakeClient(SUCCESS)
        hedged = HedgedClient(client=client)
        for _ in range(10):
            self.assertEqual(await hedged.call(CALL), SUCCESS)
        self.assertEqual(client.calls, 10)

    async def test_all_calls_fail(self) -> None:
        """A call fails if its repeat fails too."""
        reply = await HedgedClient(client=_FakeClient(FAILED)).call(CALL)
        self.assertEqual(reply, FAILED)


class RelayedClientTests(unittest.IsolatedAsyncioTestCase):
    """Test calls through a peer."""

    async def test_rejected_calls_are_relayed(self) -> None:
        """Calls are relayed while the store rejects this process only.

        Direct calls resume once the store accepts them again.
        """
        direct, relay = _FakeClient(REJECTED), _FakeClient(SUCCESS)
        client = RelayedClient(direct=direct, relay=relay.call)
        for _ in range(5):
            self.assertEqual(await client.call(CALL), SUCCESS)
        self.assertIs(client.path, StorePath.RELAYED)
        direct.replies = [SUCCESS]
        async with asyncio.timeout(TIMEOUT):
            while client.path is not StorePath.DIRECT:
                await client.call(CALL)
                await asyncio.sleep(0.05)

    async def test_only_long_polls_are_relayed(self) -> None:
        """Long polls are relayed for ever if no other call tries the direct way."""
        direct, relay = _FakeClient(REJECTED), _FakeClient(SUCCESS)
        client = RelayedClient(direct=direct, relay=relay.call)
        long_poll = msgspec.structs.replace(CALL, waits=True)
        await client.call(long_poll)
        self.assertIs(client.path, StorePath.RELAYED)
        direct.replies = [SUCCESS]
        async with asyncio.timeout(TIMEOUT / 2):
            while client.path is not StorePath.DIRECT:
                await client.call(long_poll)
                await asyncio.sleep(0.05)

    async def test_direct_call_without_reply(self) -> None:
        """A call without a reply is relayed after a delay, not after its timeout.

        Otherwise a process that is cut off from the store delays every commit.
        """
        direct, relay = _FakeClient(None), _FakeClient(SUCCESS)
        client = RelayedClient(
            direct=direct, relay=relay.call, relay_delay=lambda: 0.01
        )
        async with asyncio.timeout(TIMEOUT):
            self.assertEqual(await client.call(CALL), SUCCESS)
        self.assertIs(client.path, StorePath.RELAYED)
        self.assertEqual(direct.calls, 1)

    async def test_slow_call_among_successful_ones(self) -> None:
        """One slow call doesn't switch to relaying while other calls succeed."""
        direct, relay = _FakeClient(None, SUCCESS), _FakeClient(SUCCESS)
        relay_called = asyncio.Event()

        async def delayed_relay(call: StoreCall) -> StoreReply | Failure:
            relay_called.set()
            await asyncio.sleep(0.05)
            return await relay.call(call)

        client = RelayedClient(
            direct=direct, relay=delayed_relay, relay_delay=lambda: 0.01
        )
        slow_call = asyncio.create_task(client.call(CALL))
        await asyncio.wait_for(relay_called.wait(), TIMEOUT)
        self.assertEqual(await client.call(CALL), SUCCESS)
        self.assertEqual(await slow_call, SUCCESS)
        self.assertIs(client.path, StorePath.DIRECT)

    async def test_failed_call_among_successful_ones(self) -> None:
        """One failed call doesn't mark the store unavailable after a success.

        Otherwise turns are refused although the store works.
        """
        direct, relay = _FakeClient(SUCCESS), _FakeClient(FAILED)
        client = RelayedClient(direct=direct, relay=relay.call)
        await client.call(CALL)
        direct.replies = [FAILED]
        self.assertEqual(await client.call(CALL), FAILED)
        self.assertIs(client.path, StorePath.DIRECT)
        direct.replies = [SUCCESS]
        self.assertEqual(await client.call(CALL), SUCCESS)

    async def test_relayed_call_ends_after_direct_success(self) -> None:
        """A relayed call that ends after a direct success doesn't restore relaying.

        Otherwise calls stay relayed although the store accepts direct ones.
        """
        direct, relay = _FakeClient(REJECTED), _FakeClient(SUCCESS)
        relay_allowed = asyncio.Event()

        async def delayed_relay(call: StoreCall) -> StoreReply | Failure:
            if call.path == "/slow":
                await relay_allowed.wait()
            return await relay.call(call)

        client = RelayedClient(direct=direct, relay=delayed_relay)
        await client.call(CALL)
        slow_request = StoreCall(method="GET", path="/slow", timeout=TIMEOUT)
        pending = asyncio.create_task(client.call(slow_request))
        await asyncio.sleep(0)
        direct.replies = [SUCCESS]
        async with asyncio.timeout(TIMEOUT):
            while client.path is not StorePath.DIRECT:
                await client.call(CALL)
                await asyncio.sleep(0.05)
            relay_allowed.set()
            self.assertEqual(await pending, SUCCESS)
        self.assertIs(client.path, StorePath.DIRECT)

    async def test_unavailable_store_is_probed(self) -> None:
        """An unavailable store is probed at intervals, not by every call.

        The other calls fail at once. Calls resume when the store is back.
        """
        direct, relay = _FakeClient(FAILED), _FakeClient(FAILED)
        client = RelayedClient(direct=direct, relay=relay.call)
        self.assertIsInstance(await client.call(CALL), Failure)
        self.assertIs(client.path, StorePath.NONE)
        for _ in range(100):
            self.assertIsInstance(await client.call(CALL), Failure)
        self.assertLess(direct.calls, 10)
        direct.replies = [SUCCESS]
        async with asyncio.timeout(TIMEOUT):
            while await client.call(CALL) != SUCCESS:
                await asyncio.sleep(0.05)
        self.assertIs(client.path, StorePath.DIRECT)
