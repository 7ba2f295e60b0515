"""Define the interface of token holds and of lenders."""

from __future__ import annotations

from typing import Protocol

from .terms import BudgetVerdict, TurnTerms


class Hold(Protocol):
    """A part of a program's budget that is set aside for one turn."""

    @property
    def terms(self) -> TurnTerms:
        """Return the terms of the turn."""

    @property
    def from_log(self) -> bool:
        """Return True if the log granted it, False if a lender did."""

    @property
    def is_granted(self) -> bool:
        """Return whether the turn is already known to fit."""

    @property
    def covered(self) -> int | None:
        """Return the tokens that may be used without a request; None for all."""

    async def verdict(self) -> BudgetVerdict:
        """Wait until it is known whether the turn may begin."""

    async def cover(self, total: int) -> bool:
        """Return whether the turn may use `total` tokens, requesting more if needed."""

    def record_usage(self, tokens: int) -> None:
        """Count tokens that were sent to the caller."""

    def close(self) -> None:
        """Release what the turn did not use; further calls do nothing."""


class Lender(Protocol):
    """Cover turns that the log can't grant at present."""

    async def borrow(self, terms: TurnTerms, *, least: int) -> Hold | None:
        """Return a loan of at least `least` tokens; None if there is none."""


class NoLender:
    """Lender for deployments without lending."""

    async def borrow(self, terms: TurnTerms, *, least: int) -> Hold | None:
        """Return None."""
        return None
