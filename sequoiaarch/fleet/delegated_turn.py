"""A turn whose budget account is kept by another process."""

from __future__ import annotations

import asyncio
from typing import Protocol

import msgspec

from ..ids import HostName, InstanceId, Offset, OpeningId, TurnId
from ..ledger.ledger import Ledger
from ..ledger.terms import BudgetVerdict, History, TurnContent, TurnStart
from ..ledger.turns import (
    COVER_RETRY_INTERVAL,
    COVER_TIMEOUT,
    LocalTurn,
    TurnEngine,
    turn_content,
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

# Longer than for other requests: a running stream tolerates a pause, and giving up
# on the delegate loses the tokens that it granted. Seconds.
COVER_FIRST_REPLY_TIMEOUT = 0.4


class TurnManager(Protocol):
    """What a delegated turn needs from the process that opened it."""

    @property
    def ledger(self) -> Ledger:
        """Return the ledger of this process."""

    async def reserve_locally(self, start: TurnStart) -> LocalTurn | BudgetVerdict:
        """Reserve tokens in this process for a turn whose delegate was lost."""

    def delegate_lost(self, host: HostName, turn: TurnId, reply: Reply) -> None:
        """Record that a delegate failed while a turn was open."""

    def report_end(
        self,
        link: Link,
        opening: OpeningId,
        lifetime: float,
        *,
        used: int,
        ran_at: InstanceId | None = None,
    ) -> None:
        """Report the end of a turn to its delegate in the background."""


class DelegatedTurn:
    """A turn whose budget account is kept by another process, its delegate.

    If the delegate is lost, this process reserves the tokens again and writes the
    turn itself. It reports to the delegate how many tokens went out under its grant,
    in case the delegate was only slow. If that report is lost, the delegate counts
    the whole grant as used, so the budget is never exceeded.
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
        self.engine = TurnEngine(home=opened.home, placed_by=opened.placed_by)
        self._used = 0
        self._covered = opened.covered
        self._ended = False
        # Set once the end is reported to the delegate, separately or by a commit. The
        # turn itself may continue in this process.
        self._end_reported = False
        self._fallback: LocalTurn | None = None
        self._index_write: asyncio.Future[Offset] | None = None

    @property
    def history(self) -> History | None:
        """Return the history that the turn continues; None if it starts a new one."""
        return self._opened.history

    @property
    def spent(self) -> int:
        """Return the tokens that the program had used before this turn."""
        return self._opened.spent

    @property
    def where(self) -> str:
        """Return which process keeps the account, for log lines."""
        if self._fallback is not None:
            return f"{self._fallback.where} after all"
        suffix = "" if self._covered is None else f", {self._covered} held"
        return f"at {self._host}{suffix}"

    async def verdict(self) -> BudgetVerdict:
        """Wait until the turn is granted or refused."""
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

    def write_index(self) -> None:
        """Start writing the turn's program to the index."""
        self._index_write = self._turns.ledger.write_index(self._start.terms)

    def covers(self, tokens: int) -> bool:
        """Return whether the grant covers this many more tokens."""
        if self._fallback is not None:
            return self._fallback.covers(tokens)
        return self._covered is None or self._used + tokens <= self._covered

    async def cover(self, tokens: int) -> bool:
        """Extend the grant if needed; return whether it covers the tokens."""
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
        """Ask the delegate to extend its grant; None if the delegate is lost."""
        request = CoverTurnRequest(
            opening=self._opening,
            total=self._used + tokens,
            handed=self._used,
        )
        reply = await call_delegate(
            self._link, request, first_reply_timeout=COVER_FIRST_REPLY_TIMEOUT
        )
        if isinstance(reply, TurnCovered):
            self._covered = reply.covered
            return True
        # The end of the turn can overtake this request. The failure then says nothing
        # about the delegate's health, and nothing is left to reserve.
        if self._ended or isinstance(reply, TurnRefused):
            return False
        self._turns.delegate_lost(self._host, self._start.terms.turn, reply)
        return None

    async def _fall_back(self) -> LocalTurn | None:
        """Reserve the rest of the turn in this process, as its delegate is lost.

        The grant of the lost delegate may leave no room in a small budget until it is
        released or expires. The stream waits for that instead of being cut off.
        """
        self._report_end()
        terms = self._start.terms
        remaining = terms.remainder(max(1, terms.most - self._used))
        start = msgspec.structs.replace(self._start, terms=remaining)
        deadline = asyncio.get_running_loop().time() + COVER_TIMEOUT
        while not self._ended and asyncio.get_running_loop().time() < deadline:
            fallback = await self._turns.reserve_locally(start)
            if isinstance(fallback, LocalTurn) and await self._accept(fallback):
                self._fallback = fallback
                return fallback
            await asyncio.sleep(COVER_RETRY_INTERVAL)
        return None

    async def _accept(self, fallback: LocalTurn) -> bool:
        """Return whether the turn can use a reservation; close it otherwise."""
        accepted = False
        try:
            fits = await fallback.verdict() is BudgetVerdict.FITS
            accepted = fits and not self._ended
        finally:
            # The end of the turn closes only the reservation in use. An unused one that
            # stays open when the caller leaves would block its part of the budget.
            if not accepted:
                fallback.close()
        return accepted

    def record_usage(self, tokens: int) -> None:
        """Count tokens sent to the caller."""
        if self._fallback is not None:
            self._fallback.record_usage(tokens)
        else:
            self._used += tokens

    async def commit(self, given: bytes, produced: bytes) -> None:
        """Append the turn to the history; return when that is durable."""
        self._ended = True
        content = turn_content(self._start, self.history, given, produced)
        if self._fallback is not None:
            await self._fallback.commit_content(content)
        else:
            await self._commit_at_delegate(content)
        if self._index_write is not None:
            await self._index_write

    def close(self) -> None:
        """Release unused tokens; idempotent."""
        self._ended = True
        if self._fallback is not None:
            self._fallback.close()
        self._report_end()

    def _report_end(self) -> None:
        """Report the end and the used tokens to the delegate; idempotent."""
        if self._end_reported:
            return
        self._end_reported = True
        self._turns.report_end(
            self._link,
            self._opening,
            self._start.lifetime,
            used=self._used,
            ran_at=self.engine.ran_at,
        )

    async def _commit_at_delegate(self, content: TurnContent) -> None:
        terms = self._start.terms
        request = CommitTurnRequest(
            opening=self._opening,
            terms=terms,
            handed=self._used,
            content=content,
            ran_at=self.engine.ran_at,
        )
        reply = await call_delegate(self._link, request)
        if isinstance(reply, Accepted):
            self._end_reported = True
            return
        self._report_end()
        # The delegate may have written it too; the record and its key are the same.
        self._turns.delegate_lost(self._host, self._start.terms.turn, reply)
        await self._turns.ledger.write(terms, content)
