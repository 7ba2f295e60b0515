"""Test that hosts take tokens from the keepers of a limit, over real sockets."""

from __future__ import annotations

import asyncio
import random
import unittest
from unittest import mock

import msgspec
import zmq.asyncio

from ...fleet.peers import PeerRecord, Peers, PeerServer
from ...fleet.quotas import FleetQuotas
from ...fleet.standing import Standing
from ...ids import DataCentre, HostName, Workspace, WriterId
from ...storage.keyed import KeyedRecord
from ...wire.links import Send
from ...wire.messages import Reply, Request, TakeTokens
from ...workspaces import limiter as limiter_module
from ...workspaces.access import Caller
from ...workspaces.directory import RateLimit
from ...workspaces.limiter import Limiter
from ...workspaces.quotas import Refusal
from ...workspaces.shares import ShareOwners
from ...workspaces.sliding_window import QuotaBounds
from ...workspaces.token_cache import TokenCache
from .delegates_tests import NoStore

WORKSPACE = Workspace("w")
LIMIT = RateLimit(rate=2.0, burst=0.0)
BOUNDS = QuotaBounds(window=5.0, overage=0.0, slack=14.0)
ALLOWED = 24
CALLER = Caller(workspace=WORKSPACE, limit=LIMIT)
CENTRES = [DataCentre("dc0"), DataCentre("dc1"), DataCentre("dc2")]
START = 100.0


class _Host:
    """Hold one host's shares and tokens."""

    def __init__(self, *, number: int, context: zmq.asyncio.Context) -> None:
        self.name = HostName(f"h{number}")
        self.data_centre = CENTRES[number % len(CENTRES)]
        self.server = PeerServer(
            context=context, address="127.0.0.1:*", caller=NoStore()
        )
        self.address = self.server.address.removeprefix("tcp://")
        self.peers = Peers(
            context=context,
            own=self.name,
            own_address=self.address,
            data_centre=self.data_centre,
            seeds=[],
            rng=random.Random(1),
        )
        self.now = START
        self.owners = ShareOwners(
            hosts=self.peers.by_centre, version=lambda: self.peers.version
        )
        self.limiter = Limiter(
            bounds=BOUNDS,
            limits=lambda name: LIMIT,
            owns=lambda name, share: self.owners.of(name)[share] == self.name,
            term=lambda: 1,
            since=lambda: 0.0,
            clock=lambda: self.now,
            rng=random.Random(1),
        )
        self.quotas = FleetQuotas(
            own=self.name,
            peers=self.peers,
            standing=Standing(),
            owners=self.owners,
            limiter=self.limiter,
            token_cache=TokenCache(clock=lambda: self.now),
        )
        self.server.others = self.answer
        self.asked = 0

    async def answer(self, request: Request, send: Send) -> Reply:
        """Hand out tokens."""
        assert isinstance(request, TakeTokens)
        self.asked += 1
        return self.quotas.answer(request)

    async def take(self) -> float | Refusal:
        """Take a token for a request of a program under way."""
        return await self.quotas.take(CALLER, begins=False)


class FleetQuotasTests(unittest.IsolatedAsyncioTestCase):
    """Run six hosts in three data centres."""

    async def asyncSetUp(self) -> None:
        """Start the hosts, which know each other."""
        self.context = zmq.asyncio.Context()
        self.hosts = [_Host(number=n, context=self.context) for n in range(6)]
        for host in self.hosts:
            for other in self.hosts:
                record = PeerRecord(
                    address=other.address,
                    data_centre=other.data_centre,
                    writer=WriterId(other.name),
                )
                value = msgspec.json.encode(record)
                host.peers.change(KeyedRecord(key=other.name, value=value))
        self.serving = [asyncio.create_task(one.server.run()) for one in self.hosts]

    async def asyncTearDown(self) -> None:
        """Close everything."""
        for task in self.serving:
            task.cancel()
        for host in self.hosts:
            host.peers.close()
            host.server.close()
        self.context.destroy(linger=0)

    def owners(self) -> list[_Host]:
        """Return the host of each share."""
        names = self.hosts[0].owners.of(WORKSPACE)
        return [one for name in names for one in self.hosts if one.name == name]

    async def test_hosts_agree_on_keepers_of_all_data_centres(self) -> None:
        """Choose the same three keepers everywhere, one in each data centre."""
        found = {host.owners.of(WORKSPACE) for host in self.hosts}
        self.assertEqual(len(found), 1)
        self.assertEqual({one.data_centre for one in self.owners()}, set(CENTRES))

    async def test_all_hosts_together_get_what_a_window_allows(self) -> None:
        """Serve a limit whole, through one host or all, and no more than it."""
        for hosts in (self.hosts[:1], self.hosts):
            for host in self.hosts:
                host.now += 60.0
            served = 0
            for _ in range(2 * ALLOWED):
                for host in hosts:
                    served += not isinstance(await host.take(), Refusal)
            self.assertLessEqual(served, ALLOWED)
            self.assertGreaterEqual(served, ALLOWED // 2)

    async def test_near_keeper_is_asked_first(self) -> None:
        """Ask nobody outside the data centre while its keeper has tokens."""
        host = self.hosts[0]
        self.assertIsInstance(await host.take(), float)
        asked = [one for one in self.hosts if one.asked]
        self.assertTrue(all(one.data_centre == host.data_centre for one in asked))

    async def test_lost_keeper(self) -> None:
        """Go on with the other shares when a keeper is lost."""
        lost = self.owners()[0]
        near = [one for one in self.hosts if one.data_centre == lost.data_centre]
        host = next(one for one in near if one is not lost)
        lost.server.close()
        self.assertIsInstance(await host.take(), float)

    async def test_no_keeper_answers(self) -> None:
        """Say that the limit is not known where nobody who keeps it answers."""
        for host in self.hosts:
            host.server.close()
        asking = next(one for one in self.hosts if one not in self.owners())
        found = await asking.take()
        assert isinstance(found, Refusal)
        self.assertFalse(found.kept)
        self.assertGreater(found.wait, 0)

    async def test_refused_workspace_is_not_asked_for_again_at_once(self) -> None:
        """Refuse a workspace at its limit without a message for each request."""
        host = self.hosts[0]
        while not isinstance(found := await host.take(), Refusal):
            host.now += 0.0001
        self.assertGreater(found.wait, 0)
        before = sum(one.asked for one in self.hosts)
        for _ in range(50):
            self.assertIsInstance(await host.take(), Refusal)
        self.assertEqual(sum(one.asked for one in self.hosts), before)

    async def test_callers_are_told_when_there_is_room(self) -> None:
        """Serve a caller that comes back when it was told to, and nobody else asks."""
        host = self.hosts[0]
        with mock.patch.object(limiter_module, "REFUSED_SPAN", 0.0):
            while not isinstance(found := await host.take(), Refusal):
                pass
            for one in self.hosts:
                one.now += found.wait + 0.001
            self.assertIsInstance(await host.take(), float)
