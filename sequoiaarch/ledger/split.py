"""Split a budget between the log and lenders that work without it."""

from __future__ import annotations

from typing import Protocol

from .terms import TurnTerms

# This part of a budget is never granted in the log, so that it can be lent while
# the log can't be reached. Programs use 13 % of their budget in the median and
# 36 % at most (99 in 100 of 919 programs of a simulated half minute). What lost
# lenders had counts as spent for minutes: with a half, a program of eight turns
# that had used an eighth was refused after a crash of all processes.
LENT_SHARE = 0.25
# Lenders of one program that follow each other get this share of what the one
# before had: three quarters of the lent part go to the first, and whoever comes
# later takes nothing from those before, dead or alive.
NEXT_LENDER_SHARE = 0.25


class BudgetSplit(Protocol):
    """Say how much of a budget may be had where."""

    def log_limit(self, terms: TurnTerms) -> int:
        """Return the tokens that all grants in the log may add up to."""

    def lender_limit(self, budget: int, rank: int) -> int:
        """Return the tokens that the lender at a place may lend in all."""


class LogOnlySplit:
    """Grant everything in the log; nothing is lent."""

    def log_limit(self, terms: TurnTerms) -> int:
        """Return the whole budget."""
        return terms.budget

    def lender_limit(self, budget: int, rank: int) -> int:
        """Return 0."""
        return 0


class LendingSplit:
    """Lend a quarter of each budget, in disjoint parts for lenders by their place.

    What may be handed out in all stays below the budget and one turn more,
    which is the bound that callers are promised: the log may go one turn past
    its part, so that a budget of up to four turns at their most is granted there
    in full.
    """

    def log_limit(self, terms: TurnTerms) -> int:
        """Return the part that is not lent, and one turn."""
        return min(terms.budget, terms.budget - _lendable(terms.budget) + terms.most)

    def lender_limit(self, budget: int, rank: int) -> int:
        """Return the part of a place; the parts of all places add up to a quarter."""
        return int(
            _lendable(budget) * (1 - NEXT_LENDER_SHARE) * NEXT_LENDER_SHARE**rank
        )


def _lendable(budget: int) -> int:
    return int(budget * LENT_SHARE)
