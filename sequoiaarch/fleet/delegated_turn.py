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
from .delegate_calls import call_delegate

# A stream bears a longer pause than its beginning, and what a delegate has granted
# is lost with it. Seconds.
COVER_FIRST_REPLY_TIMEOUT = 0.4


class TurnManager(Protocol):
    """Open turns through delegates, and go on here where one is lost."""

    @property
    def ledger(self) -> Ledger:
        """Return the ledger of this process."""

    async def reserve_locally(self, start: TurnStart) -> LocalTurn | BudgetVerdict:
        """Reserve a turn here whose delegate was lost; its history is known."""

    def delegate_lost(self, host: HostName, turn: TurnId, reply: Reply) -> None:
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
        turns: TurnManager,
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
        self._fallback: LocalTurn | None = None
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
        if self._fallback is not None:
            return f"{self._fallback.where} after all"
        part = "" if self._covered is None else f", {self._covered} held"
        return f"at {self._host}{part}"

    async def verdict(self) -> BudgetVerdict:
        """Wait until it is known whether the turn is granted."""
        if self._fallback is not None:
            return await self._fallback.verdict()
        if self._opened.granted:
            return BudgetVerdict.FITS
        request = ConfirmTurnRequest(opening=self._opening)
        reply = await call_delegate(self._link, request)
        if (
            isinstance(reply, TurnVerdict)
            and reply.verdict is not BudgetVerdict.UNCERTAIN
        ):
            self._covered = reply.covered
            return reply.verdict
        if not isinstance(reply, TurnVerdict):
            self._turns.delegate_lost(self._host, self._start.terms.turn, reply)
        self._report_end()
        fallback = await self._turns.reserve_locally(self._start)
        if isinstance(fallback, BudgetVerdict):
            return fallback
        self._fallback = fallback
        return await fallback.verdict()

    def announce(self) -> None:
        """Write the program of the turn beside its run."""
        self._announced = self._turns.ledger.announce(self._start.terms)

    def covers(self, tokens: int) -> bool:
        """Return whether so many more tokens may go to the caller unasked."""
        if self._fallback is not None:
            return self._fallback.covers(tokens)
        return self._covered is None or self._handed + tokens <= self._covered

    async def cover(self, tokens: int) -> bool:
        """Ask for so many more tokens; return whether they may go to the caller."""
        if self._fallback is not None:
            return await self._fallback.cover(tokens)
        if self.covers(tokens):
            return True
        covered = await self._cover_at_delegate(tokens)
        if covered is not None:
            return covered
        fallback = await self._fall_back()
        return fallback is not None and await fallback.cover(tokens)

    async def _cover_at_delegate(self, tokens: int) -> bool | None:
        """Ask the delegate for more; None where it is lost."""
        request = CoverTurnRequest(
            opening=self._opening,
            total=self._handed + tokens,
            handed=self._handed,
        )
        reply = await call_delegate(
            self._link, request, first_reply_timeout=COVER_FIRST_REPLY_TIMEOUT
        )
        if isinstance(reply, TurnCovered):
            self._covered = reply.covered
            return True
        # The turn's end can overtake this request, which then finds it not open there:
        # a delegate that is well would be passed over, and a rest reserved for nobody.
        if self._ended or isinstance(reply, TurnRefused):
            return False
        self._turns.delegate_lost(self._host, self._start.terms.turn, reply)
        return None

    async def _fall_back(self) -> LocalTurn | None:
        """Reserve the rest of the turn here, as its delegate was lost midway.

        A delegate that only was slow hears what was handed out under its grant.
        What it still claims for this turn may leave no room until it has
        returned that or is known to be lost; the stream waits for it. Else it
        would be cut at once where little is left of the budget.
        """
        self._report_end()
        terms = self._start.terms
        remaining = terms.rest(max(1, terms.most - self._handed))
        start = msgspec.structs.replace(self._start, terms=remaining)
        deadline = asyncio.get_running_loop().time() + CALLER_PATIENCE
        while not self._ended and asyncio.get_running_loop().time() < deadline:
            fallback = await self._turns.reserve_locally(start)
            if isinstance(fallback, LocalTurn) and await self._accept(fallback):
                self._fallback = fallback
                return fallback
            await asyncio.sleep(COVER_RETRY)
        return None

    async def _accept(self, fallback: LocalTurn) -> bool:
        """Return whether the turn can go on with what was taken, or give it back."""
        accepted = False
        try:
            fits = await fallback.verdict() is BudgetVerdict.FITS
            accepted = fits and not self._ended
        finally:
            # The end of the turn closes only what is in use. Left open by a caller that
            # leaves, this would be missing from the budget for good.
            if not accepted:
                fallback.close()
        return accepted

    def hand_out(self, tokens: int) -> None:
        """Count tokens that go to the caller."""
        if self._fallback is not None:
            self._fallback.hand_out(tokens)
        else:
            self._handed += tokens

    async def commit(self, given: bytes, produced: bytes) -> None:
        """Make the turn part of the history; return once that is durable."""
        self._ended = True
        content = content_of(self._start, self.history, given, produced)
        if self._fallback is not None:
            await self._fallback.commit_for(content)
        else:
            await self._commit_at_delegate(content)
        if self._announced is not None:
            await self._announced

    def close(self) -> None:
        """Return what the turn did not use; a second time does nothing."""
        self._ended = True
        if self._fallback is not None:
            self._fallback.close()
        self._report_end()

    def _report_end(self) -> None:
        """Tell the delegate what was handed out under its grant, once."""
        if self._end_reported:
            return
        self._end_reported = True
        self._turns.report_end(
            self._link, self._opening, self._start.lifetime, handed=self._handed
        )

    async def _commit_at_delegate(self, content: TurnContent) -> None:
        terms = self._start.terms
        request = CommitTurnRequest(
            opening=self._opening, terms=terms, handed=self._handed, content=content
        )
        reply = await call_delegate(self._link, request)
        if isinstance(reply, Accepted):
            self._end_reported = True
            return
        self._report_end()
        # It may have been written there too: the same record under the same key.
        self._turns.delegate_lost(self._host, self._start.terms.turn, reply)
        await self._turns.ledger.write(terms, content)
