"""Open turns: find their history, reserve their tokens, commit their end."""

from __future__ import annotations

import asyncio
from typing import Protocol

from ..ids import Offset
from .budgets import Reservation
from .ledger import Ledger
from .terms import BudgetVerdict, History, Lookup, TurnContent, TurnStart

TurnRefusal = Lookup | BudgetVerdict


class OpenTurn(Protocol):
    """Hold a turn from its reservation to its end."""

    @property
    def history(self) -> History | None:
        """Return what the turn continues; None at the start of a chain."""

    @property
    def spent(self) -> int:
        """Return the tokens that the program had used before."""

    @property
    def where(self) -> str:
        """Return which process keeps the account, for the log."""

    async def verdict(self) -> BudgetVerdict:
        """Wait until it is known whether the turn is granted."""

    def announce(self) -> None:
        """Write the program of the turn beside its run."""

    def hand_out(self, tokens: int) -> None:
        """Count tokens that go to the caller."""

    async def commit(self, given: bytes, produced: bytes) -> None:
        """Make the turn part of the history; return once that is durable."""

    def close(self) -> None:
        """Return what the turn did not use; a second time does nothing."""


class Turns(Protocol):
    """Open the turns of programs."""

    async def open(self, start: TurnStart) -> OpenTurn | TurnRefusal:
        """Reserve a turn and find its history, or say why not."""


class LocalTurn:
    """Hold a turn whose account this process keeps."""

    def __init__(
        self,
        *,
        start: TurnStart,
        history: History | None,
        reservation: Reservation,
        ledger: Ledger,
    ) -> None:
        self._start = start
        self._history = history
        self._reservation = reservation
        self._ledger = ledger
        self._spent = ledger.spent(start.terms)
        self._announced: asyncio.Future[Offset] | None = None

    @property
    def history(self) -> History | None:
        """Return what the turn continues; None at the start of a chain."""
        return self._history

    @property
    def spent(self) -> int:
        """Return the tokens that the program had used before."""
        return self._spent

    @property
    def where(self) -> str:
        """Return which process keeps the account, for the log."""
        return "here"

    @property
    def granted(self) -> bool:
        """Return whether the verdict is known to be good without waiting."""
        return self._reservation.granted

    async def verdict(self) -> BudgetVerdict:
        """Wait until it is known whether the turn is granted."""
        return await self._reservation.verdict()

    def announce(self) -> None:
        """Write the program of the turn beside its run."""
        self._announced = self._ledger.announce(self._start.terms)

    def hand_out(self, tokens: int) -> None:
        """Count tokens that go to the caller."""
        self._reservation.hand_out(tokens)

    async def commit(self, given: bytes, produced: bytes) -> None:
        """Make the turn part of the history; return once that is durable."""
        content = content_of(self._start, self._history, given, produced)
        await self._ledger.commit(self._reservation, content)
        if self._announced is not None:
            await self._announced

    async def commit_for(self, content: TurnContent) -> None:
        """Commit what another process relayed and announced."""
        await self._ledger.commit(self._reservation, content)

    def close(self) -> None:
        """Return what the turn did not use; a second time does nothing."""
        self._reservation.close()


class LocalTurns:
    """Open turns on accounts of this process."""

    def __init__(self, *, ledger: Ledger) -> None:
        self._ledger = ledger

    async def open(self, start: TurnStart) -> LocalTurn | TurnRefusal:
        """Reserve a turn and find its history, or say why not."""
        history: History | None = None
        if start.kept and self._ledger.stuck(start.terms.program):
            return Lookup.UNCERTAIN
        if start.kept and start.previous is not None:
            found = await self._ledger.history(start.terms.program, start.previous)
            if isinstance(found, Lookup):
                return found
            history = found
        reserved = await self._ledger.reserve(start.terms)
        if isinstance(reserved, BudgetVerdict):
            return reserved
        return LocalTurn(
            start=start, history=history, reservation=reserved, ledger=self._ledger
        )


def content_of(
    start: TurnStart, history: History | None, given: bytes, produced: bytes
) -> TurnContent:
    """Return what a turn adds to its program's history."""
    if history is None or history.own:
        return TurnContent(parent=start.previous, given=given, produced=produced)
    return TurnContent(parent=None, given=given, produced=produced, base=history.prompt)
