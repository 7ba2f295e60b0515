"""Provide a lender whose answers are delayed until the test allows them."""

from __future__ import annotations

import asyncio

from ...ledger.holds import Hold
from ...ledger.terms import BudgetVerdict, TurnTerms


class WholeLoan:
    """Loan that covers a whole turn."""

    def __init__(self, *, terms: TurnTerms) -> None:
        self.terms = terms
        self.from_log = False
        self.is_granted = True
        self.covered: int | None = terms.most
        self.closed = False

    async def verdict(self) -> BudgetVerdict:
        """Return that the turn may begin."""
        return BudgetVerdict.FITS

    async def cover(self, total: int) -> bool:
        """Return whether `total` tokens may be used."""
        return total <= self.terms.most

    def record_usage(self, tokens: int) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Mark the loan as settled."""
        self.closed = True


class SlowLender:
    """Lender that answers once `answer` is set."""

    def __init__(self) -> None:
        self.asked = asyncio.Event()
        self.answer = asyncio.Event()
        self.loans: list[WholeLoan] = []

    async def borrow(self, terms: TurnTerms, *, least: int) -> Hold | None:
        """Return a loan."""
        self.asked.set()
        await self.answer.wait()
        self.loans.append(WholeLoan(terms=terms))
        return self.loans[-1]
