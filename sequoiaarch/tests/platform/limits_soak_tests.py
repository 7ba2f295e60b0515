"""Test a short seed of the soak of limits, and that it detects a planted fault."""

from __future__ import annotations

import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from ...workspaces.directory import RateLimit
from ...workspaces.sliding_window import QuotaBounds
from .soak import planted
from .soak.limit_windows import LimitWindows
from .soak.limits import LimitPlan, LimitReport, run_seed
from .soak_tests import PLANTED_MODULE, print_log_tails

SECONDS = 25.0
PLANTED_SECONDS = 15.0
GATEWAYS = 4


def run(plan: LimitPlan) -> LimitReport:
    """Run a seed in a temporary folder; show its logs on a violation."""
    with tempfile.TemporaryDirectory() as folder:
        report = run_seed(plan, Path(folder))
        if report.broken and plan.module != PLANTED_MODULE:
            print_log_tails(Path(folder))
        return report


class LimitsSoakTests(unittest.TestCase):
    """Run gateway processes under bursts of several times each limit."""

    def test_short_seed(self) -> None:
        """Stay within all limits while processes pause, end and overlap."""
        report = run(LimitPlan(seed=1, seconds=SECONDS, gateways=GATEWAYS))
        self.assertEqual(report.broken, [])
        self.assertGreater(report.counts["status 429"], 0)
        self.assertGreater(report.counts["runs"], 0)

    def test_planted_fault_is_caught(self) -> None:
        """Report a violation if owners grant every token."""
        environment = {planted.FAULT_VARIABLE: planted.hands_out_everything.__name__}
        plan = LimitPlan(
            seed=1, seconds=PLANTED_SECONDS, gateways=GATEWAYS, module=PLANTED_MODULE
        )
        with mock.patch.dict(os.environ, environment):
            self.assertNotEqual(run(plan).broken, [])

    def test_lost_hosts_that_stay_are_caught(self) -> None:
        """Report workspaces that are refused for good if no lost host is removed."""
        environment = {planted.FAULT_VARIABLE: planted.removes_no_hosts.__name__}
        plan = LimitPlan(
            seed=1, seconds=PLANTED_SECONDS, gateways=GATEWAYS, module=PLANTED_MODULE
        )
        with mock.patch.dict(os.environ, environment):
            self.assertTrue(any("not served" in text for text in run(plan).broken))


class LimitWindowsTests(unittest.TestCase):
    """Test which requests count in a window."""

    def setUp(self) -> None:
        """Create a check of a limit that allows 6 requests in a window of 5 s."""
        self.windows = LimitWindows(
            bounds=QuotaBounds(window=5.0, overage=0.0, slack=0.0),
            limits={"w": RateLimit(rate=1.0, burst=1.0)},
        )

    def record(self, count: int, *, sent: float, ran: float) -> None:
        """Record requests that were sent and ran at the same times."""
        for _ in range(count):
            attempt = str(len(self.windows.sent_at))
            self.windows.sent_at[attempt] = sent
            self.windows.record_run(attempt, "w", ran)

    def test_requests_of_one_window(self) -> None:
        """Count requests that were sent and ran within a window."""
        self.record(6, sent=1.0, ran=1.1)
        self.assertEqual(self.windows.violations(), [])
        self.record(1, sent=5.8, ran=6.0)
        self.assertEqual(len(self.windows.violations()), 1)

    def test_requests_of_two_windows(self) -> None:
        """Count no request that ran after the window in which it was sent."""
        self.record(6, sent=1.0, ran=1.1)
        self.record(6, sent=5.9, ran=6.1)
        self.assertEqual(self.windows.violations(), [])

    def test_requests_sent_before_the_window(self) -> None:
        """Count no request that was sent before the window in which it ran."""
        self.record(4, sent=0.0, ran=5.5)
        self.record(6, sent=1.0, ran=5.5)
        self.assertEqual(self.windows.fullest_window("w"), (6, 1.0))
