"""Hold the part of a budget that one turn may use, and raise it while it runs."""

from __future__ import annotations

import asyncio
import math
from typing import Protocol

from .account import Account, TurnAllocation
from .terms import BudgetVerdict, TurnTerms

# Of a turn that begins where little is left of a budget so much of its most is
# held, and again so much each time that this is nearly used up. Turns generate a
# quarter of their most on average, so that most of them need no second call.
RESERVED_SHARE = 1 / 3
# A wait for a grant looks so often whether the store is away meanwhile. Seconds.
STORE_CHECK_INTERVAL = 0.1


class GrantUpdater(Protocol):
    """Ask the log for what an account needs, and return what it does not."""

    def raise_grant(self, account: Account) -> None:
        """Ask for a larger grant."""

    def has_free(self, account: Account, tokens: int) -> bool:
        """Return whether so much is free beside what all turns may come to."""

    def turn_ended(self, account: Account, *, unused: bool) -> None:
        """Return what an ended turn leaves, where it may be missing."""


class Reservation:
    """Hold the part of a budget that one turn may use.

    Where much of the budget is left the whole turn is granted at once. Else a
    part of it is, and more while the turn runs: turns generate a quarter of
    their most on average, and what a lost process held counts as spent. Were
    whole turns held, a power loss would have a program whose budget holds two
    refused for good with less than one of them handed out.
    """

    def __init__(
        self,
        *,
        terms: TurnTerms,
        account: Account,
        allocation: TurnAllocation,
        updater: GrantUpdater,
    ) -> None:
        self.terms = terms
        self._updater = updater
        self._account = account
        self._allocation = allocation
        self._closed = False
        self._used = 0
        account.open.append(allocation)

    @property
    def granted(self) -> bool:
        """Return whether the grant is known to cover what the turn holds.

        Who reads that it does may hand that out, so it is marked as sure.
        """
        return self._account.confirm(self._allocation)

    @property
    def from_log(self) -> bool:
        """Return True: the log grants it."""
        return True

    async def verdict(self) -> BudgetVerdict:
        """Wait until it is known whether the turn may begin.

        Others may have begun turns at the same moment that leave no room for
        the rest of this one; it would be cut midway.
        """
        verdict = await self._wait_for_grant()
        fits = verdict is BudgetVerdict.FITS
        if fits and not self._account.can_complete(self._allocation):
            return BudgetVerdict.EXCEEDED
        return verdict

    @property
    def covered(self) -> int | None:
        """Return the tokens that may be handed out unasked; None for all."""
        # One that was closed may hand out no more: what it held is granted to others.
        if self._closed:
            return self._used
        return (
            None
            if self._allocation.fully_reserved
            else self._used + self._allocation.reserved
        )

    async def cover(self, total: int) -> bool:
        """Return whether the turn may hand out so many tokens in all."""
        if self._closed:
            return False
        missing = total - self._used - self._allocation.reserved
        if missing > 0:
            if self._allocation.superseded and not self._reclaim(missing):
                return False
            self._reserve_more(self._allocation, missing)
        # A raise that did not hold is asked for again: what was in its way may have
        # been returned since.
        covered = self._account.covers(self._allocation)
        if not covered and self._account.raise_task is None:
            self._updater.raise_grant(self._account)
        return await self._wait_for_grant() is BudgetVerdict.FITS

    def record_usage(self, tokens: int) -> None:
        """Count tokens that go to the caller."""
        account = self._account
        self._used += tokens
        account.used += tokens
        self._allocation.remaining = max(0, self._allocation.remaining - tokens)
        self._allocation.reserved = max(0, self._allocation.reserved - tokens)
        self._allocation.confirmed = max(0, self._allocation.confirmed - tokens)

    def close(self) -> None:
        """Return what the turn did not use; a second time does nothing."""
        if self._closed:
            return
        self._closed = True
        self._account.open.remove(self._allocation)
        self._account.last_used = asyncio.get_running_loop().time()
        self._updater.turn_ended(self._account, unused=not self._used)

    def _reclaim(self, missing: int) -> bool:
        """Claim what the newer turn of the session leaves free, if that is enough.

        Whoever has this turn lives after all. The newer one is never cut for it.
        """
        allocation, account = self._allocation, self._account
        rest = max(missing, allocation.remaining - allocation.reserved)
        allocation.superseded = not self._updater.has_free(account, rest)
        if allocation.superseded and not self._updater.has_free(account, missing):
            return False
        account.move_last(allocation)
        return True

    def _reserve_more(self, allocation: TurnAllocation, missing: int) -> None:
        """Hold a further part of the turn, which is `short` tokens at least.

        A turn may come to more than its caller announced, or none was: it then
        holds as much again as it came to, so that few calls are needed.
        """
        step = (
            missing
            if allocation.superseded
            else max(missing, initial_share(self.terms.most))
        )
        if allocation.fully_reserved:
            allocation.reserved += max(step, self._used)
        else:
            allocation.reserved = max(
                min(allocation.reserved + step, allocation.remaining),
                allocation.reserved + missing,
            )
        allocation.remaining = max(allocation.remaining, allocation.reserved)

    async def _wait_for_grant(self) -> BudgetVerdict:
        """Wait until it is known whether what the turn holds is granted.

        While the store is away the answer could come after the caller has
        left, so it is given as unknown.
        """
        account = self._account
        while not account.confirm(self._allocation):
            raise_task = account.raise_task
            if raise_task is None:
                return BudgetVerdict.EXCEEDED
            await asyncio.wait([raise_task], timeout=STORE_CHECK_INTERVAL)
            unknown = raise_task.done() and not raise_task.result()
            if unknown or account.partition.unavailable:
                return BudgetVerdict.UNCERTAIN
        return BudgetVerdict.FITS


def initial_share(most: int) -> int:
    """Return what is held for a turn that begins where little is left."""
    return math.ceil(most * RESERVED_SHARE)
