"""Test the choice of targets for programs that owners place."""

from __future__ import annotations

import asyncio
import random
import unittest
from unittest import mock

from ...fleet.exposures import ExposureTracker
from ...fleet.placement_service import PlacementService
from ...ids import (
    AttemptId,
    DataCentre,
    HostName,
    InstanceId,
    Offset,
    ProgramId,
    ServiceName,
    SessionId,
)
from ...ingress.attempts import MIN_WAITED_FRACTION, Attempts
from ...ingress.calls import RequestInfo
from ...ingress.dispatcher import ENGINES_LIFE, Dispatcher
from ...policies.engines import NearestFree, PrefixIndex, PrefixPlacement
from ...policies.health import TargetHealth
from ...routing.routes import (
    ClientLimits,
    EngineTraits,
    Route,
    RouteKind,
    RouteTable,
    Service,
    ServiceShare,
)
from ...routing.targets import TargetEntry, Targets
from ...workspaces.access import Access, Caller

HERE = DataCentre("here")
FIRST = ServiceName("first")
SECOND = ServiceName("second")
TOOLS = ServiceName("tools")
CALLER = Caller(workspace=None)


def entry(
    name: str, service: ServiceName = FIRST, *, draining: bool = False, born: int = 0
) -> TargetEntry:
    """Return a registered target."""
    return TargetEntry(
        instance=InstanceId(name),
        service=service,
        host="127.0.0.1",
        port=1,
        data_centre=HERE,
        slots=8,
        draining=draining,
        born=born,
    )


def request(program: str) -> RequestInfo:
    """Return the metadata of a program's request."""
    return RequestInfo(
        attempt=AttemptId("a"),
        host="site.example",
        path="/",
        deadline=None,
        program=ProgramId(program),
        session=SessionId("s"),
        program_deadline=None,
        budget=None,
        prompt_tokens=10,
        most_tokens=100,
        expected_tokens=None,
        previous=None,
        prefix=(),
    )


def route(*weights: float, sticky: bool = True) -> Route:
    """Return a route to one or two services with weights."""
    return Route(
        name="r",
        host="site.example",
        prefix="/",
        kind=RouteKind.STREAM,
        services=tuple(
            ServiceShare(service=service, weight=weight)
            for service, weight in zip((FIRST, SECOND), weights, strict=False)
        ),
        timeout=1.0,
        latency_target=0.2,
        sticky=sticky,
    )


class DispatcherTests(unittest.IsolatedAsyncioTestCase):
    """Test a dispatcher with two services of engines on a manual clock."""

    async def asyncSetUp(self) -> None:
        """Register engines of two services and a target without an engine."""
        self.now = 100.0
        loop = asyncio.get_running_loop()
        patched = mock.patch.object(loop, "time", lambda: self.now)
        patched.start()
        self.addCleanup(patched.stop)
        self.targets = Targets(clock=lambda: self.now)
        self.dispatcher = self.new_dispatcher()
        for number in range(4):
            self.targets.put(entry(f"i-{number}"), Offset(1))
            self.targets.put(entry(f"j-{number}", SECOND), Offset(1))
        self.targets.put(entry("t", TOOLS), Offset(1))

    def new_dispatcher(self) -> Dispatcher:
        """Return a dispatcher for the targets."""
        rng = random.Random(1)
        index = PrefixIndex()
        dispatcher = Dispatcher(
            codec=mock.Mock(),
            data_centre=HERE,
            targets=self.targets,
            engine_placement=PrefixPlacement(prefix_index=index, rng=rng),
            prefix_index=index,
            service_placement=NearestFree(rng=rng),
            health=TargetHealth(own=HostName("own")),
            exposures=ExposureTracker(own=HostName("here")),
            access=Access(limit=None),
            rng=rng,
        )
        traits = EngineTraits(slots=8, cache_tokens=1000, event_tokens=10)
        services = [
            Service(name=FIRST, max_connections=10, engine=traits),
            Service(name=SECOND, max_connections=10, engine=traits),
            Service(name=TOOLS, max_connections=10),
        ]
        dispatcher.routes = RouteTable(
            version=1, routes=[], services=services, limits=ClientLimits()
        )
        return dispatcher

    def placements(self, *, active: bool, uneven: bool = False) -> mock.Mock:
        """Return placements that are active or not."""
        fake = mock.Mock(spec=PlacementService)
        fake.active, fake.uneven = active, uneven
        return fake

    def names(self, service: ServiceName = FIRST) -> list[str]:
        """Return the engines that take programs."""
        return [listed.instance for listed in self.dispatcher.engines(service)]

    async def test_nothing_changes_while_inactive(self) -> None:
        """Choose the same targets as without placements while engines are even."""
        plain, other = self.new_dispatcher(), self.new_dispatcher()
        other.placements = self.placements(active=False)
        for number in range(50):
            info = request(f"p{number}")
            self.assertIsNone(other.demand(route(1.0), info, CALLER))
            expected = plain.choose(route(1.0), info, set())
            self.assertEqual(other.choose(route(1.0), info, set()), expected)

    async def test_only_sticky_routes(self) -> None:
        """Place no requests of routes that are not sticky."""
        self.dispatcher.placements = self.placements(active=True)
        info = request("p")
        self.assertIsNone(
            self.dispatcher.demand(route(1.0, sticky=False), info, CALLER)
        )
        self.assertIsNotNone(self.dispatcher.demand(route(1.0), info, CALLER))

    async def test_program_keeps_its_service(self) -> None:
        """Ask for the same service with each turn, in proportion to the weights.

        A program that changed its service would change its engine as well.
        """
        self.dispatcher.placements = self.placements(active=True)
        weighted = route(3.0, 1.0)
        counts = {FIRST: 0, SECOND: 0}
        for number in range(400):
            info = request(f"p{number}")
            wanted = [self.dispatcher.demand(weighted, info, CALLER) for _ in range(3)]
            services = {demand.service for demand in wanted if demand is not None}
            self.assertEqual(len(services), 1)
            counts[services.pop()] += 1
        self.assertAlmostEqual(counts[FIRST] / 400, 0.75, delta=0.08)

    async def test_home_decides_the_service(self) -> None:
        """Send each turn to its home engine, whatever service a draw would give."""
        weighted = route(1.0, 1.0)
        for home in (InstanceId("i-2"), InstanceId("j-3")):
            for number in range(20):
                chosen, why = self.dispatcher.choose(
                    weighted, request(f"p{number}"), set(), home
                )
                assert chosen is not None
                self.assertEqual((chosen.instance, why), (home, "assigned"))

    async def test_home_that_left_or_refused(self) -> None:
        """Choose another engine if the home has left or was tried."""
        for home, tried in (("gone", set()), ("i-1", {InstanceId("i-1")})):
            chosen, _ = self.dispatcher.choose(
                route(1.0), request("p"), tried, InstanceId(home)
            )
            assert chosen is not None
            self.assertNotEqual(chosen.instance, home)

    async def test_engines_are_listed_anew(self) -> None:
        """Keep the list of engines for a moment, but not beyond a change of targets.

        Each turn asks for it. An engine that drains must get no program.
        """
        self.assertEqual(len(self.names()), 4)
        with mock.patch.object(
            self.targets, "of", side_effect=AssertionError("listed again")
        ):
            self.assertEqual(len(self.names()), 4)
        self.targets.put(entry("i-1", draining=True), Offset(2))
        self.assertNotIn("i-1", self.names())
        self.targets.remove(InstanceId("i-2"))
        self.assertNotIn("i-2", self.names())
        self.dispatcher.load.failure_rate = (  # type: ignore[method-assign]
            lambda instance: 1.0 if instance == "i-3" else 0.0
        )
        self.now += ENGINES_LIFE
        self.assertEqual(self.names(), ["i-0"])
        self.assertEqual(self.names(TOOLS), [])

    async def test_service_of_engines_only(self) -> None:
        """Tell the service of engines, but not of other or unknown targets."""
        self.assertEqual(self.dispatcher.service_of(InstanceId("i-1")), FIRST)
        for name in ("t", "gone"):
            self.assertIsNone(self.dispatcher.service_of(InstanceId(name)))

    async def test_engine_that_left(self) -> None:
        """Forget the pace of an engine that left."""
        placements = self.placements(active=True)
        self.dispatcher.placements = placements
        self.dispatcher.forget(InstanceId("i-1"))
        placements.forget.assert_called_once_with("i-1")


class PaceTests(unittest.IsolatedAsyncioTestCase):
    """Test which streams tell the pace of an engine."""

    async def asyncSetUp(self) -> None:
        """Prepare a stream on a manual clock."""
        self.now = 100.0
        loop = asyncio.get_running_loop()
        patched = mock.patch.object(loop, "time", lambda: self.now)
        patched.start()
        self.addCleanup(patched.stop)
        self.dispatcher = mock.Mock()
        self.dispatcher.placements = mock.Mock(spec=PlacementService)
        self.attempts = Attempts(
            message=mock.Mock(),
            info=request("p"),
            caller=CALLER,
            request_token=mock.Mock(),
            route=route(1.0),
            deadline=self.now + 10.0,
            dispatcher=self.dispatcher,
            held=mock.Mock(),
        )

    async def run_stream(self, *, events: int, pace: float, forwarding: float) -> None:
        """Receive events at a pace and forward each in some seconds."""
        response = mock.Mock()

        async def read() -> bytes:
            self.now += pace
            return b"event"

        response.connection.read_body_part = read
        for _ in range(events):
            await self.attempts.next_part(response)
            self.attempts.event_received()
            self.now += forwarding
        self.attempts.close(response, complete=False)

    async def test_pace_of_a_stream(self) -> None:
        """Record the time between the first and the last event."""
        await self.run_stream(events=5, pace=0.1, forwarding=0.01)
        _, seconds, events = self.dispatcher.placements.record_events.call_args.args
        self.assertAlmostEqual(seconds, 4 * 0.11)
        self.assertEqual(events, 4)

    async def test_slow_caller(self) -> None:
        """Learn nothing from a stream that mostly waited for its caller.

        Callers that read slowly would make even engines look uneven.
        """
        slow = 0.1 / MIN_WAITED_FRACTION
        await self.run_stream(events=5, pace=0.1, forwarding=slow)
        self.dispatcher.placements.record_events.assert_not_called()

    async def test_single_event(self) -> None:
        """Learn nothing from one event."""
        await self.run_stream(events=1, pace=0.1, forwarding=0.0)
        self.dispatcher.placements.record_events.assert_not_called()
