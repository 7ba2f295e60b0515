"""Hold a workspace to its rate with a token bucket."""

from __future__ import annotations

import msgspec

from .directory import RateLimit

# Each limit is divided into so many shares, each kept by a process of its own. With
# one of them lost the others still serve two thirds of the rate.
SHARES = 3
# A token that was handed out counts for this time. One that is used later would
# come on top of what its window allows. Seconds.
TOKEN_LIFE = 0.25
# Of what a window may hold beyond the rate, buckets hold this part. The rest is for
# what new keepers hand out that don't know what their predecessors did.
HELD_PART = 0.6
# So many times in one window a share may pass to a new keeper.
NEW_KEEPERS = 3
# Requests that begin a program leave this part of a bucket to those under way: a
# program that is refused in its middle has used its engine in vain.
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
        return self._within(limit) * (1 + self.overage) + self.slack

    def beyond(self, limit: RateLimit) -> float:
        """Return how many requests may come on top of the limit."""
        return self._within(limit) * self.overage + self.slack

    def _within(self, limit: RateLimit) -> float:
        return limit.rate * self.window + limit.burst


class BucketTerms(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the bucket of one share: tokens a second, at most, and at first."""

    rate: float
    capacity: float
    start: float


def share_terms(limit: RateLimit, bounds: QuotaBounds) -> BucketTerms:
    """Return the terms of each share of a limit.

    What all shares hand out in a window adds up to what the rate and burst allow,
    what tokens in use may come late, and the part that is held beyond. Whoever
    takes a share over begins with little, as its predecessor may have handed out
    all that it had.
    """
    beyond = max(0.0, bounds.beyond(limit) - limit.rate * TOKEN_LIFE)
    held = HELD_PART * beyond / SHARES
    start = (1 - HELD_PART) * beyond / SHARES / NEW_KEEPERS
    # Less than a token would never let anything pass.
    capacity = max(1.0, limit.burst / SHARES + held)
    return BucketTerms(
        rate=limit.rate / SHARES, capacity=capacity, start=min(start, capacity)
    )


class TokenBucket:
    """Hand out tokens at a rate, and up to a capacity at once."""

    def __init__(self, *, terms: BucketTerms, now: float) -> None:
        self._terms = terms
        self._level = terms.start
        self._filled = now

    @property
    def terms(self) -> BucketTerms:
        """Return the terms in force."""
        return self._terms

    def change(self, terms: BucketTerms, now: float) -> None:
        """Go on under other terms, with no more than those allow."""
        self.level(now)
        self._terms = terms
        self._level = min(self._level, terms.capacity)

    def level(self, now: float) -> float:
        """Return the tokens that are there."""
        gained = max(0.0, now - self._filled) * self._terms.rate
        self._level = min(self._terms.capacity, self._level + gained)
        self._filled = now
        return self._level

    def take(self, count: int, now: float, *, begins: bool) -> int:
        """Return how many of the tokens are handed out.

        Of more than one a quarter of what is there goes to one caller, as others
        ask too.
        """
        free = self.level(now) - self._kept_back(begins)
        if free < 1:
            return 0
        taken = max(1, min(count, int(free / 4)))
        self._level -= taken
        return taken

    def wait(self, now: float, *, begins: bool) -> float:
        """Return the seconds until there is a token for a caller."""
        missing = 1 + self._kept_back(begins) - self.level(now)
        return max(0.0, missing) / self._terms.rate

    def _kept_back(self, begins: bool) -> float:
        """Return what is left to requests of programs under way."""
        if not begins:
            return 0.0
        return min(UNDER_WAY_PART * self._terms.capacity, self._terms.capacity - 1)
