"""Run short seeds of the soak, and show that it catches planted faults."""

from __future__ import annotations

import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from .soak import planted
from .soak.run import Plan, Report, run_seed

SECONDS = 10.0
GATEWAYS = 3
PLANTED_MODULE = "sequoiaarch.tests.platform.soak.planted"


def run(plan: Plan) -> Report:
    """Run a seed in a folder of its own."""
    with tempfile.TemporaryDirectory() as folder:
        return run_seed(plan, Path(folder))


class SoakTests(unittest.TestCase):
    """Run real processes under faults."""

    def test_short_seed(self) -> None:
        """Keep every promise while gateways die, freeze and lose the store."""
        report = run(Plan(seed=1, seconds=SECONDS, gateways=GATEWAYS))
        self.assertEqual(report.broken, [])
        self.assertGreater(report.counts["turns"], 0)

    def test_planted_fault_is_caught(self) -> None:
        """See that kept turns are missing when a gateway skips their commit.

        A soak that can't tell a broken system from a sound one proves nothing.
        """
        planting = {planted.VARIABLE: planted.commit_skipped.__name__}
        with mock.patch.dict(os.environ, planting):
            report = run(
                Plan(seed=1, seconds=SECONDS, gateways=GATEWAYS, module=PLANTED_MODULE)
            )
        self.assertTrue(any(one.startswith("HISTORY") for one in report.broken))
