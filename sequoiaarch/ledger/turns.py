"""Open turns: find their history, reserve their tokens, commit their end."""

from __future__ import annotations

import asyncio
from typing import Protocol

from ..ids import Offset
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

# A grant that takes longer than this is not waited for where a lender can cover
# the turn: callers leave after two seconds without an event, and a store that
# has gone silent is known to be away only after one. Seconds.
LOG_TIMEOUT = 0.3
# A loan of less than this part of a turn's most would likely be used up before
# the turn ends: turns generate a quarter of their most on average, and 44 % at
# the mean of their length.
MIN_LOAN_SHARE = 0.4
# A stream that has to wait for its budget in the middle does so for as long as
# callers bear without an event, asking again meanwhile. Seconds.
COVER_TIMEOUT = 2.0
COVER_RETRY_INTERVAL = 0.25


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

    def write_index(self) -> None:
        """Write the program of the turn beside its run."""

    def covers(self, tokens: int) -> bool:
        """Return whether so many more tokens may go to the caller unasked."""

    async def cover(self, tokens: int) -> bool:
        """Ask for so many more tokens; return whether they may go to the caller."""

    def record_usage(self, tokens: int) -> None:
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
        hold: Hold,
        ledger: Ledger,
        lender: Lender,
    ) -> None:
        self._start = start
        self._history = history
        self._hold = hold
        self._ledger = ledger
        self._lender = lender
        self._used = 0
        # What was handed out under earlier holds.
        self._used_before = 0
        self._ended = False
        self._spent = ledger.spent(start.terms)
        self._index_write: asyncio.Future[Offset] | None = None

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
        return "here" if self._hold.from_log else f"here, {self.covered} lent"

    @property
    def granted(self) -> bool:
        """Return whether the verdict is known to be good without waiting."""
        return self._hold.granted

    @property
    def covered(self) -> int | None:
        """Return the tokens that may be handed out unasked; None for all."""
        covered = self._hold.covered
        return None if covered is None else self._used_before + covered

    async def verdict(self) -> BudgetVerdict:
        """Wait until it is known whether the turn is granted, or borrow."""
        try:
            async with asyncio.timeout(LOG_TIMEOUT):
                verdict = await self._hold.verdict()
        except TimeoutError:
            verdict = BudgetVerdict.UNCERTAIN
        if verdict not in LENDABLE_VERDICTS:
            return verdict
        loan = await _borrow(self._lender, self._start.terms, verdict)
        if loan is None:
            # Nobody lends: only the log can tell, however long it takes.
            return await self._hold.verdict()
        return BudgetVerdict.FITS if self._replace_hold(loan) else verdict

    def covers(self, tokens: int) -> bool:
        """Return whether so many more tokens may go to the caller unasked."""
        return self.covered is None or self._used + tokens <= self.covered

    async def cover(self, tokens: int) -> bool:
        """Ask for so many more tokens; return whether they may go to the caller."""
        return await self.cover_total(self._used + tokens)

    async def cover_total(self, total: int) -> bool:
        """Return whether the turn may hand out so many tokens in all.

        Where the log doesn't say in time a lender covers the rest, and where a
        loan is used up the log may be back. If neither helps, the stream waits
        for as long as its caller does.
        """
        if await self._cover_in_time(total) or await self._cover_from_other_source(
            total
        ):
            return True
        deadline = asyncio.get_running_loop().time() + COVER_TIMEOUT
        while not self._ended and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(COVER_RETRY_INTERVAL)
            if await self._cover_in_time(total):
                return True
        return False

    async def _cover_in_time(self, total: int) -> bool:
        try:
            async with asyncio.timeout(LOG_TIMEOUT):
                return await self._hold.cover(total - self._used_before)
        except TimeoutError:
            return False

    async def _cover_from_other_source(self, total: int) -> bool:
        """Have a lender cover the rest of the turn in place of the log, or it again."""
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
        """Have another hold cover what is still to come; False if the turn ended."""
        if self._ended:
            # Nobody else would close it, and it would count as handed out; the
            # turn may have ended during any wait for it.
            hold.close()
            return False
        self._hold.close()
        self._hold = hold
        self._used_before = self._used
        return True

    def write_index(self) -> None:
        """Write the program of the turn beside its run."""
        self._index_write = self._ledger.write_index(self._start.terms)

    def record_usage(self, tokens: int) -> None:
        """Count tokens that go to the caller."""
        self._used += tokens
        self._hold.record_usage(tokens)

    async def commit(self, given: bytes, produced: bytes) -> None:
        """Make the turn part of the history; return once that is durable."""
        content = turn_content(self._start, self._history, given, produced)
        await self.commit_content(content)
        if self._index_write is not None:
            await self._index_write

    def record_total_usage(self, total: int) -> None:
        """Count what another process has handed out in all."""
        self.record_usage(max(0, total - self._used))

    async def commit_content(self, content: TurnContent) -> None:
        """Commit what another process relayed and announced."""
        self._ended = True
        await self._ledger.commit(self._hold, content)

    def close(self) -> None:
        """Return what the turn did not use; a second time does nothing."""
        self._ended = True
        self._hold.close()


class LocalTurns:
    """Open turns on accounts of this process."""

    def __init__(self, *, ledger: Ledger, lender: Lender | None = None) -> None:
        self._ledger = ledger
        self._lender = lender or NoLender()

    async def open(self, start: TurnStart) -> LocalTurn | TurnRefusal:
        """Reserve a turn and find its history, or say why not.

        A turn that is kept begins also while the store is away: its events
        reach the caller, and its end waits until the store keeps it.
        """
        history: History | None = None
        if start.kept and start.previous is not None:
            found = await self._ledger.history(start.terms.program, start.previous)
            if isinstance(found, LookupFailure):
                return found
            history = found
        return await self.reserve(start, history)

    async def reserve(
        self, start: TurnStart, history: History | None
    ) -> LocalTurn | BudgetVerdict:
        """Reserve a turn whose history is known, or say why not."""
        hold = await self._hold(start.terms)
        if isinstance(hold, BudgetVerdict):
            return hold
        return LocalTurn(
            start=start,
            history=history,
            hold=hold,
            ledger=self._ledger,
            lender=self._lender,
        )

    async def _hold(self, terms: TurnTerms) -> Hold | BudgetVerdict:
        """Have the log grant a turn, or else a lender cover it."""
        reserving = asyncio.create_task(self._ledger.reserve(terms))
        try:
            await asyncio.wait([reserving], timeout=LOG_TIMEOUT)
            if reserving.done() and reserving.result() not in LENDABLE_VERDICTS:
                return reserving.result()
            verdict = (
                reserving.result() if reserving.done() else BudgetVerdict.UNCERTAIN
            )
            loan = await _borrow(self._lender, terms, verdict)
            if loan is None:
                return await reserving
        except BaseException:
            # Also a caller that leaves just as the grant arrives: the grant would
            # stay held for nobody, and later turns be refused for it.
            _cancel_reservation(reserving)
            raise
        _cancel_reservation(reserving)
        return loan


# Verdicts of the log that don't hold for the part of a budget that is lent.
LENDABLE_VERDICTS = frozenset({BudgetVerdict.UNCERTAIN, BudgetVerdict.EXCEEDED})


async def _borrow(
    lender: Lender, terms: TurnTerms, verdict: Reservation | BudgetVerdict
) -> Hold | None:
    """Borrow where the log has no more, or can't say whether it has.

    A turn that gets less than its most is broken off where it needs more. In
    an outage that is better than none; near the end of a budget it is not.
    """
    uncertain = verdict is BudgetVerdict.UNCERTAIN
    least = int(terms.most * MIN_LOAN_SHARE) if uncertain else terms.most
    return await lender.borrow(terms, least=least)


def _cancel_reservation(reserving: asyncio.Task[Reservation | BudgetVerdict]) -> None:
    """Give back what the log grants too late."""
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
