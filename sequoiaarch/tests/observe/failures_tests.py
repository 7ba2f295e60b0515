"""Test the summary of failed requests from logs."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner

from ...__main__ import cli
from ...observe.failures import (
    Grouping,
    count_failures,
    group_failures,
    read_requests,
)


def line(
    time: float,
    program: str,
    outcome: str,
    reason: str = "",
    steps: tuple[str, ...] = (),
    workspace: str | None = None,
) -> str:
    """Return the log line of a request."""
    fields = {
        "time": time,
        "event": "request",
        "id": f"{program}-{time}",
        "workspace": workspace,
        "program": program,
        "status": 200,
        "outcome": outcome,
        "reason": reason,
        "route": "calls",
        "steps": steps,
    }
    return json.dumps(fields)


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
    """Summarise a few log lines."""

    def test_programs_of_two_workspaces(self) -> None:
        """Distinguish programs with the same id in different workspaces."""
        lines = [
            line(1.0, "p", "overloaded", workspace="one"),
            line(1.1, "p", "answered", workspace="one"),
            line(1.2, "p", "overloaded", workspace="two"),
            line(1.3, "p", "overloaded"),
        ]
        rows = group_failures(read_requests(lines), Grouping.WORKSPACE)
        counts = {row.group: (row.requests, row.last) for row in rows}
        expected = {"one": (1, 0), "two": (1, 1), "no workspace": (1, 1)}
        self.assertEqual(counts, expected)

    def test_failures_by_cause_and_span(self) -> None:
        """Group failures by cause and span, and count programs given up."""
        rows = count_failures(read_requests(LINES), 1.0)
        self.assertEqual(len(rows), 2)
        first, second = rows
        self.assertEqual(first.reason, "no turn #")
        self.assertEqual((first.requests, first.programs, first.last), (2, 2, 1))
        self.assertEqual((second.start, second.last), (1.0, 1))
        self.assertEqual(second.reason, "no answer in # s")

    def test_failures_by_group(self) -> None:
        """Count requests and gateways by target, gateway and route."""
        tried = ("x-1 chosen: running=0", "x-1:not run 503", "x-2 chosen: running=0")
        lines = [
            "host-1 " + line(100.0, "a", "answered", "", ("x-2 chosen: near",)),
            "host-1 " + line(101.0, "a", "interrupted", "reset", tried),
            "host-2 " + line(103.5, "b", "interrupted", "reset", tried[2:]),
            "host-2 " + line(104.0, "b", "log_unavailable", "no log"),
        ]
        requests = list(read_requests(lines))
        first, second = group_failures(requests, Grouping.TARGET)
        self.assertEqual((first.group, first.requests, first.gateways), ("x-2", 2, 2))
        self.assertEqual((first.first, first.final, first.last), (1.0, 3.5, 1))
        self.assertEqual(second.group, "sent to no target")
        gateways = group_failures(requests, Grouping.GATEWAY)
        self.assertEqual([row.group for row in gateways], ["host-2", "host-1"])
        routes = group_failures(requests, Grouping.ROUTE)
        self.assertEqual([(row.group, row.requests) for row in routes], [("calls", 3)])

    def test_no_requests(self) -> None:
        """Return no rows for logs without requests."""
        self.assertEqual(count_failures(read_requests(["x"]), 1.0), [])

    def test_command(self) -> None:
        """Print a table or JSON, and reject a missing file."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "gateway.log"
            path.write_text("\n".join(LINES))
            table = CliRunner().invoke(cli, ["failures", str(path)])
            self.assertEqual(table.exit_code, 0, table.output)
            self.assertIn("5 requests, 3 failed", table.output)
            result = CliRunner().invoke(cli, ["failures", "--json", str(path)])
            self.assertEqual(len(json.loads(result.output)), 2)
            by = ["failures", str(path), "--by", "gateway"]
            groups = CliRunner().invoke(cli, by)
            self.assertIn("host-1", groups.output)
            self.assertIn(str(path), groups.output)
            missing = CliRunner().invoke(cli, ["failures", str(path) + "-none"])
            self.assertEqual(missing.exit_code, 2)
