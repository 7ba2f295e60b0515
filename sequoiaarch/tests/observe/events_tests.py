"""Test that log lines never hold up the process."""

from __future__ import annotations

import json
import unittest

from ...observe.events import BUFFER_BYTES, LINE_BURST, LINE_RATE, EventLog


class EventLogTests(unittest.TestCase):
    """Write to a reader that a test controls."""

    def setUp(self) -> None:
        """Make a log whose reader takes everything."""
        self.now = 0.0
        self.written = b""
        self.takes = 10**9
        self.events = EventLog(write=self.write, clock=lambda: self.now)

    def write(self, data: bytes) -> int:
        """Take what the reader has room for."""
        taken = data[: self.takes]
        self.written += taken
        return len(taken)

    def lines(self) -> list[dict[str, object]]:
        """Return the lines that were written."""
        return [json.loads(line) for line in self.written.splitlines()]

    def test_fields(self) -> None:
        """Write a line of JSON with its fields."""
        self.events.emit("request", id="a", status=200, steps=["one"])
        self.events.flush()
        line = self.lines()[0]
        self.assertEqual((line["event"], line["id"]), ("request", "a"))

    def test_slow_reader(self) -> None:
        """Keep lines whole when the reader takes them in pieces."""
        for number in range(20):
            self.events.emit("request", number=number)
        self.takes = 7
        for _ in range(1000):
            self.events.flush()
        self.assertEqual([line["number"] for line in self.lines()], [*range(20)])

    def test_reader_that_stopped(self) -> None:
        """Drop lines once a reader that takes nothing is far behind."""
        self.takes = 0
        for _ in range(10_000):
            self.now += 1 / LINE_RATE
            self.events.emit("request", text="x" * 200)
        self.events.flush()
        self.assertGreater(self.events.omitted, 0)
        self.takes = 10**9
        self.events.flush()
        self.assertLess(len(self.written), 2 * BUFFER_BYTES)

    def test_flood(self) -> None:
        """Leave out lines beyond the rate, and say how many."""
        for _ in range(int(LINE_BURST) + 50):
            self.events.emit("request")
        self.now += 1
        self.events.emit("request")
        self.events.flush()
        self.assertEqual(self.lines()[-1]["omitted"], 50)
