"""Hold a turn whose account another process keeps."""

from __future__ import annotations

import asyncio
from typing import Protocol

import msgspec

from ..ids import HostName, Offset, OpeningId, TurnId
from ..ledger.ledger import Ledger
from ..ledger.terms import BudgetVerdict, History, TurnContent, TurnStart
from ..ledger.turns import (
    CALLER_PATIENCE,
    COVER_RETRY,
    LocalTurn,
    content_of,
)
from ..wire.links import Link
from ..wire.messages import (
    Accepted,
    CommitTurnRequest,
    ConfirmTurnRequest,
    CoverTurnRequest,
    Reply,
    TurnCovered,
    TurnOpened,
    TurnRefused,
    TurnVerdict,
)
from .asking import ask

# A stream bears a longer pause than its beginning, and what a delegate has granted
# is lost with it. Seconds.
COVER_FIRST_WORD = 0.4


class Opener(Protocol):
    """Open turns through delegates, and go on here where one is lost."""

    @property
    def ledger(self) -> Ledger:
        """Return the ledger of this process."""

    async def take_over(self, start: TurnStart) -> LocalTurn | BudgetVerdict:
        """Reserve a turn here whose delegate was lost; its history is known."""

    def lost(self, host: HostName, turn: TurnId, reply: Reply) -> None:
        """Note that a delegate was lost with a turn open."""

    def report_end(
        self, link: Link, opening: OpeningId, lifetime: float, *, handed: int
    ) -> None:
        """Tell a delegate the end of a turn, without waiting for its reply."""


class DelegatedTurn:
    """Hold a turn whose account another process keeps.

    If that one is lost, the turn goes on here: tokens are reserved once more
    by this process, and the turn is written by it. The other one is told how much
    went out under its grant, in case it was only late. If that never reaches it,
    all that the turn was covered for there counts as handed out, which is safe.
    """

    def __init__(
        self,
        *,
        opening: OpeningId,
        start: TurnStart,
        opened: TurnOpened,
        host: HostName,
        link: Link,
        turns: Opener,
    ) -> None:
        self._opening = opening
        self._start = start
        self._opened = opened
        self._host = host
        self._link = link
        self._turns = turns
        self._handed = 0
        self._covered = opened.covered
        self._ended = False
        # Whether the delegate knows that it holds the turn for nobody, or is being
        # told; the turn itself may go on here.
        self._end_reported = False
        self._own: LocalTurn | None = None
        self._announced: asyncio.Future[Offset] | None = None

    @property
    def history(self) -> History | None:
        """Return what the turn continues; None at the start of a chain."""
        return self._opened.history

    @property
    def spent(self) -> int:
        """Return the tokens that the program had used before."""
        return self._opened.spent

    @property
    def where(self) -> str:
        """Return which process keeps the account, for the log."""
        if self._own is not None:
            return f"{self._own.where} after all"
        part = "" if self._covered is None else f", {self._covered} held"
        return f"at {self._host}{part}"

    async def verdict(self) -> BudgetVerdict:
        """Wait until it is known whether the turn is granted."""
        if self._own is not None:
            return await self._own.verdict()
        if self._opened.granted:
            return BudgetVerdict.FITS
        request = ConfirmTurnRequest(opening=self._opening)
        reply = await ask(self._link, request)
        if (
            isinstance(reply, TurnVerdict)
            and reply.verdict is not BudgetVerdict.UNCERTAIN
        ):
            self._covered = reply.covered
            return reply.verdict
        if not isinstance(reply, TurnVerdict):
            self._turns.lost(self._host, self._start.terms.turn, reply)
        self._report_end()
        taken = await self._turns.take_over(self._start)
        if isinstance(taken, BudgetVerdict):
            return taken
        self._own = taken
        return await taken.verdict()

    def announce(self) -> None:
        """Write the program of the turn beside its run."""
        self._announced = self._turns.ledger.announce(self._start.terms)

    def covers(self, tokens: int) -> bool:
        """Return whether so many more tokens may go to the caller unasked."""
        if self._own is not None:
            return self._own.covers(tokens)
        return self._covered is None or self._handed + tokens <= self._covered

    async def cover(self, tokens: int) -> bool:
        """Ask for so many more tokens; return whether they may go to the caller."""
        if self._own is not None:
            return await self._own.cover(tokens)
        if self.covers(tokens):
            return True
        covered = await self._cover_there(tokens)
        if covered is not None:
            return covered
        taken = await self._go_on_here()
        return taken is not None and await taken.cover(tokens)

    async def _cover_there(self, tokens: int) -> bool | None:
        """Ask the delegate for more; None where it is lost."""
        request = CoverTurnRequest(
            opening=self._opening,
            total=self._handed + tokens,
            handed=self._handed,
        )
        reply = await ask(self._link, request, first_word=COVER_FIRST_WORD)
        if isinstance(reply, TurnCovered):
            self._covered = reply.covered
            return True
        # The turn's end can overtake this request, which then finds it not open there:
        # a delegate that is well would be passed over, and a rest reserved for nobody.
        if self._ended or isinstance(reply, TurnRefused):
            return False
        self._turns.lost(self._host, self._start.terms.turn, reply)
        return None

    async def _go_on_here(self) -> LocalTurn | None:
        """Reserve the rest of the turn here, as its delegate was lost midway.

        A delegate that only was slow hears what was handed out under its grant.
        What it still claims for this turn may leave no room until it has
        returned that or is known to be lost; the stream waits for it. Else it
        would be cut at once where little is left of the budget.
        """
        self._report_end()
        terms = self._start.terms
        rest = terms.rest(max(1, terms.most - self._handed))
        start = msgspec.structs.replace(self._start, terms=rest)
        deadline = asyncio.get_running_loop().time() + CALLER_PATIENCE
        while not self._ended and asyncio.get_running_loop().time() < deadline:
            taken = await self._turns.take_over(start)
            if isinstance(taken, LocalTurn) and await self._accept(taken):
                self._own = taken
                return taken
            await asyncio.sleep(COVER_RETRY)
        return None

    async def _accept(self, taken: LocalTurn) -> bool:
        """Return whether the turn can go on with what was taken, or give it back."""
        accepted = False
        try:
            fits = await taken.verdict() is BudgetVerdict.FITS
            accepted = fits and not self._ended
        finally:
            # The end of the turn closes only what is in use. Left open by a caller that
            # leaves, this would be missing from the budget for good.
            if not accepted:
                taken.close()
        return accepted

    def hand_out(self, tokens: int) -> None:
        """Count tokens that go to the caller."""
        if self._own is not None:
            self._own.hand_out(tokens)
        else:
            self._handed += tokens

    async def commit(self, given: bytes, produced: bytes) -> None:
        """Make the turn part of the history; return once that is durable."""
        self._ended = True
        content = content_of(self._start, self.history, given, produced)
        if self._own is not None:
            await self._own.commit_for(content)
        else:
            await self._commit_there(content)
        if self._announced is not None:
            await self._announced

    def close(self) -> None:
        """Return what the turn did not use; a second time does nothing."""
        self._ended = True
        if self._own is not None:
            self._own.close()
        self._report_end()

    def _report_end(self) -> None:
        """Tell the delegate what was handed out under its grant, once."""
        if self._end_reported:
            return
        self._end_reported = True
        self._turns.report_end(
            self._link, self._opening, self._start.lifetime, handed=self._handed
        )

    async def _commit_there(self, content: TurnContent) -> None:
        terms = self._start.terms
        request = CommitTurnRequest(
            opening=self._opening, terms=terms, handed=self._handed, content=content
        )
        reply = await ask(self._link, request)
        if isinstance(reply, Accepted):
            self._end_reported = True
            return
        self._report_end()
        # It may have been written there too: the same record under the same key.
        self._turns.lost(self._host, self._start.terms.turn, reply)
        await self._turns.ledger.write(terms, content)
