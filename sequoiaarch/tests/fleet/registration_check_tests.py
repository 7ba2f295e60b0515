"""Test the check that all hosts see a new registration."""

from __future__ import annotations

import asyncio
import random
import unittest

import msgspec
import zmq.asyncio

from ...fleet import registration_check as check_module
from ...fleet.peers import PeerRecord, Peers, PeerServer
from ...fleet.registration_check import RegistrationCheck
from ...ids import DataCentre, HostName, WriterId
from ...storage.keyed import KeyedRecord
from ...wire.links import Send
from ...wire.messages import RegistrationSeenRequest, Reply, Request
from ...workspaces.host_lease import HostLease, Registration
from .delegates_tests import FailingStoreClient

LEASE = 4.0


class _Host:
    """A registered host and its view of the others."""

    def __init__(self, *, name: str, context: zmq.asyncio.Context) -> None:
        self.name = HostName(name)
        self.writer = WriterId(f"writer-{name}")
        self.now = 100.0
        self.server = PeerServer(
            context=context, address="127.0.0.1:*", client=FailingStoreClient()
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
        self.check = RegistrationCheck(
            own=self.name,
            writer=self.writer,
            peers=self.peers,
            host_lease=self.host_lease,
        )
        self.server.fallback = self.answer

    async def answer(self, request: Request, send: Send) -> Reply:
        """Handle a request whether a registration is seen."""
        assert isinstance(request, RegistrationSeenRequest)
        return self.check.answer(request)

    def add_registration(self, other: _Host) -> None:
        """Add the registration of another host to this view."""
        record = PeerRecord(
            address=other.address, data_centre=DataCentre("here"), writer=other.writer
        )
        value = msgspec.json.encode(record)
        self.peers.apply(KeyedRecord(key=other.name, value=value))


class RegistrationCheckTests(unittest.IsolatedAsyncioTestCase):
    """Test adding a host to two others, over real sockets."""

    async def asyncSetUp(self) -> None:
        """Start the hosts; the new one sees the others and itself."""
        self.context = zmq.asyncio.Context()
        self.new, *self.others = (
            _Host(name=name, context=self.context) for name in ("new", "a", "b")
        )
        for other in self.others:
            self.new.add_registration(other)
        registration = Registration(own=True, ended=True, settled=False)
        self.new.host_lease.registered(registration, ordered=True)
        self.new.host_lease.renew(self.new.now)
        hosts = [self.new, *self.others]
        self.serving = [asyncio.create_task(host.server.run()) for host in hosts]
        self.serving.append(asyncio.create_task(self.new.check.run()))

    async def asyncTearDown(self) -> None:
        """Close everything."""
        for task in self.serving:
            task.cancel()
        for host in (self.new, *self.others):
            host.peers.close()
            host.server.close()
        self.context.destroy(linger=0)

    async def wait_for_checks(self) -> None:
        """Wait for several rounds of the check."""
        await asyncio.sleep(5 * check_module.ASK_INTERVAL)

    async def test_all_see_the_new_host(self) -> None:
        """Serve shares as soon as all hosts see the registration."""
        for other in self.others:
            other.add_registration(self.new)
        await self.wait_for_checks()
        self.assertTrue(self.new.host_lease.active)

    async def test_host_with_stale_view(self) -> None:
        """Wait for a host whose view does not include this one."""
        self.others[0].add_registration(self.new)
        await self.wait_for_checks()
        self.assertFalse(self.new.host_lease.active)
        self.others[1].add_registration(self.new)
        await self.wait_for_checks()
        self.assertTrue(self.new.host_lease.active)

    async def test_host_was_replaced_while_it_ran(self) -> None:
        """Wait for a host whose earlier process may still serve shares."""
        for other in self.others:
            other.add_registration(self.new)
        earlier = Registration(own=False, ended=False, settled=True)
        self.others[0].host_lease.registered(earlier, ordered=False)
        await self.wait_for_checks()
        self.assertFalse(self.new.host_lease.active)
        own = Registration(own=True, ended=True, settled=False)
        self.others[0].host_lease.registered(own, ordered=True)
        self.others[0].now += 1.1 * LEASE
        await self.wait_for_checks()
        self.assertTrue(self.new.host_lease.active)

    async def test_host_does_not_answer(self) -> None:
        """Wait for the lease to expire if a host does not answer."""
        self.others[0].add_registration(self.new)
        self.others[1].server.close()
        await asyncio.sleep(3 * check_module.ASK_TIMEOUT)
        self.assertFalse(self.new.host_lease.active)
        self.new.now += 1.1 * LEASE
        self.new.host_lease.renew(self.new.now)
        self.assertTrue(self.new.host_lease.active)

    async def test_earlier_process_is_seen(self) -> None:
        """Wait while others see the registration of an earlier process."""
        for other in self.others:
            other.add_registration(self.new)
        self.new.check._writer = WriterId("later")
        await self.wait_for_checks()
        self.assertFalse(self.new.host_lease.active)
