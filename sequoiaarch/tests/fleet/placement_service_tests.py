"""Test when programs are placed by owners, and what is learned of engines."""

from __future__ import annotations

import asyncio
from unittest import mock

from ...fleet import placement_service as placement_service_module
from ...fleet.placement_service import REPORT_INTERVAL
from ...ids import InstanceId, ServiceName
from ...policies.pace import PaceSample
from ...wire.messages import LoadReported, LoadReportRequest, PlaceProgramRequest
from .placement_host import SERVICE, TEST_TIMEOUT, PlacementHost, PlacementTestCase

EVENTS = 40
FAST = 0.01
SLOW = 0.03
HOLD = 0.5


class ActivationTests(PlacementTestCase):
    """Run three gateways without the setting."""

    always = False

    async def asyncSetUp(self) -> None:
        """Shorten the time for which engines count as uneven."""
        patch = mock.patch.object(placement_service_module, "UNEVEN_HOLD", HOLD)
        patch.start()
        self.addCleanup(patch.stop)
        await super().asyncSetUp()

    def record(self, host: PlacementHost, slow: float) -> None:
        """Record turns at three engines, one of which may be slow."""
        for number, pace in enumerate((FAST, FAST, slow), start=1):
            instance = InstanceId(f"i-{number}")
            host.placements.record_events(instance, pace * EVENTS, EVENTS)
            host.placements.record_gaps(instance, [pace] * EVENTS)

    async def until_active(self, host: PlacementHost, *, active: bool) -> None:
        """Wait until programs are placed by owners, or not any more."""
        async with asyncio.timeout(TEST_TIMEOUT):
            while host.placements.active is not active:
                await asyncio.sleep(0.02)

    def asked(self) -> int:
        """Return how many new messages all gateways got."""
        return sum(
            host.asked(LoadReportRequest) + host.asked(PlaceProgramRequest)
            for host in self.hosts.values()
        )

    async def test_even_engines(self) -> None:
        """Send no new message while engines are even and the setting is missing."""
        host = next(iter(self.hosts.values()))
        for _ in range(5):
            self.record(host, FAST * 1.2)
            await asyncio.sleep(REPORT_INTERVAL)
            self.assertFalse(host.placements.active)
        self.assertEqual(self.asked(), 0)

    async def test_uneven_engines(self) -> None:
        """Report while engines are uneven, and not any more after the hold time."""
        await self.connect()
        host = self.others(self.owner())[0]
        self.record(host, SLOW)
        await self.until_active(host, active=True)
        self.assertGreater(host.placements.slowdowns()[InstanceId("i-3")], 0.0)
        self.record(host, SLOW)
        await asyncio.sleep(2 * REPORT_INTERVAL)
        self.assertGreater(self.asked(), 0)
        for instance in ("i-1", "i-2", "i-3"):
            for each in self.hosts.values():
                each.placements.forget(InstanceId(instance))
        self.record(host, FAST)
        await self.until_active(host, active=False)
        await asyncio.sleep(REPORT_INTERVAL)
        sent = self.asked()
        await asyncio.sleep(3 * REPORT_INTERVAL)
        self.assertEqual(self.asked(), sent)

    async def test_paces_of_owners_hide_no_uneven_engines(self) -> None:
        """Notice uneven engines although an owner returned even paces before."""
        await self.connect()
        host = self.others(self.owner())[0]
        even = {InstanceId(f"i-{number}"): FAST for number in (1, 2, 3)}
        host.placements._record_owner_paces(LoadReported(paces=even))
        self.record(host, SLOW)
        await self.until_active(host, active=True)

    async def test_full_engine_is_not_uneven(self) -> None:
        """Guards against placements by owners where one engine is only full.

        It processes long prompts between most of its events, and is no slower engine.
        """
        host = next(iter(self.hosts.values()))
        full = InstanceId("i-3")
        for _ in range(5):
            self.record(host, FAST)
            gaps = [SLOW, SLOW, FAST] * EVENTS
            host.placements.record_events(full, sum(gaps), len(gaps))
            host.placements.record_gaps(full, gaps)
            await asyncio.sleep(REPORT_INTERVAL)
            self.assertFalse(host.placements.active)

    async def test_only_the_setting_lets_owners_refuse(self) -> None:
        """Guards against refusals by owners where no setting asks for them."""
        host = next(iter(self.hosts.values()))
        self.record(host, SLOW)
        await self.until_active(host, active=True)
        self.assertFalse(host.placements.refuses)

    async def test_services_with_different_models(self) -> None:
        """Compare only engines of one service, as models differ in speed."""
        host = next(iter(self.hosts.values()))
        host.placements._service_of = lambda instance: ServiceName(f"of-{instance}")
        self.record(host, SLOW)
        await asyncio.sleep(2 * REPORT_INTERVAL)
        self.assertFalse(host.placements.active)
        self.assertEqual(set(host.placements.slowdowns().values()), {0.0})

    async def test_first_report_has_recent_events(self) -> None:
        """Report no events from the time before reports were sent.

        Hours of them would hide at the owner how fast an engine is now.
        """
        host = next(iter(self.hosts.values()))
        self.record(host, FAST)
        self.assertTrue(host.placements._samples)
        await asyncio.sleep(2 * REPORT_INTERVAL)
        self.assertFalse(host.placements._samples)


class ForgetTests(PlacementTestCase):
    """Test engines that leave."""

    async def test_engine_that_left(self) -> None:
        """Keep nothing of an engine that left, and let no late event bring it back."""
        host = self.owner()
        gone = InstanceId("i-3")
        for instance in (InstanceId("i-1"), InstanceId("i-2"), gone):
            host.placements.record_events(instance, FAST * EVENTS, EVENTS)
        await asyncio.sleep(2 * REPORT_INTERVAL)
        host.placements.record_events(gone, FAST * EVENTS, EVENTS)
        self.assertIn(gone, host.placements.owner.paces._averages)
        self.engines = [left for left in self.engines if left.instance != gone]
        left = {listed.instance for listed in self.engines}
        host.placements._service_of = lambda name: SERVICE if name in left else None
        host.placements._centre_of = lambda name: host.centre if name in left else None
        host.placements.forget(gone)
        sample = PaceSample(instance=gone, seconds=1.0, events=EVENTS)
        report = LoadReportRequest(host=host.name, programs=[], paces=[sample])
        host.placements.answer_report(report)
        host.placements.record_events(gone, FAST * EVENTS, EVENTS)
        host.placements._record_owner_paces(LoadReported(paces={gone: 0.1}))
        placements = host.placements
        for kept in (
            placements._samples,
            placements._owner_paces,
            placements._paces._averages,
            placements.owner.paces._averages,
        ):
            self.assertNotIn(gone, kept)

    async def test_invalid_paces_of_an_owner(self) -> None:
        """Ignore paces that are not possible."""
        placements = self.owner().placements
        instance = InstanceId("i-1")
        for pace in (-1.0, 0.0, float("inf"), float("nan")):
            placements._record_owner_paces(LoadReported(paces={instance: pace}))
        self.assertFalse(placements._owner_paces)
