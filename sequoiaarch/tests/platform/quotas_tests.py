"""Test rate limits of workspaces on the whole request path."""

from __future__ import annotations

import asyncio
import time

from ...standins.target import TargetExchange
from ...workspaces.sliding_window import QuotaBounds
from ..hold_up import hold_up
from .deployment import (
    ENGINES,
    ROUTES,
    TOOLS,
    Answer,
    DeploymentTestCase,
    config,
    not_run_answer,
    stream_answer,
    tenant,
    tool_answer,
)

LIMITED_KEY = "key-limited"
UNLIMITED_KEY = "key-free"
# A window of 1 s allows 18 requests.
BOUNDS = QuotaBounds(window=1.0, overage=0.0, slack=14.0)
MAX_REQUESTS = 18
WORKSPACES = [
    tenant("limited", LIMITED_KEY, ratePerS=2, burst=2),
    tenant("free", UNLIMITED_KEY),
]


class QuotasTests(DeploymentTestCase):
    """Send more requests through one gateway than a rate limit allows."""

    async def asyncSetUp(self) -> None:
        """Start a gateway with two targets."""
        await super().asyncSetUp()
        self.executed = 0
        # Numbers of the requests whose answer the event loop holds up.
        self.held_up: set[int] = set()
        document = config(2, ROUTES, tenants=WORKSPACES)
        await self.store.put("keyed.op", "config", document)
        await self.add_target("engine", ENGINES, self.count_stream)
        await self.add_target("tool", TOOLS, self.count_tool)
        self.gateway = await self.add_daemon("a", quota=BOUNDS)
        # A new gateway does not know which requests ran in the current window.
        await asyncio.sleep(2 * BOUNDS.window)

    async def count_stream(self, exchange: TargetExchange) -> None:
        """Count a request and answer with a stream."""
        self.executed += 1
        await stream_answer(exchange)

    async def count_tool(self, exchange: TargetExchange) -> None:
        """Count a request and answer with a body."""
        self.executed += 1
        if self.executed in self.held_up:
            hold_up(0.7)
            await asyncio.sleep(0.01)
        await tool_answer(exchange)

    async def tool(self, key: str) -> Answer:
        """Call a service for a program."""
        return await self.call(
            self.gateway, "/safe/a", Api_Key=key, X_Program_Id="program"
        )

    async def test_workspace_over_limit(self) -> None:
        """Refuse requests over the limit as not run, with a retry time."""
        await self.check_workspace_over_limit()

    async def test_workspace_over_limit_while_held_up(self) -> None:
        """Give up no attempt while the event loop is blocked before its answer.

        The gateway used to answer 502, as it took the request for lost after 0.6 s.
        """
        self.held_up = {1, 2, 5}
        await self.check_workspace_over_limit()

    async def check_workspace_over_limit(self) -> None:
        """Send more requests than the limit allows."""
        started = time.monotonic()
        answers = [await self.tool(LIMITED_KEY) for _ in range(5 * MAX_REQUESTS)]
        windows = 1 + (time.monotonic() - started)
        served = [answer for answer in answers if answer.status == 200]
        refused = [answer for answer in answers if answer.status == 429]
        self.assertEqual(len(served) + len(refused), len(answers))
        self.assertEqual(self.executed, len(served))
        self.assertLessEqual(len(served), MAX_REQUESTS * windows)
        self.assertTrue(refused)
        for answer in refused:
            self.assertIn(b'"not_run":"true"', answer.body)
            self.assertGreater(float(answer.headers["retry-after"]), 0)

    async def test_workspace_without_a_limit(self) -> None:
        """Serve every request of a workspace without a limit."""
        answers = [await self.tool(UNLIMITED_KEY) for _ in range(5 * MAX_REQUESTS)]
        self.assertEqual({answer.status for answer in answers}, {200})

    async def test_requests_that_did_not_run(self) -> None:
        """Charge no request that no target has run against the limit."""
        self.targets["tool"].behaviour = not_run_answer
        for _ in range(5 * MAX_REQUESTS):
            answer = await self.tool(LIMITED_KEY)
            self.assertIn(b"targets refused", answer.body)

    async def test_running_program_before_new_ones(self) -> None:
        """Refuse new programs at the limit before running ones."""
        first = await self.turn(self.gateway, b"a", attempt="t1", Api_Key=LIMITED_KEY)
        self.assertEqual(first.status, 200)
        statuses = set()
        for number in range(MAX_REQUESTS):
            answer = await self.turn(
                self.gateway, b"x", program=f"p{number}", Api_Key=LIMITED_KEY
            )
            statuses.add(answer.status)
        self.assertIn(429, statuses)
        later = await self.turn(self.gateway, b"b", previous="t1", Api_Key=LIMITED_KEY)
        self.assertEqual(later.status, 200)
