"""Test the table of failures that on-call engineers make from logs."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner

from ...__main__ import cli
from ...observe.failures import count_failures, read_requests


def line(time: float, program: str, outcome: str, reason: str = "") -> str:
    """Return a line as a gateway writes it."""
    found = {
        "time": time,
        "event": "request",
        "id": f"{program}-{time}",
        "program": program,
        "status": 200,
        "outcome": outcome,
        "reason": reason,
    }
    return json.dumps(found)


LINES = [
    line(100.0, "a", "answered"),
    "host-1 " + line(100.2, "a", "log_unavailable", "no turn 0123456789abcdef"),
    line(100.4, "b", "log_unavailable", "no turn fedcba9876543210"),
    "no json at all",
    '{"event": "store", "time": 100.5, "message": "lost"}',
    '{"event": "request", "time": "bad"}',
    line(101.5, "b", "answered"),
    line(101.7, "c", "deadline_exceeded", "no answer in 1.496 s"),
]


class FailuresTests(unittest.TestCase):
    """Count causes in a handful of lines."""

    def test_rows(self) -> None:
        """Put equal causes together, and tell where programs were given up."""
        rows = count_failures(read_requests(LINES), 1.0)
        self.assertEqual(len(rows), 2)
        first, second = rows
        self.assertEqual(first.reason, "no turn #")
        self.assertEqual((first.requests, first.programs, first.last), (2, 2, 1))
        self.assertEqual((second.start, second.last), (1.0, 1))
        self.assertEqual(second.reason, "no answer in # s")

    def test_no_requests(self) -> None:
        """Return nothing for logs without requests."""
        self.assertEqual(count_failures(read_requests(["x"]), 1.0), [])

    def test_command(self) -> None:
        """Print a table, or JSON, and refuse what can't be read."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "gateway.log"
            path.write_text("\n".join(LINES))
            table = CliRunner().invoke(cli, ["failures", str(path)])
            self.assertEqual(table.exit_code, 0, table.output)
            self.assertIn("5 requests, 3 failed", table.output)
            found = CliRunner().invoke(cli, ["failures", "--json", str(path)])
            self.assertEqual(len(json.loads(found.output)), 2)
            missing = CliRunner().invoke(cli, ["failures", str(path) + "-none"])
            self.assertEqual(missing.exit_code, 2)
