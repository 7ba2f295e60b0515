"""Hold the part of a budget that one turn may use, and raise it while it runs."""

from __future__ import annotations

import asyncio
import math
from typing import Protocol

from .account import Account, OpenPart
from .terms import BudgetVerdict, TurnTerms

# Of a turn that begins where little is left of a budget so much of its most is
# held, and again so much each time that this is nearly used up. Turns generate a
# quarter of their most on average, so that most of them need no second call.
HELD_PART = 1 / 3
# A wait for a grant looks so often whether the store is away meanwhile. Seconds.
AWAY_CHECK = 0.1


class GrantRaiser(Protocol):
    """Ask the log for what an account needs, and return what it does not."""

    def raise_grant(self, account: Account) -> None:
        """Ask for a larger grant."""

    def leaves(self, account: Account, tokens: int) -> bool:
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
        part: OpenPart,
        raiser: GrantRaiser,
    ) -> None:
        self.terms = terms
        self._raiser = raiser
        self._account = account
        self._part = part
        self._closed = False
        self._handed = 0
        account.open.append(part)

    @property
    def granted(self) -> bool:
        """Return whether the grant is known to cover what the turn holds.

        Who reads that it does may hand that out, so it is marked as sure.
        """
        return self._account.make_sure(self._part)

    @property
    def from_log(self) -> bool:
        """Return True: the log grants it."""
        return True

    async def verdict(self) -> BudgetVerdict:
        """Wait until it is known whether the turn may begin.

        Others may have begun turns at the same moment that leave no room for
        the rest of this one; it would be cut midway.
        """
        verdict = await self._granted_verdict()
        fits = verdict is BudgetVerdict.FITS
        if fits and not self._account.has_room(self._part):
            return BudgetVerdict.EXCEEDED
        return verdict

    @property
    def covered(self) -> int | None:
        """Return the tokens that may be handed out unasked; None for all."""
        # One that was closed may hand out no more: what it held is granted to others.
        if self._closed:
            return self._handed
        return None if self._part.whole else self._handed + self._part.held

    async def cover(self, total: int) -> bool:
        """Return whether the turn may hand out so many tokens in all."""
        if self._closed:
            return False
        short = total - self._handed - self._part.held
        if short > 0:
            if self._part.given_up and not self._claim_again(short):
                return False
            self._hold_more(self._part, short)
        # A raise that did not hold is asked for again: what was in its way may have
        # been returned since.
        covered = self._account.covers(self._part)
        if not covered and self._account.raising is None:
            self._raiser.raise_grant(self._account)
        return await self._granted_verdict() is BudgetVerdict.FITS

    def record_usage(self, tokens: int) -> None:
        """Count tokens that go to the caller."""
        account = self._account
        self._handed += tokens
        account.handed += tokens
        self._part.left = max(0, self._part.left - tokens)
        self._part.held = max(0, self._part.held - tokens)
        self._part.sure = max(0, self._part.sure - tokens)

    def close(self) -> None:
        """Return what the turn did not use; a second time does nothing."""
        if self._closed:
            return
        self._closed = True
        self._account.open.remove(self._part)
        self._account.touched = asyncio.get_running_loop().time()
        self._raiser.turn_ended(self._account, unused=not self._handed)

    def _claim_again(self, short: int) -> bool:
        """Claim what the newer turn of the session leaves free, if that is enough.

        Whoever has this turn lives after all. The newer one is never cut for it.
        """
        part, account = self._part, self._account
        rest = max(short, part.left - part.held)
        part.given_up = not self._raiser.leaves(account, rest)
        if part.given_up and not self._raiser.leaves(account, short):
            return False
        account.move_last(part)
        return True

    def _hold_more(self, part: OpenPart, short: int) -> None:
        """Hold a further part of the turn, which is `short` tokens at least.

        A turn may come to more than its caller announced, or none was: it then
        holds as much again as it came to, so that few calls are needed.
        """
        step = short if part.given_up else max(short, first_part(self.terms.most))
        if part.whole:
            part.held += max(step, self._handed)
        else:
            part.held = max(min(part.held + step, part.left), part.held + short)
        part.left = max(part.left, part.held)

    async def _granted_verdict(self) -> BudgetVerdict:
        """Wait until it is known whether what the turn holds is granted.

        While the store is away the answer could come after the caller has
        left, so it is given as unknown.
        """
        account = self._account
        while not account.make_sure(self._part):
            raising = account.raising
            if raising is None:
                return BudgetVerdict.EXCEEDED
            await asyncio.wait([raising], timeout=AWAY_CHECK)
            unknown = raising.done() and not raising.result()
            if unknown or account.partition.stuck:
                return BudgetVerdict.UNCERTAIN
        return BudgetVerdict.FITS


def first_part(most: int) -> int:
    """Return what is held for a turn that begins where little is left."""
    return math.ceil(most * HELD_PART)
