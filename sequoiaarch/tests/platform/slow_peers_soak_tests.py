"""Test short seeds of the soak of slow peers, and that it detects planted faults."""

from __future__ import annotations

import os
import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path
from unittest import mock

from .soak import planted
from .soak.slow_peers import SlowPlan, SlowReport, run_seed
from .soak_tests import PLANTED_MODULE, print_log_tails

SECONDS = 20.0
CALM_SECONDS = 10.0
# Seconds in which several gateways stop.
PLANTED_SECONDS = 40.0
GATEWAYS = 3


def run(plan: SlowPlan) -> SlowReport:
    """Run a seed in a temporary folder; show its logs on a violation."""
    with tempfile.TemporaryDirectory() as folder:
        report = run_seed(plan, Path(folder))
        if report.broken and plan.module != PLANTED_MODULE:
            print_log_tails(Path(folder))
        return report


class SlowPeersSoakTests(unittest.TestCase):
    """Run gateway processes between callers and targets that read slowly."""

    def test_short_seed(self) -> None:
        """Cut no answer off while gateways stop, reload and are reconfigured."""
        report = run(SlowPlan(seed=1, seconds=SECONDS, gateways=GATEWAYS))
        self.assertEqual(report.broken, [])
        self.assertGreater(report.counts["whole"], 0)
        self.assertGreater(report.counts["stops"], 0)

    def violations(self, fault: Callable[[], None], *, planned: bool) -> set[str]:
        """Return the properties that a run with a planted fault violates."""
        plan = SlowPlan(
            seed=1,
            seconds=PLANTED_SECONDS if planned else CALM_SECONDS,
            gateways=GATEWAYS,
            planned=planned,
            module=PLANTED_MODULE,
        )
        with mock.patch.dict(os.environ, {planted.FAULT_VARIABLE: fault.__name__}):
            return {text.split(":")[0] for text in run(plan).broken}

    def test_planted_timeout_is_caught(self) -> None:
        """Report answers and requests cut off as a window stays closed."""
        violated = self.violations(planted.times_closed_windows_out, planned=False)
        self.assertIn("LOST", violated)

    def test_planted_resets_are_caught(self) -> None:
        """Report answers that planned stops cut off."""
        violated = self.violations(planted.resets_at_stops, planned=True)
        self.assertIn("LOST", violated)
