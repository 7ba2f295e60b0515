"""Stand for a lender that takes its time."""

from __future__ import annotations

import asyncio

from ...ledger.holds import Hold
from ...ledger.terms import BudgetVerdict, TurnTerms


class WholeLoan:
    """Stand for a loan that covers a whole turn."""

    def __init__(self, *, terms: TurnTerms) -> None:
        self.terms = terms
        self.from_log = False
        self.granted = True
        self.covered: int | None = terms.most
        self.closed = False

    async def verdict(self) -> BudgetVerdict:
        """Return that the turn may begin."""
        return BudgetVerdict.FITS

    async def cover(self, total: int) -> bool:
        """Return whether so many tokens may be handed out."""
        return total <= self.terms.most

    def record_usage(self, tokens: int) -> None:
        """Count nothing."""

    def close(self) -> None:
        """Note that it was settled."""
        self.closed = True


class SlowLender:
    """Lend once the test lets it."""

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
