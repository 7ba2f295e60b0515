"""Test gateways whose neighbours are lost for good, cut off or taken as lost."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import msgspec

from ...fleet.peers import TOPIC, PeerRecord
from ...ids import DataCentre, HostName, Workspace
from ...storage.keyed import Partition
from ...workspaces.shares import ShareOwners
from .deployment import ROUTES, TOOLS, Answer, config, tenant, tool_answer
from .versioned_deployment import GatewayProcess, VersionedDeploymentTestCase

HOSTS = ("a", "b", "c", "d")
LOST = ("a", "b")
# Seconds for which a process serves its shares without reading the registrations.
LEASE = 1.5
# Three probes, a lease, and a probe and a read again: the time within which the shares
# of a lost host have another owner. Seconds.
TAKEOVER = 3.0 + 1.05 * LEASE + 2.0
PARTITION = Partition(topic=TOPIC, number=0)


def workspace_of(*owners: str) -> Workspace:
    """Return a workspace whose shares belong to these hosts alone."""
    names = {DataCentre("here"): [HostName(host) for host in HOSTS]}
    shares = ShareOwners(hosts=lambda: names, version=lambda: 0)
    return next(
        workspace
        for workspace in map(Workspace, map(str, range(10_000)))
        if set(shares.of(workspace)) == set(owners)
    )


class LostHostsTests(VersionedDeploymentTestCase):
    """Run four gateways of one data centre."""

    async def asyncSetUp(self) -> None:
        """Start the gateways, and a workspace whose limit two of them own."""
        await super().asyncSetUp()
        self.workspace = workspace_of(*LOST)
        tenants = [
            tenant(self.workspace, "key", ratePerS=50, burst=50),
            tenant("free", "free-key"),
        ]
        await self.store.put("keyed.op", "config", config(2, ROUTES, tenants=tenants))
        await self.add_target("tool", TOOLS, tool_answer)
        await self.add_gateways(*HOSTS, key_age_limit=LEASE)
        await self.wait_until(lambda: all(map(self.is_active, self.gateways.values())))

    def is_active(self, gateway: GatewayProcess) -> bool:
        """Return whether a gateway serves its shares of limits."""
        fleet = gateway.daemon._fleet
        assert fleet is not None
        return fleet.host_lease.active

    async def wait_until(
        self, condition: Callable[[], bool], seconds: float = TAKEOVER + LEASE
    ) -> None:
        """Wait for a condition."""
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.02)

    def registrations(self) -> dict[str, PeerRecord]:
        """Return the newest registration of each host."""
        return {
            record.key: msgspec.json.decode(record.value, type=PeerRecord)
            for record in self.store.newest(PARTITION).records
        }

    def was_suspected(self, host: str) -> bool:
        """Return whether a suspicion of a host was ever written."""
        return any(
            record.key == host and b'"author":"' in record.value
            for record in self.store.records(but="keyed.servers")
        )

    async def call_tool(self, name: str) -> Answer:
        """Send a request of the limited workspace to a gateway."""
        daemon = self.gateways[name].daemon
        return await self.call(
            daemon, "/safe/a", Api_Key="key", X_Program_Id="p", X_Deadline_Ms="1000"
        )

    async def wait_served(self, name: str, seconds: float) -> list[Answer]:
        """Repeat a request until it is served; return the refusals."""
        refused = []
        deadline = time.monotonic() + seconds
        while (answer := await self.call_tool(name)).status != 200:
            refused.append(answer)
            self.assertLess(time.monotonic(), deadline, answer.body)
            await asyncio.sleep(0.1)
        return refused

    async def test_all_owners_of_a_limit_are_lost(self) -> None:
        """Guards against a workspace that is refused for good after losses."""
        for name in LOST:
            await self.kill(name)
        for name in ("c", "d"):
            refused = await self.wait_served(name, TAKEOVER)
            self.assertLessEqual({answer.status for answer in refused}, {429, 503})
        await self.wait_until(lambda: self.registrations().keys() == {"c", "d"})

    async def test_time_to_come_back(self) -> None:
        """Guards against callers that are told to come back too early."""
        for name in LOST:
            await self.kill(name)
        await self.wait_until(
            lambda: all(self.registrations()[name].suspicion for name in LOST)
        )
        await asyncio.sleep(0.2)
        refused = await self.call_tool("c")
        self.assertEqual(refused.status, 503)
        self.assertGreater(float(refused.headers["retry-after"]), LEASE / 2)
        await asyncio.sleep(float(refused.headers["retry-after"]))
        served = await self.call_tool("c")
        self.assertEqual(served.status, 200, served.body)

    async def test_all_but_one_are_lost(self) -> None:
        """Guards against a last host that takes itself as cut off for good."""
        for name in ("a", "b", "c"):
            await self.kill(name)
        await self.wait_served("d", 2 * TAKEOVER)

    async def test_host_is_reached_by_nobody(self) -> None:
        """Guards against the removal of a host that reaches the store."""
        writer = self.registrations()["a"].writer
        self.gateways["a"].server.close()
        # A live host refutes a suspicion before it can be seen as the newest record.
        await self.wait_until(lambda: self.was_suspected("a"))
        await asyncio.sleep(2 * LEASE)
        self.assertEqual(self.registrations()["a"].writer, writer)
        self.assertTrue(self.is_active(self.gateways["a"]))

    async def test_removed_host_comes_back(self) -> None:
        """Guards against a host that was cut off and never owns shares again."""
        gateway = self.gateways["a"]
        self.clients["a"].faults.down = True
        gateway.server.close()
        await self.wait_until(lambda: "a" not in self.registrations())
        self.assertFalse(self.is_active(gateway))
        self.clients["a"].faults.down = False
        await self.wait_until(lambda: "a" in self.registrations())
        await self.wait_until(lambda: self.is_active(gateway))
        await self.wait_until(lambda: self.registrations()["a"].settled)

    async def test_host_without_store_answers_peers(self) -> None:
        """Guards against the removal of a host that only the store does not reach."""
        self.clients["a"].faults.down = True
        await asyncio.sleep(TAKEOVER)
        self.assertIsNone(self.registrations()["a"].suspicion)

    async def test_registration_of_earlier_process_is_late(self) -> None:
        """Guards against a process that stays unregistered behind a late record."""
        own = self.registrations()["a"]
        late = msgspec.structs.replace(own, writer="earlier", settled=False)
        await self.store.put(TOPIC, "a", msgspec.json.encode(late))
        await self.wait_until(lambda: self.registrations()["a"].writer == own.writer)
        await self.wait_until(lambda: self.registrations()["a"].settled)

    async def test_stop_without_store(self) -> None:
        """Guards against the registration of a stopped process that stays for good."""
        self.clients["a"].faults.down = True
        await self.gateways["a"].daemon.stop()
        await self.kill("a")
        self.assertIn("a", self.registrations())
        await self.wait_until(lambda: "a" not in self.registrations())
