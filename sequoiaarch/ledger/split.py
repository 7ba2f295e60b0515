"""Split a budget between the log and lenders that work without it."""

from __future__ import annotations

from typing import Protocol

from .terms import TurnTerms

# Fraction of a budget that is reserved for lenders, so that turns can go on while the
# log is unavailable. The part of a lost lender counts as spent for minutes, so a larger
# fraction would refuse programs after a crash.
LENDABLE_FRACTION = 0.25
# Each further lender of a program gets this fraction of the part of the one before. The
# parts are disjoint, so a new lender needs nothing from earlier ones.
NEXT_LENDER_FRACTION = 0.25


class BudgetSplit(Protocol):
    """Define how much of a budget the log and each lender may grant."""

    def log_limit(self, terms: TurnTerms) -> int:
        """Return the bound on the sum of all grants in the log, in tokens."""

    def lender_limit(self, budget: int, rank: int) -> int:
        """Return the tokens that the lender of a rank, counted from 0, may lend."""


class LogOnlySplit:
    """Grant the whole budget through the log; nothing is lent."""

    def log_limit(self, terms: TurnTerms) -> int:
        """Return the whole budget."""
        return terms.budget

    def lender_limit(self, budget: int, rank: int) -> int:
        """Return 0."""
        return 0


class LendingSplit:
    """Reserve a quarter of each budget for lenders, in disjoint parts by rank.

    The log may exceed its part by one turn, so that small budgets are granted there in
    full. In total at most the budget and one further turn can be used, which is the
    bound that callers are promised.
    """

    def log_limit(self, terms: TurnTerms) -> int:
        """Return the part that is not reserved for lenders, plus one turn."""
        return min(terms.budget, terms.budget - _lendable(terms.budget) + terms.most)

    def lender_limit(self, budget: int, rank: int) -> int:
        """Return the part of a rank; the parts of all ranks add up to a quarter."""
        return int(
            _lendable(budget) * (1 - NEXT_LENDER_FRACTION) * NEXT_LENDER_FRACTION**rank
        )


def _lendable(budget: int) -> int:
    return int(budget * LENDABLE_FRACTION)
