"""Hold a workspace to its limit in every window."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

import msgspec

from .directory import RateLimit

# Each limit is divided into so many shares, each kept by a process of its own. With
# one of them lost the others still serve two thirds of the rate.
SHARES = 3
# A token that was handed out counts for this time. One that is used later would
# come on top of what its window allows. Seconds.
TOKEN_LIFE = 0.1
# Tokens handed out within this time are counted as one entry, at the time of the
# last. Seconds.
ENTRY_SPAN = 0.05
# A new keeper, which does not know what was handed out before, serves this part of
# the rate until the window has passed. The more, the less may be used at once.
LEAST_RATE = 2 / 3
# Requests that begin a program leave this part to those under way: a program that is
# refused in its middle has used its engine in vain.
UNDER_WAY_PART = 0.25


class QuotaBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Say how far a workspace may go over its limit.

    In any `window` seconds that is `overage` times what the limit allows there, and
    `slack` requests.
    """

    window: float = 5.0
    overage: float = 0.1
    slack: float = 10.0

    def allowed(self, limit: RateLimit) -> float:
        """Return the most requests that may run in a window."""
        within = limit.rate * self.window + limit.burst
        return within * (1 + self.overage) + self.slack


class ShareTerms(msgspec.Struct, frozen=True, kw_only=True):
    """Say what a share may hand out: `at_once`, and `rate` tokens a second more.

    That holds for any time up to `span` seconds; a new keeper hands out the rate.
    """

    at_once: float
    rate: float
    span: float


def share_terms(limit: RateLimit, bounds: QuotaBounds) -> ShareTerms:
    """Return the terms of each share of a limit.

    All shares together hand out what a window allows. Tokens may be used late, so
    that the window is longer by their life.
    """
    span = bounds.window + TOKEN_LIFE + ENTRY_SPAN
    rate = LEAST_RATE * limit.rate
    at_once = (bounds.allowed(limit) - rate * span) / SHARES
    # Less than a token would never let anything pass.
    return ShareTerms(at_once=max(1.0, at_once), rate=rate / SHARES, span=span)


class _Entry(msgspec.Struct, kw_only=True):
    first: float
    last: float
    count: float


class ShareWindow:
    """Count what a share hands out, in every time that ends now.

    A token bucket would refuse a workspace that is idle for most of the time and
    then uses its window at once: it allows a burst and the rate, where a window may
    hold all that the rate brings in its time. So a share allows what it has left of
    its window. What it hands out in a shorter time is bounded for new keepers only:
    the rest of the window must leave them a rate to begin with.
    """

    def __init__(self, *, terms: ShareTerms, since: float) -> None:
        self.terms = terms
        before = _Entry(first=since, last=since, count=terms.at_once)
        self._entries = deque([before])
        # Until when there is nothing, for what begins a program and for all.
        self._none_until = {True: since, False: since}

    def take(self, count: int, now: float, *, begins: bool) -> int:
        """Return how many of the tokens are handed out.

        Of more than one a quarter of what is free goes to one caller, as others ask
        too.
        """
        if now < self._none_until[begins]:
            return 0
        free = self.free(now) - self._kept_back(begins)
        if free < 1:
            self._none_until[begins] = now + self._missing(now, begins=begins)
            return 0
        taken = max(1, min(count, int(free / 4)))
        self._add(taken, now)
        return taken

    def free(self, now: float) -> float:
        """Return the tokens that can be handed out now."""
        while self._entries and self._entries[0].last + self.terms.span <= now:
            self._entries.popleft()
        found = self.terms.at_once
        for entry, total in self._totals():
            grown = self.terms.rate * (now - entry.last)
            found = min(found, self.terms.at_once + grown - total)
        return found

    def wait(self, now: float, *, begins: bool) -> float:
        """Return the seconds until there is a token, after none was handed out."""
        return max(0.0, self._none_until[begins] - now)

    def change(self, terms: ShareTerms) -> None:
        """Go on under other terms; what was handed out counts on."""
        if terms != self.terms:
            self.terms = terms
            self._none_until = dict.fromkeys((True, False), float("-inf"))

    def _missing(self, now: float, *, begins: bool) -> float:
        needed = 1 + self._kept_back(begins)
        until = now
        for entry, total in self._totals():
            missing = total + needed - self.terms.at_once
            grown = entry.last + missing / self.terms.rate
            until = max(until, min(grown, entry.last + self.terms.span))
        return until - now

    def _totals(self) -> Iterator[tuple[_Entry, float]]:
        """Return each entry with what was handed out since it, the newest first."""
        total = 0.0
        for entry in reversed(self._entries):
            total += entry.count
            yield entry, total

    def _add(self, count: int, now: float) -> None:
        newest = self._entries[-1] if self._entries else None
        if newest is not None and now - newest.first < ENTRY_SPAN:
            newest.last = now
            newest.count += count
        else:
            self._entries.append(_Entry(first=now, last=now, count=count))

    def _kept_back(self, begins: bool) -> float:
        """Return what is left to requests of programs under way."""
        if not begins:
            return 0.0
        return min(UNDER_WAY_PART * self.terms.at_once, self.terms.at_once - 1)
