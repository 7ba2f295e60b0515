"""Run every row of the fault table.

In each row one program takes three model turns and one tool call that may
not be repeated, beside a program of the same name in another workspace. The
faults of the row come at their moments; the caller asks again as it is told
to. Then all ten properties are checked from what the caller, the targets and
the log saw.
"""

from __future__ import annotations

import unittest
from concurrent.futures import ThreadPoolExecutor

from .scenario import Run
from .table import DOUBLE, ROWS, Row

ROWS_AT_ONCE = 4
PARTS = 4


def run_row(row: Row) -> list[str]:
    """Run one row and return what was wrong."""
    run = Run()
    try:
        run.start()
        run.run(row.by_moment())
    except Exception as error:
        run.problems.append(f"{type(error).__name__}: {error}")
    finally:
        run.stop()
    return run.problems


class FaultTableTests(unittest.TestCase):
    """Check the table itself."""

    def test_size(self) -> None:
        """Hold the table to its size."""
        self.assertGreaterEqual(len(ROWS), 60)
        self.assertGreaterEqual(len(DOUBLE), 15)
        self.assertEqual(len({row.name for row in ROWS}), len(ROWS))


class _PartOfTheTable(unittest.TestCase):
    """Check the properties under the faults of every fourth row."""

    def run_part(self, part: int) -> None:
        """Run the rows of one part, some at once."""
        rows = ROWS[part::PARTS]
        with ThreadPoolExecutor(ROWS_AT_ONCE) as pool:
            results = list(pool.map(run_row, rows))
        for row, problems in zip(rows, results, strict=True):
            with self.subTest(row.name):
                self.assertEqual(problems, [])


class FirstPartTests(_PartOfTheTable):
    """Check the first part."""

    def test_rows(self) -> None:
        """Run its rows."""
        self.run_part(0)


class SecondPartTests(_PartOfTheTable):
    """Check the second part."""

    def test_rows(self) -> None:
        """Run its rows."""
        self.run_part(1)


class ThirdPartTests(_PartOfTheTable):
    """Check the third part."""

    def test_rows(self) -> None:
        """Run its rows."""
        self.run_part(2)


class FourthPartTests(_PartOfTheTable):
    """Check the fourth part."""

    def test_rows(self) -> None:
        """Run its rows."""
        self.run_part(3)
