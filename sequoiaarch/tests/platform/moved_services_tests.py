"""Test turns that run while their route moves to another service."""

from __future__ import annotations

import asyncio
import json

from ...observe.events import EventLog
from ...standins.target import TargetExchange
from .deployment import (
    ENGINES,
    EVENT_TOKENS,
    ROUTES,
    TIMEOUT,
    DeploymentTestCase,
    config,
    stream_answer,
)

NEW_ENGINES = "new-engines"


class MovedServicesTests(DeploymentTestCase):
    """Run turns through one gateway while a version without their service comes."""

    async def asyncSetUp(self) -> None:
        """Start a gateway and an engine of each service."""
        await super().asyncSetUp()
        self.sent = asyncio.Event()
        self.proceed = asyncio.Event()
        await self.add_target("old", ENGINES, self.answer_later)
        await self.add_target("new", NEW_ENGINES, stream_answer)
        self.lines: list[bytes] = []
        events = EventLog(write=self.write_line)
        self.gateway = await self.add_daemon("a", events=events)

    def write_line(self, data: bytes) -> int:
        """Keep what the gateway logs."""
        self.lines.append(data)
        return len(data)

    async def answer_later(self, exchange: TargetExchange) -> None:
        """Answer a turn once that is allowed."""
        self.sent.set()
        await self.proceed.wait()
        await stream_answer(exchange)

    def moved(self) -> bytes:
        """Return the next version: its routes lead to the new engines alone."""
        document = json.loads(config(2, ROUTES))
        for service in document["services"]:
            if service["name"] == ENGINES:
                service["name"] = NEW_ENGINES
        for route in document["routes"]:
            if route["service"] == ENGINES:
                route["service"] = NEW_ENGINES
        return json.dumps(document).encode()

    def is_moved(self) -> bool:
        """Return whether the gateway knows the next version."""
        routes = self.gateway.dispatcher.routes
        return routes is not None and routes.version == 2

    async def logged_steps(self, attempt: str) -> list[str]:
        """Return the steps of a request once its line is written."""
        async with asyncio.timeout(TIMEOUT):
            while True:
                for line in b"".join(self.lines).splitlines():
                    logged = json.loads(line)
                    if logged.get("id") == attempt:
                        return list(logged["steps"])
                await asyncio.sleep(0.02)

    async def test_turn_at_a_service_that_left(self) -> None:
        """Guards against tokens of a service that is not listed any more."""
        turn = asyncio.create_task(self.turn(self.gateway, b"a", attempt="t1"))
        async with asyncio.timeout(TIMEOUT):
            await self.sent.wait()
            await self.store.put("keyed.op", "config", self.moved())
            while not self.is_moved():
                await asyncio.sleep(0.01)
        self.proceed.set()
        first = await turn
        second = await self.turn(self.gateway, b"b", attempt="t2", previous="t1")
        self.assertEqual((first.status, second.status), (200, 200))
        self.assertEqual(first.body.count(b"data:"), 3)
        steps = await self.logged_steps("t2")
        self.assertIn(f"spent {3 * EVENT_TOKENS} of 1000 tokens, kept here", steps)
