"""Test store calls relayed by peers, and registrations."""

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
LOCAL_CENTRE = DataCentre("here")
REMOTE_CENTRE = DataCentre("away")
FAILED = Failure(kind=ErrorKind.LOG_UNAVAILABLE, reason="denied too")


class _FakeStoreClient:
    """Store client of a peer, with switchable failures."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.denied = False
        self.throttled = False
        self.calls = 0
        self.reaches_store = True

    async def call(self, call: StoreCall) -> StoreReply | Failure:
        """Return this peer's name, or fail as configured."""
        self.calls += 1
        if self.denied:
            return FAILED
        if self.throttled:
            return StoreReply(status=429, body=b"")
        return StoreReply(status=200, body=self.name.encode())


class PeersTests(unittest.IsolatedAsyncioTestCase):
    """Test relaying over real sockets."""

    async def asyncSetUp(self) -> None:
        """Create the process that relays through peers."""
        self.context = zmq.asyncio.Context()
        self.closing: list[Callable[[], None]] = []
        self.serving: list[asyncio.Task[None]] = []
        self.peers = Peers(
            context=self.context,
            own=HostName("own"),
            own_address="127.0.0.1:1",
            data_centre=LOCAL_CENTRE,
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

    async def add(self, name: str, data_centre: DataCentre) -> _FakeStoreClient:
        """Start a peer and register it."""
        client = _FakeStoreClient(name)
        server = PeerServer(
            context=self.context,
            address="127.0.0.1:*",
            client=client,
            reaches_store=lambda: client.reaches_store,
        )
        task = asyncio.create_task(server.run())
        self.closing.append(server.close)
        self.serving.append(task)
        self.register(name, server.address.removeprefix("tcp://"), data_centre)
        return client

    def register(self, name: str, address: str, data_centre: DataCentre) -> None:
        """Apply a registration record of a peer."""
        record = PeerRecord(address=address, data_centre=data_centre)
        value = msgspec.json.encode(record)
        self.peers.apply(KeyedRecord(key=name, value=value))

    async def relay_call(self) -> str:
        """Relay a call and return the name of the peer that made it."""
        reply = await self.peers.relay(CALL)
        assert isinstance(reply, StoreReply), reply
        return reply.body.decode()

    async def test_nearest_first(self) -> None:
        """Prefer peers of the same data centre; try others after a failure."""
        near = await self.add("near", LOCAL_CENTRE)
        await self.add("far", REMOTE_CENTRE)
        for _ in range(3):
            self.assertEqual(await self.relay_call(), "near")
        near.denied = True
        self.assertEqual(await self.relay_call(), "far")

    async def test_throttled_peer(self) -> None:
        """Try the next peer if the store throttles the first one with 429.

        The throttled peer must not be tried first again.
        """
        near = await self.add("near", LOCAL_CENTRE)
        await self.add("far", REMOTE_CENTRE)
        near.throttled = True
        for _ in range(3):
            self.assertEqual(await self.relay_call(), "far")
        self.assertEqual(near.calls, 1)

    async def test_peer_without_store(self) -> None:
        """Fail fast at a peer that knows it can't reach the store."""
        near = await self.add("near", LOCAL_CENTRE)
        await self.add("far", REMOTE_CENTRE)
        near.reaches_store = False
        self.assertEqual(await self.relay_call(), "far")
        self.assertEqual(near.calls, 0)

    async def test_gone_peer(self) -> None:
        """Try the next peer if nothing listens at a registered address."""
        self.register("gone", "127.0.0.1:9", LOCAL_CENTRE)
        await self.add("far", REMOTE_CENTRE)
        for _ in range(2):
            self.assertEqual(await self.relay_call(), "far")

    async def test_no_peer(self) -> None:
        """Fail when no peer is known."""
        self.assertIsInstance(await self.peers.relay(CALL), Failure)

    def host(self, name: str) -> Peers:
        """Return the peers of another host."""
        return Peers(
            context=self.context,
            own=HostName(name),
            own_address=f"127.0.0.1:{name}",
            data_centre=LOCAL_CENTRE,
            seeds=[],
            rng=random.Random(1),
        )

    async def test_registration(self) -> None:
        """Write and remove a registration that other hosts read."""
        store = KeyedStore()
        client = store.client()
        await self.peers.register(client, WriterId("writer"))
        other = self.host("other")
        newest = store.newest(Partition(topic=TOPIC, number=0))
        other.replace(newest.records)
        self.assertEqual(len(other), 1)
        self.peers.replace(newest.records)
        self.assertEqual(len(self.peers), 0)
        await self.peers.unregister(client, WriterId("writer"))
        newest = store.newest(Partition(topic=TOPIC, number=0))
        self.assertEqual(newest.records, [])

    async def test_hosts_settle_at_once(self) -> None:
        """Keep the registration of every host when all of them write at once."""
        store = KeyedStore()
        hosts = [self.host(f"h{number}") for number in range(20)]
        writers = [WriterId(f"writer-{number}") for number in range(20)]
        pairs = list(zip(hosts, writers, strict=True))
        for host, writer in pairs:
            host.replace([])
            await host.register(store.client(), writer)
        await asyncio.gather(
            *(host.mark_settled(store.client(), writer) for host, writer in pairs)
        )
        newest = store.newest(Partition(topic=TOPIC, number=0)).records
        settled = [
            msgspec.json.decode(record.value, type=PeerRecord).settled
            for record in newest
        ]
        self.assertEqual(settled, [True] * len(hosts))

    async def test_removal_is_carried_out_late(self) -> None:
        """Keep the registration of the next process of this host."""
        store = KeyedStore()
        first, second = store.client(), store.client()
        self.peers.replace([])
        await self.peers.register(first, WriterId("first"))
        first.faults.lost_replies, first.faults.append_delay = 1, 0.1
        await self.peers.unregister(first, WriterId("first"))
        await self.peers.register(second, WriterId("second"))
        await asyncio.sleep(0.2)
        newest = store.newest(Partition(topic=TOPIC, number=0))
        registered = [
            msgspec.json.decode(record.value, type=PeerRecord).writer
            for record in newest.records
        ]
        self.assertEqual(registered, ["second"])
