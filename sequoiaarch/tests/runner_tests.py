"""Test that the test runner ignores only failures of listed tests."""

from __future__ import annotations

import unittest

from .__main__ import known_failures, unknown_failures

KNOWN_FAILURES = """# test | command and seed | seen | cause | issue
pack.one_tests.Case.test_red | make test | x | y | issue 15
"""


class KnownFailureTests(unittest.TestCase):
    """Parse the list of known failures and compare failures with it."""

    def test_names_of_listed_tests(self) -> None:
        """Parse the names and skip comments and empty lines."""
        self.assertEqual(
            known_failures(KNOWN_FAILURES), {"pack.one_tests.Case.test_red"}
        )
        self.assertEqual(known_failures(""), set())

    def test_other_failures_count(self) -> None:
        """Ignore only failures whose whole name is listed."""
        failed = [
            "pack.one_tests.Case.test_red",
            "pack.one_tests.Case.test_red_too",
            "pack.one_tests.Case",
        ]
        self.assertEqual(
            unknown_failures(failed, known_failures(KNOWN_FAILURES)), failed[1:]
        )
