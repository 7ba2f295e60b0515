"""Test that few targets end under a request that ends them."""

from __future__ import annotations

import asyncio
from typing import Any

from .deployment import TOOLS
from .ending_targets import GATEWAYS, EndingTargetsTestCase


class LogTests(EndingTargetsTestCase):
    """Read what the logs and metrics tell of ends under a request."""

    async def test_ends_in_the_log(self) -> None:
        """Find the caller's requests by the line of a target's end."""
        await self.add_targets(TOOLS)
        gateways = await self.add_gateways(*GATEWAYS)
        await self.send_repeatedly("/once/a", gateways, sends=2)
        lines = [line for gateway in gateways for line in gateway.log()]
        requests = [line for line in lines if "request_key" in line and "id" in line]
        self.assertEqual(len({line["request_key"] for line in requests}), 1)
        self.assertEqual([line["sends"] for line in requests], [1, 1])
        ends = [line for line in lines if line["event"] == "target_end"]
        self.assertEqual({line["target"] for line in ends}, set(self.ended))
        self.assertEqual(ends[0]["request_key"], requests[0]["request_key"])
        self.assertEqual(ends[0]["evidence"], "its registration was removed")
        metrics = gateways[0].daemon.metrics_text().decode()
        self.assertIn("sequoiaarch_target_ends_total", metrics)
        self.assertIn('sequoiaarch_state{name="requests_exposed"} 1', metrics)

    async def test_answered_requests_have_no_key(self) -> None:
        """Leave the key out of the line of a request that a target answered."""
        await self.add_targets(TOOLS, 1)
        [gateway] = await self.add_gateways("a")
        await self.send("/once/a", gateway, body=b"harmless")
        [line] = await self.request_lines(gateway)
        self.assertNotIn("request_key", line)

    async def request_lines(self, gateway: Any) -> list[dict[str, Any]]:
        """Return the request lines of a gateway, once there are some."""
        async with asyncio.timeout(10.0):
            while not (lines := gateway.log()):
                await asyncio.sleep(0.02)
        return [line for line in lines if line["event"] == "request"]
