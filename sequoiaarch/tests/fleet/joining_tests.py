"""Test that a new host finds out when all others see it."""

from __future__ import annotations

import asyncio
import random
import unittest

import msgspec
import zmq.asyncio

from ...fleet import joining as joining_module
from ...fleet.joining import Joining
from ...fleet.peers import PeerRecord, Peers, PeerServer
from ...ids import DataCentre, HostName, WriterId
from ...storage.keyed import KeyedRecord
from ...wire.links import Send
from ...wire.messages import Reply, Request, SeenRequest
from ...workspaces.host_lease import HostLease
from .delegates_tests import NoStore

LEASE = 4.0


class _Host:
    """Hold one host that is registered, and its view of the others."""

    def __init__(self, *, name: str, context: zmq.asyncio.Context) -> None:
        self.name = HostName(name)
        self.writer = WriterId(f"writer-{name}")
        self.now = 100.0
        self.server = PeerServer(
            context=context, address="127.0.0.1:*", caller=NoStore()
        )
        self.address = self.server.address.removeprefix("tcp://")
        self.peers = Peers(
            context=context,
            own=self.name,
            own_address=self.address,
            data_centre=DataCentre("here"),
            seeds=[],
            rng=random.Random(1),
        )
        self.host_lease = HostLease(lease=LEASE, clock=lambda: self.now)
        self.joining = Joining(
            own=self.name,
            writer=self.writer,
            peers=self.peers,
            host_lease=self.host_lease,
        )
        self.server.others = self.answer

    async def answer(self, request: Request, send: Send) -> Reply:
        """Tell whether a host is seen."""
        assert isinstance(request, SeenRequest)
        return self.joining.answer(request)

    def see(self, other: _Host) -> None:
        """See the registration of a host."""
        record = PeerRecord(
            address=other.address, data_centre=DataCentre("here"), writer=other.writer
        )
        value = msgspec.json.encode(record)
        self.peers.change(KeyedRecord(key=other.name, value=value))


class JoiningTests(unittest.IsolatedAsyncioTestCase):
    """Add a host to two others, over real sockets."""

    async def asyncSetUp(self) -> None:
        """Start the hosts; the new one sees the others and itself."""
        self.context = zmq.asyncio.Context()
        self.new, *self.others = (
            _Host(name=name, context=self.context) for name in ("new", "a", "b")
        )
        for other in self.others:
            self.new.see(other)
        self.new.host_lease.registered(own=True, ordered=True)
        self.new.host_lease.renew(self.new.now)
        hosts = [self.new, *self.others]
        self.serving = [asyncio.create_task(one.server.run()) for one in hosts]
        self.serving.append(asyncio.create_task(self.new.joining.run()))

    async def asyncTearDown(self) -> None:
        """Close everything."""
        for task in self.serving:
            task.cancel()
        for host in (self.new, *self.others):
            host.peers.close()
            host.server.close()
        self.context.destroy(linger=0)

    async def asked(self) -> None:
        """Let the new host ask some times."""
        await asyncio.sleep(5 * joining_module.ASK_INTERVAL)

    async def test_all_see_the_new_host(self) -> None:
        """Act at once when nobody acts by a view without this host."""
        for other in self.others:
            other.see(self.new)
        await self.asked()
        self.assertTrue(self.new.host_lease.active)

    async def test_one_has_an_old_view(self) -> None:
        """Wait for a host that may act by a view without this one."""
        self.others[0].see(self.new)
        await self.asked()
        self.assertFalse(self.new.host_lease.active)
        self.others[1].see(self.new)
        await self.asked()
        self.assertTrue(self.new.host_lease.active)

    async def test_one_does_not_answer(self) -> None:
        """Wait for a lease where a host is lost or cut off, and act then."""
        self.others[0].see(self.new)
        self.others[1].server.close()
        await asyncio.sleep(3 * joining_module.ASK_TIMEOUT)
        self.assertFalse(self.new.host_lease.active)
        self.new.now += 1.1 * LEASE
        self.new.host_lease.renew(self.new.now)
        self.assertTrue(self.new.host_lease.active)

    async def test_other_process_of_the_host_is_seen(self) -> None:
        """Wait while others see an earlier process of this host, which has ended."""
        for other in self.others:
            other.see(self.new)
        self.new.joining._writer = WriterId("later")
        await self.asked()
        self.assertFalse(self.new.host_lease.active)
