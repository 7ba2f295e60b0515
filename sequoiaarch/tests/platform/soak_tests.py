"""Run short seeds of the soak, and show that it catches planted faults."""

from __future__ import annotations

import os
import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path
from unittest import mock

from .soak import planted
from .soak.run import Plan, Report, run_seed

SECONDS = 10.0
LINK_SECONDS = 5.0
GATEWAYS = 3
PLANTED_MODULE = "sequoiaarch.tests.platform.soak.planted"


# Lines of each gateway that a broken promise is explained with.
LINES_SHOWN = 20


def run(plan: Plan, show: Callable[[Path], None] = lambda folder: None) -> Report:
    """Run a seed in a folder of its own; show the folder if a promise broke."""
    with tempfile.TemporaryDirectory() as folder:
        report = run_seed(plan, Path(folder))
        if report.broken:
            show(Path(folder))
        return report


def print_last_lines(folder: Path) -> None:
    """Print what each gateway said last: the folder goes with the test."""
    for log in sorted(folder.glob("*.log")):
        lines = log.read_text(errors="replace").splitlines()[-LINES_SHOWN:]
        print(f"{log.name}:", *lines, sep="\n")


class SoakTests(unittest.TestCase):
    """Run real processes under faults."""

    def test_short_seed(self) -> None:
        """Keep every promise while gateways die, freeze and lose the store."""
        plan = Plan(
            seed=1, seconds=SECONDS, link_seconds=LINK_SECONDS, gateways=GATEWAYS
        )
        report = run(plan, print_last_lines)
        self.assertEqual(report.broken, [])
        self.assertGreater(report.counts["turns"], 0)
        self.assertGreater(report.counts["small programs judged"], 0)
        self.assertGreater(report.counts["harmed between gateways"], 0)

    def test_planted_fault_is_caught(self) -> None:
        """See that kept turns are missing when a gateway skips their commit.

        A soak that can't tell a broken system from a sound one proves nothing.
        """
        planting = {planted.VARIABLE: planted.commit_skipped.__name__}
        plan = Plan(
            seed=1,
            seconds=SECONDS,
            link_seconds=0.0,
            gateways=GATEWAYS,
            module=PLANTED_MODULE,
        )
        with mock.patch.dict(os.environ, planting):
            report = run(plan)
        self.assertTrue(any(one.startswith("HISTORY") for one in report.broken))
