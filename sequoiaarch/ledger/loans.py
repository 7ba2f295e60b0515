"""Account for the tokens that this process lends to turns."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field

from ..ids import LoanId, ProgramId
from .split import BudgetSplit
from .terms import TurnTerms

# Loans are remembered for this time beyond the retention of their program: one
# that is forgotten while its program may come back could be lent again. Seconds.
FORGET_AFTER = 60.0
# A request that comes after its loan was settled may be as late as this, since a
# connection that is cut holds and repeats it. Seconds.
SETTLED_RETENTION = 120.0
# With more settled loans the oldest are forgotten.
MAX_SETTLED = 20_000


@dataclass(kw_only=True)
class _Account:
    """Hold what was lent to one program; `open` holds loans not yet settled."""

    retention: float
    last_used: float
    settled: int = 0
    open: dict[LoanId, int] = field(default_factory=dict)

    @property
    def lent(self) -> int:
        """Return what may have been settled out."""
        return self.settled + sum(self.open.values())


class LoanBook:
    """Lend tokens of programs without asking the log.

    Each lender of a program has a part of the budget that nobody else hands
    out, so nothing has to be agreed on: not with the log, which may be away,
    nor with earlier lenders, which may be dead, frozen or cut off. What is
    not settled counts as handed out.
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
        # When each loan was settled, the oldest first.
        self._settled: dict[LoanId, float] = {}
        self.lent = 0
        self.refused = 0

    def lend(self, loan: LoanId, terms: TurnTerms, rank: int, least: int) -> int:
        """Return how many tokens a loan has now, 0 where fewer than `least` are left.

        Asked again for the same loan, it is raised to what the turn may need.
        """
        # A request that comes after its settlement would open a loan that nobody
        # closes. Its borrower has left, so a refusal takes nothing from anyone.
        if loan in self._settled:
            self.refused += 1
            return 0
        account = self._account(terms)
        before = account.open.get(loan, 0)
        available = self.available(terms.program, terms.budget, rank) + before
        amount = min(terms.most, available)
        if amount <= before or amount < least:
            self.refused += 1
            return before
        account.open[loan] = amount
        self.lent += 1
        return amount

    def available(self, program: ProgramId, budget: int, rank: int) -> int:
        """Return the tokens of a budget that are not lent yet."""
        account = self._accounts.get(program)
        lent = account.lent if account is not None else 0
        return self._split.lender_limit(budget, rank) - lent - self._carried(program)

    def totals(self) -> dict[ProgramId, int]:
        """Return what was lent of each program."""
        return {
            program: account.lent
            for program, account in self._accounts.items()
            if account.lent
        }

    def settle(self, loan: LoanId, program: ProgramId, used: int) -> None:
        """Count what a loan's turn handed out; the rest can be lent again."""
        self._remember_settled(loan)
        account = self._accounts.get(program)
        if account is None or account.open.pop(loan, None) is None:
            return
        account.settled += used
        account.last_used = self._clock()

    def forget_old(self) -> None:
        """Forget programs that can no longer come back, and loans long settled."""
        now = self._clock()
        self._forget_settled(now)
        for program, account in list(self._accounts.items()):
            if account.last_used + account.retention + FORGET_AFTER < now:
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
