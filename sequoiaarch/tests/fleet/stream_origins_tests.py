"""Test that hosts know where the streams of other hosts began."""

from __future__ import annotations

import asyncio
import random
import unittest
from unittest import mock

import msgspec
import zmq.asyncio

from ...errors import ErrorKind, Failure
from ...fleet.peers import PeerRecord, Peers, PeerServer
from ...fleet.stream_origins import (
    ASK_TIMEOUT,
    COPIES,
    HOSTS_ASKED,
    SharedOrigins,
)
from ...ids import AttemptId, DataCentre, HostName, ServiceName, SoftwareVersion
from ...policies.stream_origins import Origin, StreamKeys, stream_keys
from ...storage.keyed import KeyedRecord
from ...wire.links import Send
from ...wire.messages import (
    Accepted,
    Failed,
    FindOriginRequest,
    Message,
    OriginFound,
    RecordOriginRequest,
    Reply,
    Request,
)
from .delegates_tests import FailingStoreClient

FIRST = Origin(service=ServiceName("engines"), version=SoftwareVersion("v1"))
LIFE = 30.0
TEST_TIMEOUT = 10.0
CENTRES = ("here", "there", "away")
HOSTS_PER_CENTRE = 5
STREAMS = 40


class _Host:
    """One host with its origins."""

    def __init__(self, *, name: str, centre: str, context: zmq.asyncio.Context) -> None:
        self.name = HostName(name)
        self.centre = DataCentre(centre)
        self.server = PeerServer(
            context=context, address="127.0.0.1:*", client=FailingStoreClient()
        )
        self.address = self.server.address.removeprefix("tcp://")
        self.peers = Peers(
            context=context,
            own=self.name,
            own_address=self.address,
            data_centre=self.centre,
            seeds=[],
            rng=random.Random(1),
        )
        self.origins = SharedOrigins(own=self.name, peers=self.peers)
        self.server.fallback = self.answer
        self.requests = 0
        self.frozen = False
        self.older = False
        self.serving = asyncio.create_task(self.server.run())

    async def answer(self, request: Request, send: Send) -> Reply:
        """Handle a request, as a frozen host or one of an older build if set."""
        assert isinstance(request, RecordOriginRequest | FindOriginRequest)
        self.requests += 1
        if self.frozen:
            await asyncio.Event().wait()
        if self.older:
            failure = Failure(kind=ErrorKind.MALFORMED, reason="cannot decode")
            return Failed(failure=failure)
        return self.origins.answer(request)

    def learn(self, other: _Host) -> None:
        """Apply the registration of a host."""
        record = PeerRecord(address=other.address, data_centre=other.centre)
        self.peers.apply(KeyedRecord(key=other.name, value=msgspec.json.encode(record)))

    def close(self) -> None:
        """End the host."""
        self.serving.cancel()
        self.peers.close()
        self.server.close()


class _CountingLink:
    """Link to a host that keeps records and knows no stream."""

    def __init__(self) -> None:
        self.requests: list[Message] = []

    async def call(self, request: Message, *, timeout: float) -> Reply:
        """Count a request and answer it."""
        self.requests.append(request)
        if isinstance(request, RecordOriginRequest):
            return Accepted()
        return OriginFound(known=False)


class LargeFleetTests(unittest.IsolatedAsyncioTestCase):
    """Count messages with the hosts of several data centres."""

    async def count(self, hosts: int, centres: int) -> tuple[float, float]:
        """Return the messages for a stream that begins and for an unknown one."""
        own = HostName("h0")
        by_centre = {
            DataCentre(f"c{centre}"): [
                HostName(f"h{number}") for number in range(centre, hosts, centres)
            ]
            for centre in range(centres)
        }
        link = _CountingLink()
        peers = mock.Mock(spec=Peers, version=1)
        peers.hosts_by_centre.return_value = by_centre
        peers.neighbours.return_value = by_centre[DataCentre("c0")][1:]
        peers.link.return_value = link
        origins = SharedOrigins(own=own, peers=peers)
        for number in range(STREAMS):
            keys = stream_keys("", AttemptId(str(number)), str(number).encode())
            origins.record(keys, FIRST, LIFE)
        await asyncio.gather(*origins._tasks)
        recorded = len(link.requests)
        link.requests.clear()
        unknown = stream_keys("", AttemptId("unknown"), b"unknown")
        await origins.find(unknown)
        return recorded / STREAMS, len(link.requests)

    async def test_messages(self) -> None:
        """Send three copies of each record, however many hosts there are."""
        for hosts, centres in ((33, 4), (300, 10), (540, 15)):
            recorded, asked = await self.count(hosts, centres)
            self.assertGreater(recorded, COPIES - 1)
            self.assertLessEqual(recorded, COPIES)
            self.assertLessEqual(asked, HOSTS_ASKED * centres)


class SharedOriginsTests(unittest.IsolatedAsyncioTestCase):
    """Test hosts of several data centres over real sockets."""

    async def asyncSetUp(self) -> None:
        """Start the hosts, which know each other."""
        self.context = zmq.asyncio.Context()
        self.hosts: dict[str, _Host] = {}
        for centre in CENTRES:
            for number in range(HOSTS_PER_CENTRE):
                self.add_host(f"{centre}-{number}", centre)

    async def asyncTearDown(self) -> None:
        """Close everything."""
        for host in self.hosts.values():
            host.close()
        self.context.destroy(linger=0)

    def add_host(self, name: str, centre: str) -> _Host:
        """Start a host and let all hosts know each other."""
        host = self.hosts[name] = _Host(name=name, centre=centre, context=self.context)
        for other in self.hosts.values():
            other.learn(host)
            host.learn(other)
        return host

    def centre(self, name: str) -> list[_Host]:
        """Return the hosts of a data centre."""
        return [host for host in self.hosts.values() if host.centre == name]

    def keys(self, number: int) -> StreamKeys:
        """Return the keys of a stream."""
        return stream_keys("", AttemptId(f"a{number}"), f"prompt {number}".encode())

    async def record(self, host: _Host, count: int = STREAMS) -> list[StreamKeys]:
        """Record the origins of streams and wait until the copies are made."""
        streams = [self.keys(number) for number in range(count)]
        for keys in streams:
            host.origins.record(keys, FIRST, LIFE)
        await self.wait_until_copied(host)
        return streams

    def holders(self, keys: StreamKeys) -> list[_Host]:
        """Return the hosts that know a stream."""
        return [
            host
            for host in self.hosts.values()
            if host.origins._local.known(keys.best) is not None
        ]

    async def count_found(
        self, host: _Host, streams: list[StreamKeys], *, by_content: bool = False
    ) -> int:
        """Return of how many streams a host finds the true origin."""
        found = 0
        for keys in streams:
            asked = StreamKeys(first=None, content=keys.content) if by_content else keys
            known = await host.origins.find(asked)
            if known is not None:
                self.assertEqual(known.origin, FIRST)
                found += 1
        return found

    async def test_found_at_any_host(self) -> None:
        """Find streams at hosts of the same and of another data centre."""
        streams = await self.record(self.hosts["here-0"])
        for name in ("here-1", "there-1", "away-4"):
            host = self.hosts[name]
            self.assertEqual(await self.count_found(host, streams), STREAMS)
            found = await self.count_found(host, streams, by_content=True)
            self.assertEqual(found, STREAMS)

    async def test_copies(self) -> None:
        """Keep a bounded number of copies, and one of them in another data centre."""
        for keys in await self.record(self.hosts["here-0"]):
            centres = [host.centre for host in self.holders(keys)]
            self.assertLessEqual(len(centres), COPIES + 1)
            self.assertGreaterEqual(len(centres), COPIES)
            self.assertEqual(len(centres) - centres.count(DataCentre("here")), 1)

    async def test_data_centre_is_lost(self) -> None:
        """Find streams after the loss of the data centre in which they began."""
        streams = await self.record(self.hosts["here-0"])
        for host in self.centre("here"):
            host.close()
            del self.hosts[host.name]
        host = self.hosts["there-1"]
        self.assertEqual(await self.count_found(host, streams), STREAMS)

    async def test_two_hosts_are_lost(self) -> None:
        """Find streams after the loss of their gateway and of another host."""
        streams = await self.record(self.hosts["here-0"])
        for name in ("here-0", "here-1"):
            self.hosts.pop(name).close()
        host = self.hosts["here-2"]
        self.assertEqual(await self.count_found(host, streams), STREAMS)

    async def test_hosts_that_keep_nothing(self) -> None:
        """Choose other hosts in place of frozen ones and of those of an older build."""
        self.hosts["here-1"].frozen = True
        self.hosts["here-2"].older = True
        streams = await self.record(self.hosts["here-0"])
        self.hosts.pop("here-0").close()
        for name in ("here-3", "here-4", "there-0"):
            found = await self.count_found(self.hosts[name], streams)
            self.assertEqual(found, STREAMS)

    async def test_host_is_added(self) -> None:
        """Find streams although a host that ranks first was added after they began."""
        streams = await self.record(self.hosts["here-0"])
        self.hosts.pop("here-0").close()
        added = self.add_host("here-9", "here")
        for host in (added, self.hosts["here-1"], self.hosts["there-0"]):
            self.assertEqual(await self.count_found(host, streams), STREAMS)

    async def test_unknown_stream(self) -> None:
        """Tell within the time limit that nobody knows a stream."""
        for host in self.centre("here"):
            host.frozen = host.name != "here-0"
        loop = asyncio.get_running_loop()
        started = loop.time()
        known = await self.hosts["here-0"].origins.find(self.keys(1))
        self.assertIsNone(known)
        self.assertLess(loop.time() - started, 4 * ASK_TIMEOUT)

    async def test_request_is_sent_anew(self) -> None:
        """Trust no origin if a request began streams at two versions.

        Without the id of the first attempt the gateway of the earlier one would go on
        at its version.
        """
        other = Origin(service=FIRST.service, version=SoftwareVersion("v2"))
        for number in range(STREAMS):
            content = self.keys(number).content
            first, second = self.hosts["here-0"], self.hosts["here-1"]
            for host, origin, attempt in ((first, FIRST, "x"), (second, other, "y")):
                begun = stream_keys("", AttemptId(f"{attempt}{number}"), b"")
                keys = StreamKeys(first=begun.first, content=content)
                host.origins.record(keys, origin, LIFE)
                await self.wait_until_copied(host)
            for name in ("here-0", "here-1", "here-4", "there-4"):
                asked = StreamKeys(first=None, content=content)
                known = await self.hosts[name].origins.find(asked)
                assert known is not None
                self.assertIsNone(known.origin, name)

    async def wait_until_copied(self, host: _Host) -> None:
        """Wait until other hosts have the records of a host."""
        async with asyncio.timeout(TEST_TIMEOUT):
            while host.origins._tasks:
                await asyncio.sleep(0.005)

    async def test_no_other_host_keeps_it(self) -> None:
        """Count the streams of which no other host has a copy."""
        for host in self.hosts.values():
            host.older = host.name != "here-0"
        host = self.hosts["here-0"]
        await self.record(host, 2)
        self.assertEqual(host.origins.uncopied, 2)
        self.assertEqual(await self.count_found(host, [self.keys(0)]), 1)
