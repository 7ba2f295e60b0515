"""Track the tokens that this process lends to turns."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field

from ..ids import LoanId, ProgramId
from .split import BudgetSplit
from .terms import TurnTerms

# Accounts outlive the retention of their program by this margin: the tokens of a
# program that resumes must not be lent twice. Seconds.
EXPIRY_MARGIN = 60.0
# How long settled loans are remembered, to reject delayed duplicates of their requests.
# Seconds.
SETTLED_RETENTION = 120.0
# Beyond this number the oldest settled loans are forgotten.
MAX_SETTLED = 20_000


@dataclass(kw_only=True)
class _Account:
    """Tokens lent to one program; `open` maps unsettled loans to their size."""

    retention: float
    last_used: float
    settled: int = 0
    open: dict[LoanId, int] = field(default_factory=dict)

    @property
    def lent(self) -> int:
        """Return the tokens used by settled loans and those of open loans."""
        return self.settled + sum(self.open.values())


class LoanBook:
    """Lend tokens of programs without access to the log.

    Each lender of a program owns a disjoint part of its budget, so no agreement is
    needed: neither with the log, which may be unavailable, nor with earlier lenders,
    which may be dead, hung or cut off. An unsettled loan counts as fully used.
    """

    def __init__(
        self,
        *,
        split: BudgetSplit,
        carried: Callable[[ProgramId], int] = lambda program: 0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._split = split
        self._carried = carried
        self._clock = clock
        self._accounts: dict[ProgramId, _Account] = {}
        # Time at which each loan was settled, oldest first.
        self._settled: dict[LoanId, float] = {}
        self.loans_lent = 0
        self.loans_refused = 0

    def lend(self, loan: LoanId, terms: TurnTerms, rank: int, least: int) -> int:
        """Return the tokens of a loan, 0 if fewer than `least` are available.

        A repeated request for the same loan increases it to what the turn may need.
        """
        # A request that arrives after its settlement would open a loan that nobody
        # closes. Its borrower has gone, so the refusal harms no one.
        if loan in self._settled:
            self.loans_refused += 1
            return 0
        account = self._account(terms)
        before = account.open.get(loan, 0)
        available = self.available(terms.program, terms.budget, rank) + before
        amount = min(terms.most, available)
        if amount <= before or amount < least:
            self.loans_refused += 1
            return before
        account.open[loan] = amount
        self.loans_lent += 1
        return amount

    def available(self, program: ProgramId, budget: int, rank: int) -> int:
        """Return the tokens of a budget that this lender can still lend."""
        account = self._accounts.get(program)
        lent = account.lent if account is not None else 0
        return self._split.lender_limit(budget, rank) - lent - self._carried(program)

    def totals(self) -> dict[ProgramId, int]:
        """Return the tokens lent, by program."""
        return {
            program: account.lent
            for program, account in self._accounts.items()
            if account.lent
        }

    def settle(self, loan: LoanId, program: ProgramId, used: int) -> None:
        """Record what a loan's turn used; the rest can be lent again."""
        self._remember_settled(loan)
        account = self._accounts.get(program)
        if account is None or account.open.pop(loan, None) is None:
            return
        account.settled += used
        account.last_used = self._clock()

    def expired(self) -> list[ProgramId]:
        """Return the programs that have borrowed nothing for long enough."""
        now = self._clock()
        return [
            program
            for program, account in self._accounts.items()
            if account.last_used + account.retention + EXPIRY_MARGIN < now
        ]

    def keep(self, program: ProgramId) -> None:
        """Remember a program that still runs as if it had borrowed now."""
        account = self._accounts.get(program)
        if account is not None:
            account.last_used = self._clock()

    def forget_old(self) -> None:
        """Forget programs that can no longer resume, and loans settled long ago."""
        self._forget_settled(self._clock())
        for program in self.expired():
            del self._accounts[program]

    def _forget_settled(self, now: float) -> None:
        for loan, settled_at in list(self._settled.items()):
            if settled_at + SETTLED_RETENTION < now:
                del self._settled[loan]

    def _remember_settled(self, loan: LoanId) -> None:
        self._settled.pop(loan, None)
        self._settled[loan] = self._clock()
        if len(self._settled) > MAX_SETTLED:
            del self._settled[next(iter(self._settled))]

    def _account(self, terms: TurnTerms) -> _Account:
        now = self._clock()
        account = self._accounts.get(terms.program)
        if account is None:
            account = _Account(retention=terms.retention, last_used=now)
            self._accounts[terms.program] = account
        account.retention = max(account.retention, terms.retention)
        account.last_used = now
        return account
