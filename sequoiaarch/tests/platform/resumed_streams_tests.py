"""Test that streams go on at the software version that began them."""

from __future__ import annotations

import asyncio

from .versioned_deployment import Stream, VersionedDeploymentTestCase

STREAMS = 24


class RequestLogTests(VersionedDeploymentTestCase):
    """Read what the request log tells of a resumed stream."""

    async def test_resumed_attempt_in_the_log(self) -> None:
        """Log which attempt was resumed, behind which event, and the version."""
        await self.add_engine("i-1", "v1")
        [gateway] = await self.add_gateways("a")
        stream = await self.begin(gateway)
        await self.resume(gateway, stream)
        async with asyncio.timeout(10.0):
            while not (lines := self.resumed_lines(gateway.log())):
                await asyncio.sleep(0.02)
        self.assertEqual(lines[0]["resumes"], stream.first)
        self.assertEqual(lines[0]["last_event"], "2")
        self.assertEqual(lines[0]["service"], "engines")
        self.assertEqual(lines[0]["version"], "v1")

    def resumed_lines(self, lines: list[dict[str, object]]) -> list[dict[str, object]]:
        """Return the lines of requests that resume a stream."""
        return [line for line in lines if "resumes" in line]


class TwoVersionsTests(VersionedDeploymentTestCase):
    """Break off and resume streams while two versions of a service run."""

    async def asyncSetUp(self) -> None:
        """Start two engines of the first version."""
        await super().asyncSetUp()
        for name in ("i-1", "i-2"):
            await self.add_engine(name, "v1")

    async def add_second_version(self) -> None:
        """Start two engines of the second version."""
        for name in ("i-3", "i-4"):
            await self.add_engine(name, "v1.1")
        await self.wait_for_targets(4)

    def check_resumed(self, streams: list[Stream]) -> None:
        """Check that no stream is of two versions, and that all went on."""
        mixed = [stream for stream in streams if stream.mixed]
        self.assertEqual(len(mixed), 0, f"of {len(streams)} streams")
        whole = [stream for stream in streams if stream.whole]
        self.assertEqual(len(whole), len(streams), streams)

    async def test_resumed_at_same_gateway(self) -> None:
        """Go on at the version that began a stream, at the gateway that began it."""
        [gateway] = await self.add_gateways("a")
        await self.add_second_version()
        streams = [await self.begin(gateway) for _ in range(STREAMS)]
        for stream in streams:
            await self.resume(gateway, stream)
        self.check_resumed(streams)
        self.assertEqual({s.versions[0] for s in streams}, {"v1", "v1.1"})

    async def test_resumed_at_another_gateway(self) -> None:
        """Go on at the version that began a stream, at a gateway that did not."""
        first, second = await self.add_gateways("a", "b")
        await self.add_second_version()
        streams = [await self.begin(first) for _ in range(STREAMS)]
        for stream in streams:
            await self.resume(second, stream)
        self.check_resumed(streams)

    async def test_resumed_after_first_gateway_was_lost(self) -> None:
        """Go on at the version that began a stream when its gateway is killed."""
        first, *others = await self.add_gateways("a", "b", "c", "d", "e")
        await self.add_second_version()
        streams = [await self.begin(first) for _ in range(STREAMS)]
        await self.kill("a")
        for number, stream in enumerate(streams):
            await self.resume(others[number % len(others)], stream)
        self.check_resumed(streams)

    async def test_version_added_before_resumption(self) -> None:
        """Keep streams at their version if another one starts after they began."""
        first, second = await self.add_gateways("a", "b")
        streams = [await self.begin(first) for _ in range(STREAMS)]
        await self.add_second_version()
        for stream in streams:
            await self.resume(second, stream)
        self.check_resumed(streams)

    async def test_broken_off_twice(self) -> None:
        """Keep streams at their version over several attempts at several gateways."""
        gateways = await self.add_gateways("a", "b", "c")
        await self.add_second_version()
        streams = [await self.begin(gateways[0], events=1) for _ in range(STREAMS)]
        for gateway, events in ((gateways[1], 2), (gateways[2], 2)):
            for stream in streams:
                await self.resume(gateway, stream, events=events)
        self.check_resumed(streams)
