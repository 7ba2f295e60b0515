"""Say what a turn needs of whoever covers its tokens."""

from __future__ import annotations

from typing import Protocol

from .terms import BudgetVerdict, TurnTerms


class Hold(Protocol):
    """Hold the part of a budget that one turn may use."""

    @property
    def terms(self) -> TurnTerms:
        """Return the terms of the turn."""

    @property
    def from_log(self) -> bool:
        """Return whether the log grants it; else a lender covers it."""

    @property
    def granted(self) -> bool:
        """Return whether the verdict is known to be good without waiting."""

    @property
    def covered(self) -> int | None:
        """Return the tokens that may be handed out unasked; None for all."""

    async def verdict(self) -> BudgetVerdict:
        """Wait until it is known whether the turn may begin."""

    async def cover(self, total: int) -> bool:
        """Return whether the turn may hand out so many tokens in all."""

    def record_usage(self, tokens: int) -> None:
        """Count tokens that go to the caller."""

    def close(self) -> None:
        """Return what the turn did not use; a second time does nothing."""


class Lender(Protocol):
    """Cover turns that the log can't grant at present."""

    async def borrow(self, terms: TurnTerms, *, least: int) -> Hold | None:
        """Return a loan of `least` tokens or more; None where there is none."""


class NoLender:
    """Lend nothing."""

    async def borrow(self, terms: TurnTerms, *, least: int) -> Hold | None:
        """Return None."""
        return None
