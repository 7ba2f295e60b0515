"""Test that hosts of a data centre share the health of targets."""

from __future__ import annotations

import asyncio
import random
import unittest

import msgspec
import zmq.asyncio

from ...fleet.peers import PeerRecord, Peers, PeerServer
from ...fleet.target_reports import TargetReports
from ...ids import DataCentre, HostName, InstanceId
from ...policies.health import EJECTED_FAILURE_RATE, TargetHealth
from ...storage.keyed import KeyedRecord
from ...wire.links import Send
from ...wire.messages import Reply, Request, TargetReport
from .delegates_tests import FailingStoreClient

TARGET = InstanceId("target")
LOCAL_CENTRE = DataCentre("here")
REMOTE_CENTRE = DataCentre("there")
TEST_TIMEOUT = 10.0


class _Host:
    """One host with its view of target health."""

    def __init__(
        self, *, name: str, data_centre: DataCentre, context: zmq.asyncio.Context
    ) -> None:
        self.name = HostName(name)
        self.data_centre = data_centre
        self.server = PeerServer(
            context=context, address="127.0.0.1:*", client=FailingStoreClient()
        )
        self.address = self.server.address.removeprefix("tcp://")
        self.peers = Peers(
            context=context,
            own=self.name,
            own_address=self.address,
            data_centre=data_centre,
            seeds=[],
            rng=random.Random(1),
        )
        self.health = TargetHealth(own=self.name)
        self.reports = TargetReports(
            own=self.name, peers=self.peers, health=self.health
        )
        self.server.fallback = self.answer
        self.reports_received = 0

    async def answer(self, request: Request, send: Send) -> Reply:
        """Handle a target report."""
        assert isinstance(request, TargetReport)
        self.reports_received += 1
        return self.reports.receive(request)

    def fail(self) -> None:
        """Record a failed request to the target on this host."""
        now = asyncio.get_running_loop().time()
        if self.health.request_failed(TARGET, now):
            self.reports.broadcast(TARGET, False)

    def avoids_target(self) -> bool:
        """Return whether this host avoids the target."""
        now = asyncio.get_running_loop().time()
        return self.health.failure_rate(TARGET, now) == EJECTED_FAILURE_RATE


class TargetReportsTests(unittest.IsolatedAsyncioTestCase):
    """Test four hosts in two data centres over real sockets."""

    async def asyncSetUp(self) -> None:
        """Start the hosts, which know each other."""
        self.context = zmq.asyncio.Context()
        data_centres = {
            "a": LOCAL_CENTRE,
            "b": LOCAL_CENTRE,
            "c": LOCAL_CENTRE,
            "far": REMOTE_CENTRE,
        }
        self.hosts = {
            name: _Host(name=name, data_centre=data_centre, context=self.context)
            for name, data_centre in data_centres.items()
        }
        for host in self.hosts.values():
            for other in self.hosts.values():
                record = PeerRecord(
                    address=other.address, data_centre=other.data_centre
                )
                value = msgspec.json.encode(record)
                host.peers.apply(KeyedRecord(key=other.name, value=value))
        self.serving = [
            asyncio.create_task(host.server.run()) for host in self.hosts.values()
        ]

    async def asyncTearDown(self) -> None:
        """Close everything."""
        for task in self.serving:
            task.cancel()
        for host in self.hosts.values():
            host.peers.close()
            host.server.close()
        self.context.destroy(linger=0)

    async def wait_until_received(self, name: str, count: int) -> None:
        """Wait until a host has received `count` reports."""
        async with asyncio.timeout(TEST_TIMEOUT):
            while self.hosts[name].reports_received < count:
                await asyncio.sleep(0.01)

    async def test_two_reports_exclude_target(self) -> None:
        """Avoid a target that two other hosts of the data centre saw fail.

        Hosts of other data centres receive no report.
        """
        self.hosts["a"].fail()
        await self.wait_until_received("c", 1)
        self.assertFalse(self.hosts["c"].avoids_target())
        self.hosts["b"].fail()
        await self.wait_until_received("c", 2)
        await self.wait_until_received("b", 1)
        self.assertTrue(self.hosts["c"].avoids_target())
        self.assertTrue(self.hosts["b"].avoids_target())
        self.assertEqual(self.hosts["far"].reports_received, 0)

    async def test_unresponsive_neighbour(self) -> None:
        """Deliver reports although another neighbour never answers."""
        self.hosts["b"].server.close()
        self.hosts["a"].fail()
        await self.wait_until_received("c", 1)

    async def test_success_is_reported_once(self) -> None:
        """Use a target again on all hosts after one success, reported once."""
        self.hosts["a"].fail()
        self.hosts["b"].fail()
        await self.wait_until_received("c", 2)
        await self.wait_until_received("a", 1)
        recovered = self.hosts["a"]
        later = asyncio.get_running_loop().time() + 60
        self.assertTrue(recovered.health.request_succeeded(TARGET, later))
        recovered.reports.broadcast(TARGET, True)
        await self.wait_until_received("c", 3)
        self.assertFalse(self.hosts["c"].avoids_target())
        self.assertFalse(recovered.health.request_succeeded(TARGET, later + 1))
