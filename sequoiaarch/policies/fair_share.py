"""Divide a scarce capacity fairly between those that ask for it."""

from __future__ import annotations

import math
from collections.abc import Hashable, Mapping
from typing import TypeVar

Key = TypeVar("Key", bound=Hashable)


def max_min_shares(demands: Mapping[Key, float], capacity: float) -> dict[Key, float]:
    """Return the max-min fair share of each demand.

    A demand below the equal share is met in full, and what it leaves is divided
    equally between the others. Demands and capacities that are negative or not a
    number count as 0.
    """
    usable = {key: _usable(demand) for key, demand in demands.items()}
    left = _usable(capacity)
    shares = {}
    ascending = sorted(usable, key=usable.__getitem__)
    for number, key in enumerate(ascending):
        equal = left / (len(ascending) - number)
        shares[key] = min(usable[key], equal)
        if math.isfinite(left):
            left = max(0.0, left - shares[key])
    return shares


def _usable(amount: float) -> float:
    # A comparison with NaN is false.
    return amount if amount > 0 else 0.0
