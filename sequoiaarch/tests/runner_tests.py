"""Test that only what is known to be red is passed over."""

from __future__ import annotations

import unittest

from .__main__ import known_red, not_known

LIST = """# test | command and seed | seen | cause | issue
pack.one_tests.Case.test_red | make test | x | y | issue 15
"""


class KnownRedTests(unittest.TestCase):
    """Read a list of known faults and hold failures against it."""

    def test_names(self) -> None:
        """Read the names, and nothing from remarks and empty lines."""
        self.assertEqual(known_red(LIST), {"pack.one_tests.Case.test_red"})
        self.assertEqual(known_red(""), set())

    def test_others_fail(self) -> None:
        """Pass over what is named as a whole, and no other test."""
        failed = [
            "pack.one_tests.Case.test_red",
            "pack.one_tests.Case.test_red_too",
            "pack.one_tests.Case",
        ]
        self.assertEqual(not_known(failed, known_red(LIST)), failed[1:])
