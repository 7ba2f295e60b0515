"""Test limits of workspaces on the platform's path."""

from __future__ import annotations

import asyncio
import time

from ...standins.target import TargetExchange
from ...workspaces.sliding_window import QuotaBounds
from .deployment import (
    ENGINES,
    ROUTES,
    TOOLS,
    Answer,
    DeploymentTestCase,
    config,
    not_run,
    stream_answer,
    tenant,
    tool_answer,
)

KEY = "key-limited"
FREE = "key-free"
# A window of 1 s allows 18 requests.
BOUNDS = QuotaBounds(window=1.0, overage=0.0, slack=14.0)
ALLOWED = 18
WORKSPACES = [
    tenant("limited", KEY, ratePerS=2, burst=2),
    tenant("free", FREE),
]


class QuotasTests(DeploymentTestCase):
    """Send more than a limit through one gateway."""

    async def asyncSetUp(self) -> None:
        """Start a gateway with two targets."""
        await super().asyncSetUp()
        self.ran = 0
        document = config(2, ROUTES, tenants=WORKSPACES)
        await self.store.put("keyed.op", "config", document)
        await self.add_target("engine", ENGINES, self.count_stream)
        await self.add_target("tool", TOOLS, self.count_tool)
        self.gateway = await self.add_daemon("a", quota=BOUNDS)
        # A gateway that has just started does not know what ran before.
        await asyncio.sleep(2 * BOUNDS.window)

    async def count_stream(self, exchange: TargetExchange) -> None:
        """Answer with a stream."""
        self.ran += 1
        await stream_answer(exchange)

    async def count_tool(self, exchange: TargetExchange) -> None:
        """Answer with a body."""
        self.ran += 1
        await tool_answer(exchange)

    async def tool(self, key: str) -> Answer:
        """Call a tool of a program."""
        return await self.call(
            self.gateway, "/safe/a", Api_Key=key, X_Program_Id="program"
        )

    async def test_workspace_beyond_its_limit(self) -> None:
        """Refuse what is over a limit, truthfully and with the time to come back."""
        begun = time.monotonic()
        answers = [await self.tool(KEY) for _ in range(5 * ALLOWED)]
        spans = 1 + (time.monotonic() - begun)
        served = [one for one in answers if one.status == 200]
        refused = [one for one in answers if one.status == 429]
        self.assertEqual(len(served) + len(refused), len(answers))
        self.assertEqual(self.ran, len(served))
        self.assertLessEqual(len(served), ALLOWED * spans)
        self.assertTrue(refused)
        for one in refused:
            self.assertIn(b'"not_run":"true"', one.body)
            self.assertGreater(float(one.headers["retry-after"]), 0)

    async def test_workspace_without_a_limit(self) -> None:
        """Serve everything of a workspace that has no limit."""
        answers = [await self.tool(FREE) for _ in range(5 * ALLOWED)]
        self.assertEqual({one.status for one in answers}, {200})

    async def test_target_that_runs_nothing(self) -> None:
        """Count nothing of a limit for requests that no target ran."""
        self.targets["tool"].behaviour = not_run
        for _ in range(5 * ALLOWED):
            answer = await self.tool(KEY)
            self.assertIn(b"targets refused", answer.body)

    async def test_program_under_way_goes_before_one_that_begins(self) -> None:
        """Refuse first turns at a limit while programs under way still get on."""
        first = await self.turn(self.gateway, b"a", attempt="t1", Api_Key=KEY)
        self.assertEqual(first.status, 200)
        statuses = set()
        for number in range(ALLOWED):
            answer = await self.turn(
                self.gateway, b"x", program=f"p{number}", Api_Key=KEY
            )
            statuses.add(answer.status)
        self.assertIn(429, statuses)
        later = await self.turn(self.gateway, b"b", previous="t1", Api_Key=KEY)
        self.assertEqual(later.status, 200)
