"""Test that streams go on at the software version that began them."""

from __future__ import annotations

import asyncio

from .versioned_deployment import VersionedDeploymentTestCase


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
