"""Test short seeds of the soak of targets that end, and that it detects faults."""

from __future__ import annotations

import os
import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path
from unittest import mock

from .soak import planted
from .soak.ends import PAIR_FRACTION, EndsPlan, EndsReport, run_seed
from .soak_tests import PLANTED_MODULE, print_log_tails

SECONDS = 15.0
PLANTED_SECONDS = 8.0
GATEWAYS = 3


def run(plan: EndsPlan) -> EndsReport:
    """Run a seed in a temporary folder; show its logs on a violation."""
    with tempfile.TemporaryDirectory() as folder:
        report = run_seed(plan, Path(folder))
        if report.broken and plan.module != PLANTED_MODULE:
            print_log_tails(Path(folder))
        return report


class EndsSoakTests(unittest.TestCase):
    """Run gateway processes between targets that end, some under certain requests."""

    def test_short_seed(self) -> None:
        """End three targets at most under a request while gateways are disturbed."""
        report = run(EndsPlan(seed=1, seconds=SECONDS, gateways=GATEWAYS))
        self.assertEqual(report.broken, [])
        self.assertGreater(report.counts["fatal requests with 3 ends"], 0)
        self.assertGreater(report.counts["others served"], 0)

    def violations(
        self, fault: Callable[[], None], pairs: float = PAIR_FRACTION
    ) -> set[str]:
        """Return the properties that a run with a planted fault violates."""
        plan = EndsPlan(
            seed=1,
            seconds=PLANTED_SECONDS,
            gateways=GATEWAYS,
            faults=False,
            pairs=pairs,
            module=PLANTED_MODULE,
        )
        with mock.patch.dict(os.environ, {planted.FAULT_VARIABLE: fault.__name__}):
            return {text.split(":")[0] for text in run(plan).broken}

    def test_planted_silence_is_caught(self) -> None:
        """Report gateways that tell each other nothing of ends."""
        violated = self.violations(planted.tells_no_ends)
        self.assertLessEqual({"ENDS", "AFTER"}, violated)

    def test_planted_haste_is_caught(self) -> None:
        """Report gateways that send suspected requests without announcing them."""
        self.assertIn("ENDS", self.violations(planted.announces_no_sends, pairs=1.0))

    def test_planted_suspicion_is_caught(self) -> None:
        """Report gateways that refuse requests which ended no targets."""
        self.assertIn("CAUSE", self.violations(planted.suspects_at_once))
