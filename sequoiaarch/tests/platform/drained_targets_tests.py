"""Test that leaving targets get no requests beyond the bound, whatever happened."""

from __future__ import annotations

import asyncio
import contextlib
from collections import defaultdict
from collections.abc import Awaitable, Callable
from unittest import mock

from ...errors import Failure
from ...http1.client import ClientConnection
from ...ingress import daemon as daemon_module
from ...ingress.daemon import IngressDaemon
from ...ingress.pool import ConnectionPool
from ...platform.store import PlatformLog
from ...routing import follower as follower_module
from ...routing.follower import boottime_clock
from ...routing.targets import TargetEntry
from ...standins.target import TargetExchange
from ...storage.calls import StoreCall, StoreReply, unavailable
from ...storage.direct import DirectClient
from ...storage.hedged import HedgedClient
from ...storage.relayed import RelayedClient
from .deployment import LOOPBACK, TOOLS, DeploymentTestCase, tool_answer
from .http_store import HttpStore
from .soak.proxy import FaultProxy, ProxyFault

# Seconds from the report of a target that it leaves, after which it gets no requests.
MAX_DRAIN_SECONDS = 2.0
# Seconds after the end of a disruption from which on a gateway counts as in touch.
CONTACT_SECONDS = 3.0
HEARTBEAT_SECONDS = 1.2
CALL_INTERVAL = 0.05
CALLS = 20
SLEPT_SECONDS = 10.0
# Peers that are asked one after the other to relay a call.
PEERS_ASKED = 3
PEER_SECONDS = 0.5
STAYS, DRAINS, REMOVED = "i-stays", "i-drains", "i-removed"


async def silent_peers(call: StoreCall) -> StoreReply | Failure:
    """Fail as peers do whose links have fallen silent."""
    seconds = call.timeout if call.waits else PEER_SECONDS
    await asyncio.sleep(PEERS_ASKED * seconds)
    return unavailable(call, "peers are silent")


class WokenGatewayTests(DeploymentTestCase):
    """Send requests through a gateway whose list of targets has become old."""

    async def test_sends_before_it_reads(self) -> None:
        """A gateway that wakes up sends by the list of before."""
        for name in (STAYS, DRAINS):
            await self.add_target(name, TOOLS, tool_answer)
        daemon = await self.add_daemon("one")
        await self.register(DRAINS, TOOLS, "draining")
        with contextlib.ExitStack() as patches:
            for module in (daemon_module, follower_module):
                slept = mock.patch.object(
                    module, "boottime_clock", lambda: boottime_clock() + SLEPT_SECONDS
                )
                patches.enter_context(slept)
            answers = await asyncio.gather(
                *(self.call(daemon, "/once/a") for _ in range(CALLS))
            )
        self.assertEqual({answer.status for answer in answers}, {200})
        self.assertEqual(len(self.targets[STAYS].exchanges), CALLS)

    async def test_outage(self) -> None:
        """Requests are refused for an old list while nobody can read a newer one."""
        await self.add_target(STAYS, TOOLS, tool_answer)
        daemon = await self.add_daemon("one")
        self.clients["one"].faults.down = True
        await asyncio.sleep(MAX_DRAIN_SECONDS + 0.5)
        answer = await self.call(daemon, "/once/a")
        self.assertEqual(answer.status, 200)


class LeavingTargetTests(DeploymentTestCase):
    """Run a gateway that reads the store over HTTP, with targets that leave.

    One target reports that it drains, the registration of another is removed; both
    serve on.
    """

    async def asyncSetUp(self) -> None:
        """Start the store behind a proxy, three targets and the gateway."""
        await super().asyncSetUp()
        self.arrivals: dict[str, list[float]] = defaultdict(list)
        self.left_at: dict[str, float] = {}
        self.start_times: dict[str, int] = {}
        http_store = HttpStore(store=self.store)
        await http_store.server.start(LOOPBACK, 0)
        self.proxy = FaultProxy(target=(LOOPBACK, http_store.server.port))
        await self.proxy.start()
        self.addAsyncCleanup(self.proxy.stop)
        self.addCleanup(http_store.server.stop_accepting)
        self.addCleanup(http_store.server.abort)
        for name in (STAYS, DRAINS, REMOVED):
            await self.add_target(name, TOOLS, self.recorded(name))
        self.daemon = await self.add_gateway()
        self.background = [
            asyncio.create_task(self.send_heartbeats()),
            asyncio.create_task(self.send_requests()),
        ]
        self.addAsyncCleanup(self.stop_background)
        await asyncio.sleep(1.0)

    async def add_gateway(self) -> IngressDaemon:
        """Start a gateway whose peers do not answer."""
        direct = HedgedClient(client=DirectClient(address=(LOOPBACK, self.proxy.port)))
        client = RelayedClient(
            direct=direct, relay=silent_peers, relay_delay=lambda: direct.relay_delay
        )
        return await self.add_daemon("one", keyed_log=PlatformLog(client=client))

    def recorded(self, name: str) -> Callable[[TargetExchange], Awaitable[None]]:
        """Return a behaviour that records the time of each request."""

        async def answer(exchange: TargetExchange) -> None:
            self.arrivals[name].append(asyncio.get_running_loop().time())
            await tool_answer(exchange)

        return answer

    async def send_heartbeats(self) -> None:
        """Write the registrations of the targets that have not been removed."""
        while True:
            for name in (STAYS, DRAINS, REMOVED):
                if name != REMOVED or name not in self.left_at:
                    await self.write_registration(name)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def write_registration(self, name: str) -> None:
        """Write the registration of a target."""
        extra = {"born": self.start_times[name]} if name in self.start_times else {}
        state = "draining" if name in self.left_at else "ready"
        await self.register(name, TOOLS, state, **extra)

    async def send_requests(self) -> None:
        """Send a request at each interval, whatever happens to the earlier ones."""
        async with asyncio.TaskGroup() as group:
            while True:
                group.create_task(self.call(self.daemon, "/once/a"))
                await asyncio.sleep(CALL_INTERVAL)

    async def stop_background(self) -> None:
        """Stop the heartbeats and requests."""
        for task in self.background:
            task.cancel()
        await asyncio.gather(*self.background, return_exceptions=True)

    async def leave(self) -> None:
        """Let one target report that it drains, and remove another's registration."""
        self.left_at[DRAINS] = self.left_at[REMOVED] = asyncio.get_running_loop().time()
        await self.write_registration(DRAINS)
        await self.store.put("keyed.servers", REMOVED, b"")

    async def check_late_requests(self, disturbed_until: float = 0.0) -> None:
        """Check that no request came too late, once all effects are over."""
        now = asyncio.get_running_loop().time()
        last = max(*self.left_at.values(), disturbed_until + CONTACT_SECONDS)
        await asyncio.sleep(last + MAX_DRAIN_SECONDS + 1.0 - now)
        for name, left_at in self.left_at.items():
            judged_from = max(
                left_at + MAX_DRAIN_SECONDS, disturbed_until + CONTACT_SECONDS
            )
            late = [at - left_at for at in self.arrivals[name] if at > judged_from]
            self.assertEqual(late, [], f"{len(late)} requests reached {name} late")
        self.assertGreater(self.arrivals[STAYS][-1], last)

    async def test_leaves_without_disturbance(self) -> None:
        """Send nothing to targets that leave while all works."""
        await self.leave()
        await self.check_late_requests()

    async def test_leaves_while_connections_are_silent(self) -> None:
        """A list of targets that is read on a silent connection gets too old."""
        self.proxy.silence()
        disturbed_until = asyncio.get_running_loop().time()
        await asyncio.sleep(0.1)
        await self.leave()
        await self.check_late_requests(disturbed_until)

    async def test_removed_while_one_read_is_lost(self) -> None:
        """A removal counts as lapsed because one gateway could not read it."""
        await self.lose_reads(0.3, leaves_after=0.5)

    async def test_removed_while_reads_are_lost(self) -> None:
        """A removal counts as lapsed because one gateway could not read for seconds."""
        await self.lose_reads(2.0, leaves_after=1.0)

    async def lose_reads(self, seconds: float, *, leaves_after: float) -> None:
        """Let the targets leave while or after this gateway's reads get no answer."""
        started_at = asyncio.get_running_loop().time()
        self.proxy.silence()
        self.proxy.set_fault(ProxyFault.SILENT)
        leaving = asyncio.create_task(self.leave_after(leaves_after))
        await asyncio.sleep(seconds)
        # Connections that were opened meanwhile stay silent.
        self.proxy.silence()
        self.proxy.set_fault(ProxyFault.NONE)
        await leaving
        await self.check_late_requests(started_at + seconds)

    async def leave_after(self, seconds: float) -> None:
        """Let the targets leave after some time."""
        await asyncio.sleep(seconds)
        await self.leave()

    async def test_restarts_with_an_earlier_clock(self) -> None:
        """A target that starts again with an earlier clock is used until it ends."""
        self.start_times = dict.fromkeys((DRAINS, REMOVED), 2_000)
        for name in self.start_times:
            await self.write_registration(name)
        await asyncio.sleep(0.5)
        self.start_times = dict.fromkeys(self.start_times, 1_000)
        for name in self.start_times:
            await self.write_registration(name)
        await asyncio.sleep(0.5)
        await self.leave()
        await self.check_late_requests()

    async def test_leaves_between_choice_and_send(self) -> None:
        """A target leaves while a request that was sent there waits for something."""
        held = asyncio.Event()
        acquire = ConnectionPool.acquire

        async def acquire_late(
            pool: ConnectionPool, target: TargetEntry
        ) -> ClientConnection:
            connection = await acquire(pool, target)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(MAX_DRAIN_SECONDS + 0.5):
                    await held.wait()
            return connection

        with mock.patch.object(ConnectionPool, "acquire", acquire_late):
            await asyncio.sleep(0.2)
            await self.leave()
            await asyncio.sleep(MAX_DRAIN_SECONDS + 0.2)
            held.set()
            await self.check_late_requests()
