"""Test the division of a capacity into max-min fair shares."""

from __future__ import annotations

import math
import unittest

from ...policies.fair_share import max_min_shares


class MaxMinSharesTests(unittest.TestCase):
    """Test max-min fair shares."""

    def test_enough_capacity(self) -> None:
        """Fails if a demand is cut although the capacity suffices."""
        self.assertEqual(max_min_shares({"a": 3, "b": 1}, 5), {"a": 3, "b": 1})

    def test_small_demand_first(self) -> None:
        """Fails if a large demand takes what a small one needs."""
        shares = max_min_shares({"a": 100, "b": 2, "c": 7}, 12)
        self.assertEqual(shares, {"a": 5, "b": 2, "c": 5})

    def test_capacity_is_used(self) -> None:
        """Fails if a part of the capacity is left over while it is asked for."""
        shares = max_min_shares({name: size for size, name in enumerate("abcdef")}, 9)
        self.assertAlmostEqual(sum(shares.values()), 9)

    def test_nothing_to_divide(self) -> None:
        """Fails if no demand, or no capacity, is an error."""
        self.assertEqual(max_min_shares({}, 5), {})
        self.assertEqual(max_min_shares({"a": 2, "b": 0}, 0), {"a": 0, "b": 0})

    def test_impossible_figures(self) -> None:
        """Fails if a negative or undefined figure takes a share from others."""
        shares = max_min_shares({"a": -4, "b": math.nan, "c": 3}, 2)
        self.assertEqual(shares, {"a": 0, "b": 0, "c": 2})
        self.assertEqual(max_min_shares({"a": 1}, math.nan), {"a": 0})
        self.assertEqual(max_min_shares({"a": 1}, -1), {"a": 0})

    def test_infinite_figures(self) -> None:
        """Fails if an unlimited demand or capacity gives a share that is undefined."""
        self.assertEqual(max_min_shares({"a": math.inf, "b": 1}, 4), {"a": 3.0, "b": 1})
        self.assertEqual(
            max_min_shares({"a": math.inf, "b": 1}, math.inf), {"a": math.inf, "b": 1}
        )
