"""Test store calls through peers."""

from __future__ import annotations

import asyncio
import random
import unittest
from collections.abc import Callable

import msgspec
import zmq.asyncio

from ...errors import ErrorKind, Failure
from ...fleet.peers import TOPIC, PeerRecord, Peers, PeerServer
from ...ids import DataCentre, HostName, WriterId
from ...standins.keyed_store import KeyedStore
from ...storage.calls import StoreCall, StoreReply
from ...storage.keyed import KeyedRecord, Partition

CALL = StoreCall(method="GET", path="/x", timeout=5.0)
HERE = DataCentre("here")
AWAY = DataCentre("away")
FAILED = Failure(kind=ErrorKind.LOG_UNAVAILABLE, reason="denied too")


class _Caller:
    """Reach the store, or not, as a peer does."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.denied = False
        self.busy = False
        self.calls = 0
        self.reaches_store = True

    async def call(self, call: StoreCall) -> StoreReply | Failure:
        """Answer with the own name."""
        self.calls += 1
        if self.denied:
            return FAILED
        if self.busy:
            return StoreReply(status=429, body=b"")
        return StoreReply(status=200, body=self.name.encode())


class PeersTests(unittest.IsolatedAsyncioTestCase):
    """Run peers over real sockets."""

    async def asyncSetUp(self) -> None:
        """Make the context and the asking side."""
        self.context = zmq.asyncio.Context()
        self.closing: list[Callable[[], None]] = []
        self.serving: list[asyncio.Task[None]] = []
        self.peers = Peers(
            context=self.context,
            own=HostName("own"),
            own_address="127.0.0.1:1",
            data_centre=HERE,
            seeds=[],
            rng=random.Random(1),
        )

    async def asyncTearDown(self) -> None:
        """Close everything."""
        self.peers.close()
        for task in self.serving:
            task.cancel()
        for close in self.closing:
            close()
        self.context.destroy(linger=0)

    async def add(self, name: str, data_centre: DataCentre) -> _Caller:
        """Start a peer and tell of it."""
        caller = _Caller(name)
        server = PeerServer(
            context=self.context,
            address="127.0.0.1:*",
            caller=caller,
            reaches_store=lambda: caller.reaches_store,
        )
        task = asyncio.create_task(server.run())
        self.closing.append(server.close)
        self.serving.append(task)
        self.tell(name, server.address.removeprefix("tcp://"), data_centre)
        return caller

    def tell(self, name: str, address: str, data_centre: DataCentre) -> None:
        """Register a peer as the topic does."""
        record = PeerRecord(address=address, data_centre=data_centre)
        value = msgspec.json.encode(record)
        self.peers.change(KeyedRecord(key=name, value=value))

    async def answer(self) -> str:
        """Return the name of the peer that made a call."""
        reply = await self.peers.relay(CALL)
        assert isinstance(reply, StoreReply), reply
        return reply.body.decode()

    async def test_nearest_first(self) -> None:
        """Ask a peer in the same data centre, and another when it is denied too."""
        near = await self.add("near", HERE)
        await self.add("far", AWAY)
        for _ in range(3):
            self.assertEqual(await self.answer(), "near")
        near.denied = True
        self.assertEqual(await self.answer(), "far")

    async def test_peer_is_turned_away_too(self) -> None:
        """Go on to the next peer when the store answers the first one with 429.

        The store turns a third of the processes away. One of them asked its
        neighbour, which was turned away like itself, passed that answer on and
        asked it again: it kept no turn for eight seconds.
        """
        near = await self.add("near", HERE)
        await self.add("far", AWAY)
        near.busy = True
        for _ in range(3):
            self.assertEqual(await self.answer(), "far")
        self.assertEqual(near.calls, 1)

    async def test_peer_that_is_cut_off_says_so(self) -> None:
        """Go on to the next peer without a call in vain at the first one.

        A third of the hosts are cut off from the store at once. One that knows
        it of itself must not let a neighbour's call hang as its own do.
        """
        near = await self.add("near", HERE)
        await self.add("far", AWAY)
        near.reaches_store = False
        self.assertEqual(await self.answer(), "far")
        self.assertEqual(near.calls, 0)

    async def test_gone_peer(self) -> None:
        """Go on to the next when a registered peer is gone.

        A host was replaced; its registration stands, and nothing listens at
        its address. It is not asked again at once.
        """
        self.tell("gone", "127.0.0.1:9", HERE)
        await self.add("far", AWAY)
        for _ in range(2):
            self.assertEqual(await self.answer(), "far")

    async def test_nobody(self) -> None:
        """Fail when no peer is known."""
        self.assertIsInstance(await self.peers.relay(CALL), Failure)

    async def test_registration(self) -> None:
        """Write the own address where others read it."""
        store = KeyedStore()
        client = store.client()
        await self.peers.register(client, WriterId("writer"))
        other = Peers(
            context=self.context,
            own=HostName("other"),
            own_address="127.0.0.1:2",
            data_centre=HERE,
            seeds=[],
            rng=random.Random(1),
        )
        newest = store.newest(Partition(topic=TOPIC, number=0))
        other.replace(newest.records)
        self.assertEqual(len(other), 1)
        self.peers.replace(newest.records)
        self.assertEqual(len(self.peers), 0)
        await self.peers.unregister(client, "writer")
        newest = store.newest(Partition(topic=TOPIC, number=0))
        self.assertEqual(newest.records, [])
