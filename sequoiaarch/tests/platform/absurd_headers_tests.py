"""Test requests whose headers have values that no caller should send."""

from __future__ import annotations

import json
import random
from typing import Any

from ...observe.events import EventLog
from .deployment import ENGINES, TOOLS, DeploymentTestCase, stream_answer, tool_answer

NUMBERS = (
    "nan",
    "inf",
    "-inf",
    "1e999",
    "1e308",
    "-1e308",
    "-1",
    "0",
    "0.5",
    "9" * 30,
    "9" * 5000,
    "١٢",
    "1_000",
    "x",
)
LISTS = ("", ",", "1,", "-1,-1", "nan,nan", "1,2,3", f"1,{'9' * 30}", "10,100")
TEXTS = ("", "\x7f", "é", "a" * 300, "../..", "%00", "null", "a;b=c")
NUMBER_HEADERS = (
    "X-Deadline-Ms",
    "X-Program-Deadline-Ms",
    "X-Token-Budget",
    "X-Length-Hint",
    "X-Request-Priority",
)
TEXT_HEADERS = (
    "X-Program-Id",
    "X-Session-Id",
    "X-Previous-Turn",
    "X-Prompt-Prefix",
    "Last-Event-Id",
    "Resumes",
    "Api-Key",
)
PATHS = ("/kept/a", "/free/a", "/safe/a", "/once/a")
REQUESTS = 150


class AbsurdHeadersTests(DeploymentTestCase):
    """Send absurd values in all headers that are read."""

    async def test_absurd_headers(self) -> None:
        """Guards against an internal error for what a caller sent."""
        await self.add_target("i-1", ENGINES, stream_answer)
        await self.add_target("i-2", TOOLS, tool_answer)
        lines: list[bytes] = []

        def write(data: bytes) -> int:
            lines.append(data)
            return len(data)

        events = EventLog(write=write)
        daemon = await self.add_daemon("a", events=events)
        rng = random.Random(1)
        for _ in range(REQUESTS):
            headers: dict[str, Any] = {"X-Program-Id": "p", "X-Token-Usage": "10,100"}
            headers[rng.choice(NUMBER_HEADERS)] = rng.choice(NUMBERS)
            headers[rng.choice(NUMBER_HEADERS)] = rng.choice(NUMBERS)
            if rng.random() < 0.5:
                headers[rng.choice(TEXT_HEADERS)] = rng.choice(TEXTS)
            if rng.random() < 0.3:
                headers["X-Token-Usage"] = rng.choice(LISTS)
            answer = await self.call(daemon, rng.choice(PATHS), **headers)
            with self.subTest(headers=headers):
                self.assertNotEqual(answer.status, 500)
                self.assertNotEqual(answer.status, 0)
            events.flush()
        answer = await self.call(daemon, "/safe/a")
        self.assertEqual(answer.status, 200)
        logged: list[dict[str, Any]] = [
            json.loads(line) for line in b"".join(lines).splitlines()
        ]
        self.assertEqual([line for line in logged if "exception" in line], [])
