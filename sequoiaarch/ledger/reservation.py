"""Reserve a part of a budget for one turn, and extend it while the turn runs."""

from __future__ import annotations

import asyncio
import math
from typing import Protocol

from .account import Account, TurnAllocation
from .terms import BudgetVerdict, TurnTerms

# Fraction of a turn's maximum that is reserved at its start, and again at each
# extension, when the budget is scarce. Turns use a quarter of their maximum on average,
# so most need no extension.
RESERVED_FRACTION = 1 / 3
# Interval of the checks for an unavailable store while waiting for a grant. Seconds.
STORE_CHECK_INTERVAL = 0.1


class GrantUpdater(Protocol):
    """Request grants for an account, and release what it does not need."""

    def raise_grant(self, account: Account) -> None:
        """Request a larger grant."""

    def has_free(self, account: Account, tokens: int) -> bool:
        """Return whether that many tokens are free beyond the demand of all turns."""

    def turn_ended(self, account: Account, *, unused: bool) -> None:
        """Release what an ended turn left unused, if the budget is scarce."""


class Reservation:
    """Hold on a part of a budget for one turn, granted by the log.

    The whole turn is reserved at once while much of the budget is left, otherwise a
    part of it at a time. What a lost process had reserved counts as spent, so reserving
    whole turns would exhaust a small budget after few losses.
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
    def is_granted(self) -> bool:
        """Return whether the grant is known to cover what the turn has reserved.

        The caller may then use that part, so it is marked as confirmed.
        """
        return self._account.confirm(self._allocation)

    @property
    def from_log(self) -> bool:
        """Return True, as the log granted it."""
        return True

    async def verdict(self) -> BudgetVerdict:
        """Wait until it is known whether the turn may begin.

        A turn is refused if concurrent turns leave no room for its maximum, as it would
        be cut off midway.
        """
        verdict = await self._wait_for_grant()
        fits = verdict is BudgetVerdict.FITS
        if fits and not self._account.can_complete(self._allocation):
            return BudgetVerdict.EXCEEDED
        return verdict

    @property
    def covered(self) -> int | None:
        """Return the tokens that may be used without a request; None for all."""
        # A closed reservation covers nothing more, as its rest may be granted to
        # others.
        if self._closed:
            return self._used
        return (
            None
            if self._allocation.fully_reserved
            else self._used + self._allocation.reserved
        )

    async def cover(self, total: int) -> bool:
        """Return whether the turn may use `total` tokens, requesting more if needed."""
        if self._closed:
            return False
        missing = total - self._used - self._allocation.reserved
        if missing > 0:
            if self._allocation.superseded and not self._reclaim(missing):
                return False
            self._reserve_more(self._allocation, missing)
        # Retry a raise that was not granted: other writers may have released tokens
        # since.
        covered = self._account.covers(self._allocation)
        if not covered and self._account.raise_task is None:
            self._updater.raise_grant(self._account)
        return await self._wait_for_grant() is BudgetVerdict.FITS

    def record_usage(self, tokens: int) -> None:
        """Count tokens that were sent to the caller."""
        account = self._account
        self._used += tokens
        account.used += tokens
        self._allocation.remaining = max(0, self._allocation.remaining - tokens)
        self._allocation.reserved = max(0, self._allocation.reserved - tokens)
        self._allocation.confirmed = max(0, self._allocation.confirmed - tokens)

    def close(self) -> None:
        """Release what the turn did not use; further calls do nothing."""
        if self._closed:
            return
        self._closed = True
        self._account.open.remove(self._allocation)
        self._account.last_used = asyncio.get_running_loop().time()
        self._updater.turn_ended(self._account, unused=not self._used)

    def _reclaim(self, missing: int) -> bool:
        """Reclaim tokens that the session's newer turn leaves free, if they suffice.

        This turn was superseded but is still running. The newer turn is never cut off
        for it.
        """
        allocation, account = self._allocation, self._account
        rest = max(missing, allocation.remaining - allocation.reserved)
        allocation.superseded = not self._updater.has_free(account, rest)
        if allocation.superseded and not self._updater.has_free(account, missing):
            return False
        account.move_last(allocation)
        return True

    def _reserve_more(self, allocation: TurnAllocation, missing: int) -> None:
        """Reserve a further part of the turn, at least `missing` tokens.

        A turn may exceed its announced maximum, or have none. It then reserves as much
        again as it has used, so that few requests are needed.
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
        """Wait until it is known whether the log grants what the turn has reserved.

        The result is uncertain as soon as the store is unavailable, as its answer could
        come after the caller has left.
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
    """Return the tokens reserved at the start of a turn when the budget is scarce."""
    return math.ceil(most * RESERVED_FRACTION)
