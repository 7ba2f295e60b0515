"""Test that hosts of a data centre share what they saw of targets."""

from __future__ import annotations

import asyncio
import random
import unittest

import msgspec
import zmq.asyncio

from ...fleet.peers import PeerRecord, Peers, PeerServer
from ...fleet.target_reports import TargetReports
from ...ids import DataCentre, HostName, InstanceId
from ...policies.health import EJECTED, TargetHealth
from ...storage.keyed import KeyedRecord
from ...wire.links import Send
from ...wire.messages import Reply, Request, TargetReport
from .delegates_tests import NoStore

TARGET = InstanceId("target")
HERE = DataCentre("here")
THERE = DataCentre("there")
PATIENCE = 10.0


class _Host:
    """Hold what one host knows of targets."""

    def __init__(
        self, *, name: str, data_centre: DataCentre, context: zmq.asyncio.Context
    ) -> None:
        self.name = HostName(name)
        self.data_centre = data_centre
        self.server = PeerServer(
            context=context, address="127.0.0.1:*", caller=NoStore()
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
        self.server.others = self.answer
        self.heard = 0

    async def answer(self, request: Request, send: Send) -> Reply:
        """Take a report."""
        assert isinstance(request, TargetReport)
        self.heard += 1
        return self.reports.take(request)

    def fail(self) -> None:
        """Have a request to the target fail here."""
        now = asyncio.get_running_loop().time()
        if self.health.request_failed(TARGET, now):
            self.reports.tell(TARGET, False)

    def passes_over(self) -> bool:
        """Return whether requests avoid the target here."""
        now = asyncio.get_running_loop().time()
        return self.health.failure_rate(TARGET, now) == EJECTED


class TargetReportsTests(unittest.IsolatedAsyncioTestCase):
    """Run four hosts in two data centres over real sockets."""

    async def asyncSetUp(self) -> None:
        """Start the hosts, which know each other."""
        self.context = zmq.asyncio.Context()
        places = {"a": HERE, "b": HERE, "c": HERE, "far": THERE}
        self.hosts = {
            name: _Host(name=name, data_centre=place, context=self.context)
            for name, place in places.items()
        }
        for host in self.hosts.values():
            for other in self.hosts.values():
                record = PeerRecord(
                    address=other.address, data_centre=other.data_centre
                )
                value = msgspec.json.encode(record)
                host.peers.change(KeyedRecord(key=other.name, value=value))
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

    async def until_heard(self, name: str, count: int) -> None:
        """Wait until a host has heard so many reports."""
        async with asyncio.timeout(PATIENCE):
            while self.hosts[name].heard < count:
                await asyncio.sleep(0.01)

    async def test_third_host_avoids_what_two_saw_fail(self) -> None:
        """Spare a host's callers the failure that two others met.

        Two hosts lose a request each to a target. The third has sent it none
        yet; its first request goes elsewhere. The other data centre, whose
        requests go to targets of its own, is not told.
        """
        self.hosts["a"].fail()
        await self.until_heard("c", 1)
        self.assertFalse(self.hosts["c"].passes_over())
        self.hosts["b"].fail()
        await self.until_heard("c", 2)
        self.assertTrue(self.hosts["c"].passes_over())
        self.assertTrue(self.hosts["b"].passes_over())
        self.assertEqual(self.hosts["far"].heard, 0)

    async def test_hosts_that_are_gone_hold_nobody_up(self) -> None:
        """Report although a neighbour is gone and never answers."""
        self.hosts["b"].server.close()
        self.hosts["a"].fail()
        await self.until_heard("c", 1)

    async def test_success_is_told_once(self) -> None:
        """Use a target again everywhere after one host was answered by it."""
        self.hosts["a"].fail()
        self.hosts["b"].fail()
        await self.until_heard("c", 2)
        caught = self.hosts["a"]
        later = asyncio.get_running_loop().time() + 60
        self.assertTrue(caught.health.request_succeeded(TARGET, later))
        caught.reports.tell(TARGET, True)
        await self.until_heard("c", 3)
        self.assertFalse(self.hosts["c"].passes_over())
        self.assertFalse(caught.health.request_succeeded(TARGET, later + 1))
