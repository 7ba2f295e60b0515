"""Test that connections that end before their answer was delivered are logged."""

from __future__ import annotations

import asyncio
import json
import socket
from typing import Any

from ...http1.sockets import reset_on_close
from ...ingress.daemon import IngressDaemon
from ...observe.events import EventLog
from ...standins.target import TargetExchange, whole_answer
from .deployment import (
    TIMEOUT,
    TOOLS,
    DeploymentTestCase,
    attempt_of,
)

BODY = bytes(100_000)


async def large_answer(exchange: TargetExchange) -> None:
    """Answer with a body that no client takes at once."""
    headers = (("X-Attempt-Id", attempt_of(exchange)), ("X-Server-Stamp", "s"))
    exchange.send(whole_answer(BODY, headers=headers))


class UndeliveredTests(DeploymentTestCase):
    """End connections of which answers are on their way."""

    async def asyncSetUp(self) -> None:
        """Start a gateway whose log lines are kept."""
        await super().asyncSetUp()
        self.lines: list[bytes] = []
        self.events = EventLog(write=self._write_lines)
        await self.add_target("i-1", TOOLS, large_answer)
        self.daemon: IngressDaemon = await self.add_daemon("one", events=self.events)

    def _write_lines(self, data: bytes) -> int:
        self.lines.append(data)
        return len(data)

    async def undelivered(self) -> dict[str, Any]:
        """Return the line of the only connection that ended before its answer."""
        async with asyncio.timeout(TIMEOUT):
            while self.daemon.front.connections:
                await asyncio.sleep(0.01)
        self.events.flush()
        lines = [json.loads(line) for line in b"".join(self.lines).splitlines()]
        [line] = [line for line in lines if line["event"] == "undelivered"]
        return line

    async def start_answer(self) -> socket.socket:
        """Send a request and wait until its answer has begun to arrive."""
        caller = await self.send_only(self.daemon, "/once/a", attempt="slow")
        await asyncio.get_running_loop().sock_recv(caller, 1)
        return caller

    def assert_undelivered(self, line: dict[str, Any], ended_by: str) -> None:
        """Check the fields of a line and the counter."""
        self.assertEqual((line["id"], line["ended_by"]), ("slow", ended_by))
        self.assertGreater(line["written"], len(BODY))
        self.assertGreater(line["undelivered"], 0)
        self.assertLess(line["undelivered"], line["written"])
        text = self.daemon.metrics_text().decode()
        count = f'sequoiaarch_undelivered_total{{ended_by="{ended_by}"}} 1'
        self.assertIn(count, text)

    async def test_client_resets(self) -> None:
        """Guards against an answer that a caller gave up and no line tells of."""
        caller = await self.start_answer()
        reset_on_close(caller)
        caller.close()
        line = await self.undelivered()
        self.assert_undelivered(line, "client")
        self.assertIn("Connection reset by peer", line["reason"])

    async def test_gateway_closes(self) -> None:
        """Guards against an answer that a gateway cut off and no line tells of."""
        await self.start_answer()
        self.daemon.front.abort()
        line = await self.undelivered()
        self.assert_undelivered(line, "gateway")
        self.assertEqual(line["reason"], "the server stopped")

    async def test_delivered(self) -> None:
        """Guards against lines for callers that have their whole answer."""
        answer = await self.call(self.daemon, "/once/a")
        self.assertEqual(len(answer.body), len(BODY))
        with self.assertRaises(ValueError):
            await self.undelivered()
