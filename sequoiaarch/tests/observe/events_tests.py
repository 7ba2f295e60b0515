"""Test that the event log never blocks the process."""

from __future__ import annotations

import json
import unittest

from ...observe.events import BUFFER_BYTES, LINE_BURST, LINE_RATE, EventLog


class EventLogTests(unittest.TestCase):
    """Write to a reader that the test controls."""

    def setUp(self) -> None:
        """Create a log whose reader accepts everything."""
        self.now = 0.0
        self.written = b""
        self.accepted_bytes = 10**9
        self.events = EventLog(write=self.write, clock=lambda: self.now)

    def write(self, data: bytes) -> int:
        """Accept up to `accepted_bytes` of a write."""
        accepted = data[: self.accepted_bytes]
        self.written += accepted
        return len(accepted)

    def lines(self) -> list[dict[str, object]]:
        """Return the decoded lines that were written."""
        return [json.loads(line) for line in self.written.splitlines()]

    def test_fields(self) -> None:
        """Write an event as a JSON line with its fields."""
        self.events.emit("request", id="a", status=200, steps=["one"])
        self.events.flush()
        line = self.lines()[0]
        self.assertEqual((line["event"], line["id"]), ("request", "a"))

    def test_slow_reader(self) -> None:
        """Write complete lines to a reader that accepts few bytes at a time."""
        for number in range(20):
            self.events.emit("request", number=number)
        self.accepted_bytes = 7
        for _ in range(1000):
            self.events.flush()
        self.assertEqual([line["number"] for line in self.lines()], [*range(20)])

    def test_blocked_reader(self) -> None:
        """Drop lines once the buffer for a blocked reader is full."""
        self.accepted_bytes = 0
        for _ in range(10_000):
            self.now += 1 / LINE_RATE
            self.events.emit("request", text="x" * 200)
        self.events.flush()
        self.assertGreater(self.events.omitted, 0)
        self.accepted_bytes = 10**9
        self.events.flush()
        self.assertLess(len(self.written), 2 * BUFFER_BYTES)

    def test_rate_limit(self) -> None:
        """Drop lines beyond the rate limit and report their number."""
        for _ in range(int(LINE_BURST) + 50):
            self.events.emit("request")
        self.now += 1
        self.events.emit("request")
        self.events.flush()
        self.assertEqual(self.lines()[-1]["omitted"], 50)
