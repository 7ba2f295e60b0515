"""Open turns: look up their history, reserve their tokens and commit them."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ..ids import HostName, InstanceId, Offset
from ..policies.program_placement import ProgramDemand
from ..reply_timeout import reply_timeout
from .holds import Hold, Lender, NoLender
from .ledger import Ledger
from .reservation import Reservation
from .terms import (
    BudgetVerdict,
    History,
    LookupFailure,
    TurnContent,
    TurnStart,
    TurnTerms,
)

TurnRefusal = LookupFailure | BudgetVerdict

# How long to wait for the log before asking a lender. Callers give up after two seconds
# without an event. Seconds.
LOG_TIMEOUT = 0.3
# Smallest useful loan, as a fraction of the turn's maximum; most turns would use up a
# smaller one before they end.
MIN_LOAN_FRACTION = 0.4
# How long a stream waits for more budget, about as long as callers wait for an event,
# and the interval of its retries. Seconds.
COVER_TIMEOUT = 2.0
COVER_RETRY_INTERVAL = 0.25


@dataclass(kw_only=True)
class TurnEngine:
    """Engine that a turn should run on, and the one that ran it.

    `placed_by` is the owner that assigned the turn's program to `home`, None if that
    was done earlier. `on_end` is called with `ran_at` at the end of the turn.
    """

    home: InstanceId | None = None
    placed_by: HostName | None = None
    ran_at: InstanceId | None = None
    on_end: Callable[[InstanceId | None], None] | None = None

    def end(self) -> None:
        """Report the end of the turn; further calls do nothing."""
        on_end, self.on_end = self.on_end, None
        if on_end is not None:
            on_end(self.ran_at)


class OpenTurn(Protocol):
    """A turn from its reservation to its end."""

    @property
    def engine(self) -> TurnEngine:
        """Return where the turn should run and did run."""

    @property
    def history(self) -> History | None:
        """Return the history that the turn continues; None if it starts a new one."""

    @property
    def spent(self) -> int:
        """Return the tokens that the program had used before the turn."""

    @property
    def where(self) -> str:
        """Return which process keeps the account, for log lines."""

    async def verdict(self) -> BudgetVerdict:
        """Wait until it is known whether the turn is granted."""

    def write_index(self) -> None:
        """Start to write the index record of the turn."""

    def covers(self, tokens: int) -> bool:
        """Return whether `tokens` more may be sent without a further request."""

    async def cover(self, tokens: int) -> bool:
        """Request `tokens` more; return whether they may be sent to the caller."""

    def record_usage(self, tokens: int) -> None:
        """Count tokens that were sent to the caller."""

    async def commit(self, given: bytes, produced: bytes) -> None:
        """Append the turn to the history; return once it is durable."""

    def close(self) -> None:
        """Release what the turn did not use; further calls do nothing."""


class Turns(Protocol):
    """Open turns of programs, locally or through another process."""

    async def open(
        self, start: TurnStart, demand: ProgramDemand | None = None
    ) -> OpenTurn | TurnRefusal:
        """Reserve a turn and look up its history, or return why that is refused.

        With a demand, a program that begins is also assigned to an engine; raises
        FailureError if no engine has room.
        """


class TurnOpener(Protocol):
    """Open turns on accounts of this process."""

    async def open(
        self, start: TurnStart, demand: ProgramDemand | None = None
    ) -> LocalTurn | TurnRefusal:
        """Reserve a turn and look up its history, as in `Turns`."""


class LocalTurn:
    """A turn whose budget account is kept by this process."""

    def __init__(
        self,
        *,
        start: TurnStart,
        history: History | None,
        hold: Hold,
        ledger: Ledger,
        lender: Lender,
    ) -> None:
        self._start = start
        self._history = history
        self._hold = hold
        self._ledger = ledger
        self._lender = lender
        self.engine = TurnEngine()
        self._used = 0
        # Tokens used under earlier holds.
        self._used_before = 0
        self._ended = False
        self._spent = ledger.spent(start.terms)
        self._index_write: asyncio.Future[Offset] | None = None

    @property
    def history(self) -> History | None:
        """Return the history that the turn continues; None if it starts a new one."""
        return self._history

    @property
    def spent(self) -> int:
        """Return the tokens that the program had used before the turn."""
        return self._spent

    @property
    def where(self) -> str:
        """Return which process keeps the account, for log lines."""
        return "here" if self._hold.from_log else f"here, {self.covered} lent"

    @property
    def is_granted(self) -> bool:
        """Return whether the turn is already known to fit."""
        return self._hold.is_granted

    @property
    def covered(self) -> int | None:
        """Return the tokens that may be used without a request; None for all."""
        covered = self._hold.covered
        return None if covered is None else self._used_before + covered

    async def verdict(self) -> BudgetVerdict:
        """Wait until it is known whether the turn is granted; borrow if it is late."""
        try:
            async with reply_timeout(LOG_TIMEOUT):
                verdict = await self._hold.verdict()
        except TimeoutError:
            verdict = BudgetVerdict.UNCERTAIN
        if verdict not in LENDABLE_VERDICTS:
            return verdict
        loan = await _borrow(self._lender, self._start.terms, verdict)
        if loan is None:
            # No lender can help, so wait for the log.
            return await self._hold.verdict()
        return BudgetVerdict.FITS if self._replace_hold(loan) else verdict

    def covers(self, tokens: int) -> bool:
        """Return whether `tokens` more may be sent without a further request."""
        return self.covered is None or self._used + tokens <= self.covered

    async def cover(self, tokens: int) -> bool:
        """Request `tokens` more; return whether they may be sent to the caller."""
        return await self.cover_total(self._used + tokens)

    async def cover_total(self, total: int) -> bool:
        """Return whether the turn may use `total` tokens.

        If the log does not answer in time, a lender covers the rest; if a loan is used
        up, the log is asked again. If neither helps, the stream retries for up to
        `COVER_TIMEOUT`.
        """
        if await self._cover_in_time(total) or await self._switch_source(total):
            return True
        deadline = asyncio.get_running_loop().time() + COVER_TIMEOUT
        while not self._ended and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(COVER_RETRY_INTERVAL)
            if await self._cover_in_time(total):
                return True
        return False

    async def _cover_in_time(self, total: int) -> bool:
        try:
            async with reply_timeout(LOG_TIMEOUT):
                return await self._hold.cover(total - self._used_before)
        except TimeoutError:
            return False

    async def _switch_source(self, total: int) -> bool:
        """Cover the rest of the turn by a lender instead of the log, or the reverse."""
        most = max(total, self._start.terms.most)
        terms = self._start.terms.remainder(most - self._used)
        hold: Hold | BudgetVerdict | None
        if self._hold.from_log:
            hold = await self._lender.borrow(terms, least=total - self._used)
        else:
            hold = await self._ledger.reserve(terms)
        if hold is None or isinstance(hold, BudgetVerdict):
            return False
        if not self._replace_hold(hold):
            return False
        return await hold.verdict() is BudgetVerdict.FITS

    def _replace_hold(self, hold: Hold) -> bool:
        """Continue the turn on another hold; return False if the turn has ended."""
        if self._ended:
            # The turn ended while the hold was requested; an open hold would count as
            # used.
            hold.close()
            return False
        self._hold.close()
        self._hold = hold
        self._used_before = self._used
        return True

    def write_index(self) -> None:
        """Start to write the index record of the turn."""
        self._index_write = self._ledger.write_index(self._start.terms)

    def record_usage(self, tokens: int) -> None:
        """Count tokens that were sent to the caller."""
        self._used += tokens
        self._hold.record_usage(tokens)

    async def commit(self, given: bytes, produced: bytes) -> None:
        """Append the turn to the history; return once it is durable."""
        content = turn_content(self._start, self._history, given, produced)
        await self.commit_content(content)
        if self._index_write is not None:
            await self._index_write

    def record_total_usage(self, total: int) -> None:
        """Count what another process has sent to the caller in total."""
        self.record_usage(max(0, total - self._used))

    async def commit_content(self, content: TurnContent) -> None:
        """Commit content relayed by another process, which writes the index record."""
        self._ended = True
        self.engine.end()
        await self._ledger.commit(self._hold, content)

    def close(self) -> None:
        """Release what the turn did not use; further calls do nothing."""
        self._ended = True
        self.engine.end()
        self._hold.close()


class LocalTurns:
    """Open turns on accounts of this process."""

    def __init__(self, *, ledger: Ledger, lender: Lender | None = None) -> None:
        self._ledger = ledger
        self._lender = lender or NoLender()

    async def open(
        self, start: TurnStart, demand: ProgramDemand | None = None
    ) -> LocalTurn | TurnRefusal:
        """Reserve a turn and look up its history, or return why that is refused.

        A turn that is kept may begin while the store is unavailable. Its events reach
        the caller, and its commit waits for the store.
        """
        history: History | None = None
        if start.kept and start.previous is not None:
            result = await self._ledger.history(start.terms.program, start.previous)
            if isinstance(result, LookupFailure):
                return result
            history = result
        return await self.reserve(start, history)

    async def reserve(
        self, start: TurnStart, history: History | None
    ) -> LocalTurn | BudgetVerdict:
        """Reserve a turn whose history is known, or return why that is refused."""
        hold = await self._obtain_hold(start.terms)
        if isinstance(hold, BudgetVerdict):
            return hold
        return LocalTurn(
            start=start,
            history=history,
            hold=hold,
            ledger=self._ledger,
            lender=self._lender,
        )

    async def _obtain_hold(self, terms: TurnTerms) -> Hold | BudgetVerdict:
        """Obtain a hold from the log, or else from a lender."""
        reserving = asyncio.create_task(self._ledger.reserve(terms))
        try:
            with contextlib.suppress(TimeoutError):
                async with reply_timeout(LOG_TIMEOUT):
                    await asyncio.wait([reserving])
            if reserving.done() and reserving.result() not in LENDABLE_VERDICTS:
                return reserving.result()
            verdict = (
                reserving.result() if reserving.done() else BudgetVerdict.UNCERTAIN
            )
            loan = await _borrow(self._lender, terms, verdict)
            if loan is None:
                return await reserving
        except BaseException:
            # Also when the caller is cancelled just as the grant arrives: nobody would
            # release it otherwise.
            _cancel_reservation(reserving)
            raise
        _cancel_reservation(reserving)
        return loan


# Verdicts of the log after which a lender may still cover the turn.
LENDABLE_VERDICTS = frozenset({BudgetVerdict.UNCERTAIN, BudgetVerdict.EXCEEDED})


async def _borrow(
    lender: Lender, terms: TurnTerms, verdict: Reservation | BudgetVerdict
) -> Hold | None:
    """Borrow if the log has no more tokens, or can't say whether it has.

    A turn with less than its maximum may be cut off. That is accepted while the log is
    unavailable, but not near the end of a budget.
    """
    uncertain = verdict is BudgetVerdict.UNCERTAIN
    least = int(terms.most * MIN_LOAN_FRACTION) if uncertain else terms.most
    return await lender.borrow(terms, least=least)


def _cancel_reservation(reserving: asyncio.Task[Reservation | BudgetVerdict]) -> None:
    """Cancel a reservation, and release it if it is granted nevertheless."""
    reserving.add_done_callback(_close_reserved)
    reserving.cancel()


def _close_reserved(reserving: asyncio.Task[Reservation | BudgetVerdict]) -> None:
    reserved = None if reserving.cancelled() else reserving.result()
    if isinstance(reserved, Reservation):
        reserved.close()


def turn_content(
    start: TurnStart, history: History | None, given: bytes, produced: bytes
) -> TurnContent:
    """Return what a turn adds to its program's history."""
    if history is None or history.own:
        return TurnContent(parent=start.previous, given=given, produced=produced)
    return TurnContent(parent=None, given=given, produced=produced, base=history.prompt)
