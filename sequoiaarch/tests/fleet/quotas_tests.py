"""Test that hosts take rate-limit tokens from share owners, over real sockets."""

from __future__ import annotations

import asyncio
import random
import unittest
from unittest import mock

import msgspec
import zmq.asyncio

from ...fleet.peer_health import PeerHealth
from ...fleet.peers import PeerRecord, Peers, PeerServer
from ...fleet.quotas import FleetQuotas
from ...ids import DataCentre, HostName, Workspace, WriterId
from ...storage.keyed import KeyedRecord
from ...wire.links import Send
from ...wire.messages import Reply, Request, TakeTokensRequest
from ...workspaces import limiter as limiter_module
from ...workspaces.access import Caller
from ...workspaces.directory import RateLimit
from ...workspaces.limiter import Limiter
from ...workspaces.quotas import Refusal
from ...workspaces.shares import ShareOwners
from ...workspaces.sliding_window import QuotaBounds
from ...workspaces.token_cache import Token, TokenCache
from ..hold_up import hold_up
from .delegates_tests import FailingStoreClient

WORKSPACE = Workspace("w")
LIMIT = RateLimit(rate=2.0, burst=0.0)
BOUNDS = QuotaBounds(window=5.0, overage=0.0, slack=14.0)
ALLOWED = 24
CALLER = Caller(workspace=WORKSPACE, limit=LIMIT)
CENTRES = [DataCentre("dc0"), DataCentre("dc1"), DataCentre("dc2")]
START = 100.0


class _Host:
    """One host with its shares of the limit and its tokens."""

    def __init__(self, *, number: int, context: zmq.asyncio.Context) -> None:
        self.name = HostName(f"h{number}")
        self.data_centre = CENTRES[number % len(CENTRES)]
        self.server = PeerServer(
            context=context, address="127.0.0.1:*", client=FailingStoreClient()
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
            hosts=self.peers.hosts_by_centre, version=lambda: self.peers.version
        )
        self.limiter = Limiter(
            bounds=BOUNDS,
            limits=lambda name: LIMIT,
            owns=lambda name, share: self.owners.of(name)[share] == self.name,
            active=lambda: True,
            term=lambda: 1,
            since=lambda name, share: 0.0,
            clock=lambda: self.now,
            rng=random.Random(1),
        )
        self.quotas = FleetQuotas(
            own=self.name,
            peers=self.peers,
            peer_health=PeerHealth(),
            owners=self.owners,
            limiter=self.limiter,
            token_cache=TokenCache(clock=lambda: self.now),
        )
        self.server.fallback = self.answer
        self.asked = 0

    async def answer(self, request: Request, send: Send) -> Reply:
        """Handle a request for tokens."""
        assert isinstance(request, TakeTokensRequest)
        self.asked += 1
        return self.quotas.answer(request)

    async def take(self) -> Token | Refusal:
        """Take a token for a request of a running program."""
        return await self.quotas.take(CALLER, begins=False)


class FleetQuotasTests(unittest.IsolatedAsyncioTestCase):
    """Test a limit shared by six hosts in three data centres."""

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
                host.peers.apply(KeyedRecord(key=other.name, value=value))
        self.serving = [asyncio.create_task(other.server.run()) for other in self.hosts]

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
        return [other for name in names for other in self.hosts if other.name == name]

    async def test_hosts_agree_on_owners(self) -> None:
        """Choose the same three owners on every host, one in each data centre."""
        result = {host.owners.of(WORKSPACE) for host in self.hosts}
        self.assertEqual(len(result), 1)
        self.assertEqual({other.data_centre for other in self.owners()}, set(CENTRES))

    async def test_owner_is_asked_while_held_up(self) -> None:
        """Take a token from the owner although the event loop is blocked.

        The owner used to count as failed, so that another one was asked.
        """
        host = next(host for host in self.hosts if host not in self.owners())
        hold_up(0.3)
        self.assertIsInstance(await host.take(), Token)
        self.assertEqual(sum(owner.asked for owner in self.owners()), 1)

    async def test_total_stays_within_limit(self) -> None:
        """Serve most of the limit and never more, through one host or all."""
        for hosts in (self.hosts[:1], self.hosts):
            for host in self.hosts:
                host.now += 60.0
            served = 0
            for _ in range(2 * ALLOWED):
                for host in hosts:
                    served += not isinstance(await host.take(), Refusal)
            self.assertLessEqual(served, ALLOWED)
            self.assertGreaterEqual(served, ALLOWED // 2)

    async def test_near_owner_is_asked_first(self) -> None:
        """Send no request to other data centres while the near owner has tokens."""
        host = self.hosts[0]
        self.assertIsInstance(await host.take(), Token)
        asked = [other for other in self.hosts if other.asked]
        self.assertTrue(all(other.data_centre == host.data_centre for other in asked))

    async def test_lost_owner(self) -> None:
        """Use the other shares if an owner is lost."""
        lost = self.owners()[0]
        near = [other for other in self.hosts if other.data_centre == lost.data_centre]
        host = next(other for other in near if other is not lost)
        lost.server.close()
        self.assertIsInstance(await host.take(), Token)

    async def test_no_owner_answers(self) -> None:
        """Refuse because the limit is unknown if no owner answers."""
        for host in self.hosts:
            host.server.close()
        requester = next(other for other in self.hosts if other not in self.owners())
        result = await requester.take()
        assert isinstance(result, Refusal)
        self.assertFalse(result.kept)
        self.assertGreater(result.wait, 0)

    async def test_refusal_is_cached(self) -> None:
        """Cache a refusal instead of asking the owners for each request."""
        host = self.hosts[0]
        while not isinstance(result := await host.take(), Refusal):
            host.now += 0.0001
        self.assertGreater(result.wait, 0)
        before = sum(other.asked for other in self.hosts)
        for _ in range(50):
            self.assertIsInstance(await host.take(), Refusal)
        self.assertEqual(sum(other.asked for other in self.hosts), before)

    async def test_retry_after_advertised_wait(self) -> None:
        """Serve a caller that retries after the advertised wait."""
        host = self.hosts[0]
        with mock.patch.object(limiter_module, "REFUSED_SPAN", 0.0):
            while not isinstance(result := await host.take(), Refusal):
                pass
            for other in self.hosts:
                other.now += result.wait + 0.001
            self.assertIsInstance(await host.take(), Token)
