"""Run a scenario with the faults of each row of the fault table."""

from __future__ import annotations

import unittest
from concurrent.futures import ThreadPoolExecutor

from .scenario import Scenario
from .table import DOUBLE_FAULTS, ROWS, Row

CONCURRENT_ROWS = 4
PARTS = 4


def run_row(row: Row) -> list[str]:
    """Run the scenario of a row and return the problems found."""
    scenario = Scenario()
    try:
        scenario.start()
        scenario.run(row.by_moment())
    except Exception as error:
        scenario.problems.append(f"{type(error).__name__}: {error}")
    finally:
        scenario.stop()
    return scenario.problems


class FaultTableTests(unittest.TestCase):
    """Check the table itself."""

    def test_size(self) -> None:
        """Require a minimum number of distinct rows and of rows with two faults."""
        self.assertGreaterEqual(len(ROWS), 60)
        self.assertGreaterEqual(len(DOUBLE_FAULTS), 15)
        self.assertEqual(len({row.name for row in ROWS}), len(ROWS))


class _TablePartTestCase(unittest.TestCase):
    """Base of the tests of every fourth row."""

    def run_part(self, part: int) -> None:
        """Run the rows of a part concurrently and check that no problems are found."""
        rows = ROWS[part::PARTS]
        with ThreadPoolExecutor(CONCURRENT_ROWS) as pool:
            results = list(pool.map(run_row, rows))
        for row, problems in zip(rows, results, strict=True):
            with self.subTest(row.name):
                self.assertEqual(problems, [])


class FirstPartTests(_TablePartTestCase):
    """Run the first quarter of the table."""

    def test_rows(self) -> None:
        """Run rows 0, 4, 8, ..."""
        self.run_part(0)


class SecondPartTests(_TablePartTestCase):
    """Run the second quarter of the table."""

    def test_rows(self) -> None:
        """Run rows 1, 5, 9, ..."""
        self.run_part(1)


class ThirdPartTests(_TablePartTestCase):
    """Run the third quarter of the table."""

    def test_rows(self) -> None:
        """Run rows 2, 6, 10, ..."""
        self.run_part(2)


class FourthPartTests(_TablePartTestCase):
    """Run the last quarter of the table."""

    def test_rows(self) -> None:
        """Run rows 3, 7, 11, ..."""
        self.run_part(3)
