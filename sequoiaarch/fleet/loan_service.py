"""Lend budget tokens to turns while the log can't grant them."""

from __future__ import annotations

import asyncio
import itertools

from ..ids import HostName, LoanId, WriterId
from ..ledger.loans import LoanBook
from ..ledger.terms import BudgetVerdict, TurnTerms
from ..wire.links import Link
from ..wire.messages import (
    Accepted,
    LendRequest,
    Lent,
    Reply,
    Request,
    SettleRequest,
)
from .claims import Claims, slot_of
from .notifier import ATTEMPT_TIMEOUT, Notifier
from .peer_health import PeerHealth
from .peers import Peers
from .slot_claimer import SlotClaimer
from .turn_server import failure_reply

# Timeout of requests to lenders, which answer from memory. Seconds.
ASK_TIMEOUT = 0.15
# How long settlements are retried, to outlast short freezes and partitions: an
# unsettled loan counts in full for the program's retention. Seconds.
SETTLE_RETRY_PERIOD = 30.0
# Lenders of higher rank have too few tokens to be worth a request.
MAX_LENDERS_ASKED = 2


class Loan:
    """Tokens that a lender provides for a turn."""

    def __init__(
        self, *, loan: LoanId, terms: TurnTerms, tokens: int, service: LoanService
    ) -> None:
        self.terms = terms
        self._loan = loan
        self._tokens = tokens
        self._service = service
        self._used = 0
        self._closed = False

    @property
    def from_log(self) -> bool:
        """Return False: the tokens come from a lender, not from the log."""
        return False

    @property
    def is_granted(self) -> bool:
        """Return True: a loan needs no further confirmation."""
        return True

    @property
    def covered(self) -> int | None:
        """Return the tokens that may be used without a request."""
        return self._tokens

    async def verdict(self) -> BudgetVerdict:
        """Return that the turn fits its budget."""
        return BudgetVerdict.FITS

    async def cover(self, total: int) -> bool:
        """Increase the loan if needed; return whether it covers `total` tokens."""
        if total > self._tokens and not self._closed:
            increased = await self._service.increase(self._loan, self.terms)
            # A request that fails yields 0, but a loan never shrinks: what was lent
            # may have been used already.
            self._tokens = max(self._tokens, increased)
        # A waiting stream may outlast its turn. A settled loan must not cover further
        # tokens.
        return not self._closed and total <= self._tokens

    def record_usage(self, tokens: int) -> None:
        """Count tokens sent to the caller."""
        self._used += tokens

    def close(self) -> None:
        """Settle the loan; idempotent."""
        if not self._closed:
            self._closed = True
            self._service.settle(self._loan, self.terms, self._used)


class LoanService:
    """Lend budget tokens to other processes and borrow from them.

    Programs can start and continue on loans while the store is unavailable and no
    grant can be written.
    """

    def __init__(
        self,
        *,
        writer: WriterId,
        own: HostName,
        peers: Peers,
        book: LoanBook,
        claims: Claims,
        claimer: SlotClaimer,
        peer_health: PeerHealth,
    ) -> None:
        self._writer = writer
        self._own = own
        self._peers = peers
        self._book = book
        self._claims = claims
        self._claimer = claimer
        self._peer_health = peer_health
        self._numbers = itertools.count(1)
        self._lender_links: dict[LoanId, Link | None] = {}
        self._notifier = Notifier(timeout=ATTEMPT_TIMEOUT)

    async def borrow(self, terms: TurnTerms, *, least: int) -> Loan | None:
        """Return a loan of at least `least` tokens; None if no lender grants one."""
        request = LendRequest(loan=self._next_loan(), terms=terms, least=least)
        asked = 0
        for lender in self._claims.lenders_of(slot_of(terms.program)):
            host = self._claimer.host(lender.writer)
            if host is None or not self._peer_health.usable(host):
                continue
            tokens = await self._borrow_from(host, request)
            if tokens:
                return Loan(loan=request.loan, terms=terms, tokens=tokens, service=self)
            asked += 1
            if asked == MAX_LENDERS_ASKED:
                break
        return None

    async def increase(self, loan: LoanId, terms: TurnTerms) -> int:
        """Ask the lender to increase a loan; return its tokens, 0 on failure."""
        link = self._lender_links[loan]
        request = LendRequest(loan=loan, terms=terms, least=0)
        if link is None:
            return self._lend(request)
        reply = await link.call(request, timeout=ASK_TIMEOUT)
        return reply.tokens if isinstance(reply, Lent) else 0

    def settle(self, loan: LoanId, terms: TurnTerms, used: int) -> None:
        """Report the used tokens of a loan to its lender in the background."""
        link = self._lender_links.pop(loan)
        if link is None:
            self._book.settle(loan, terms.program, used)
        else:
            self._send_settlement(link, loan, terms, used)

    def answer(self, request: Request) -> Reply:
        """Handle a request of a borrower."""
        if isinstance(request, LendRequest):
            return Lent(tokens=self._lend(request))
        if isinstance(request, SettleRequest):
            self._book.settle(request.loan, request.program, request.handed)
            return Accepted()
        return failure_reply(f"unexpected request for a lender: {request}")

    def _next_loan(self) -> LoanId:
        return LoanId(f"{self._writer}/{next(self._numbers)}")

    async def _borrow_from(self, host: HostName, request: LendRequest) -> int:
        """Request a loan from a host; return its tokens and record the lender."""
        if host == self._own:
            tokens = self._lend(request)
            if tokens:
                self._lender_links[request.loan] = None
            return tokens
        link = self._peers.link(host)
        if link is None:
            return 0
        try:
            reply = await link.call(request, timeout=ASK_TIMEOUT)
        except asyncio.CancelledError:
            self._send_settlement(link, request.loan, request.terms, 0)
            raise
        if not isinstance(reply, Lent):
            # The tokens may have been lent although the reply was lost: return all.
            self._peer_health.request_failed(host, str(reply))
            self._send_settlement(link, request.loan, request.terms, 0)
            return 0
        self._peer_health.request_succeeded(host)
        if reply.tokens:
            self._lender_links[request.loan] = link
        return reply.tokens

    def _send_settlement(
        self, link: Link, loan: LoanId, terms: TurnTerms, used: int
    ) -> None:
        request = SettleRequest(loan=loan, program=terms.program, handed=used)
        self._notifier.notify(link, request, retry_for=SETTLE_RETRY_PERIOD)

    def _lend(self, request: LendRequest) -> int:
        rank = self._claimer.rank(request.terms.program)
        if rank is None:
            return 0
        return self._book.lend(request.loan, request.terms, rank, request.least)
