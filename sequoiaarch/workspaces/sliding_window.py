"""Limit the requests of a workspace in every sliding window."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

import msgspec

from .directory import RateLimit

# Shares of each limit, each owned by one process. When one owner is lost, the others
# still serve two thirds of the rate.
SHARES = 3
# A token expires after this time; a later use would exceed the limit of its window.
# Seconds.
TOKEN_LIFE = 0.1
# Tokens granted within this time are counted as one entry, at the time of the last
# grant. Seconds.
ENTRY_SPAN = 0.05
# Fraction of the rate that a new owner of a share, which does not know earlier
# grants, may grant in its first window. A larger one leaves less for bursts.
INITIAL_RATE_FRACTION = 2 / 3
# Fraction of a share reserved for requests of running programs: a program that is
# refused midway has wasted its engine time.
RESERVED_FRACTION = 0.25


class QuotaBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Bound how far a workspace may exceed its limit.

    In any `window` seconds the excess is at most `overage` times what the limit
    allows there, plus `slack` requests.
    """

    window: float = 5.0
    overage: float = 0.1
    slack: float = 10.0

    def allowed(self, limit: RateLimit) -> float:
        """Return the maximum number of requests in a window."""
        nominal = limit.rate * self.window + limit.burst
        return nominal * (1 + self.overage) + self.slack


class ShareBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Bound the grants of a share to `at_once`, plus `rate` tokens a second.

    The bound holds for any interval of up to `span` seconds. A new owner grants
    `rate` alone.
    """

    at_once: float
    rate: float
    span: float


def share_bounds(limit: RateLimit, bounds: QuotaBounds) -> ShareBounds:
    """Return the bounds of each share of a limit.

    All shares together grant what a window allows. As a token may be used at the end
    of its lifetime, the counted span is longer than the window.
    """
    span = bounds.window + TOKEN_LIFE + ENTRY_SPAN
    rate = INITIAL_RATE_FRACTION * limit.rate
    at_once = (bounds.allowed(limit) - rate * span) / SHARES
    # With less than one token no request would ever be admitted.
    return ShareBounds(at_once=max(1.0, at_once), rate=rate / SHARES, span=span)


class _Entry(msgspec.Struct, kw_only=True):
    """Count tokens granted between two times that lie close together."""

    first: float
    last: float
    count: float


class ShareWindow:
    """Count the grants of a share in a sliding window.

    Unlike a token bucket it lets a workspace that was idle use a whole window's
    requests at once. Grants in shorter intervals are bounded only to leave a new
    owner of the share some rate to start with.
    """

    def __init__(self, *, bounds: ShareBounds, since: float) -> None:
        self.bounds = bounds
        # Assume that the previous owner granted as much as possible.
        self._previous_grants = _Entry(first=since, last=since, count=bounds.at_once)
        self._entries = deque([self._previous_grants])
        # Time until which no token is available, by whether a request begins a program.
        self._empty_until = {True: since, False: since}

    def grant(self, count: int, now: float, *, begins: bool) -> int:
        """Grant up to `count` tokens and return how many were granted.

        One caller gets at most a quarter of the free tokens, but at least one.
        """
        if now < self._empty_until[begins]:
            return 0
        free = self.free(now) - self._reserved(begins)
        if free < 1:
            self._empty_until[begins] = now + self._seconds_until_token(
                now, begins=begins
            )
            return 0
        granted = max(1, min(count, int(free / 4)))
        self._add(granted, now)
        return granted

    def free(self, now: float) -> float:
        """Return the number of tokens available now."""
        while self._entries and self._entries[0].last + self.bounds.span <= now:
            self._entries.popleft()
        available = self.bounds.at_once
        for entry, total in self._totals():
            accrued = self.bounds.rate * (now - entry.last)
            available = min(available, self.bounds.at_once + accrued - total)
        return available

    def granted(self, now: float) -> float:
        """Return the number of tokens granted in the last span.

        A new owner assumes that the previous one granted as much as possible.
        """
        begin = now - self.bounds.span
        return sum(entry.count for entry in self._entries if entry.last > begin)

    def wait(self, now: float, *, begins: bool) -> float:
        """Return the seconds until a token is available, after a refused `grant`."""
        return max(0.0, self._empty_until[begins] - now)

    def change(self, bounds: ShareBounds) -> None:
        """Change the bounds and keep counting earlier grants."""
        if bounds == self.bounds:
            return
        # The previous owner may have known of a higher limit before this one.
        self._previous_grants.count += max(0.0, bounds.at_once - self.bounds.at_once)
        self.bounds = bounds
        self._empty_until = dict.fromkeys((True, False), float("-inf"))

    def _seconds_until_token(self, now: float, *, begins: bool) -> float:
        needed = 1 + self._reserved(begins)
        until = now
        for entry, total in self._totals():
            missing = total + needed - self.bounds.at_once
            accrued_at = entry.last + missing / self.bounds.rate
            until = max(until, min(accrued_at, entry.last + self.bounds.span))
        return until - now

    def _totals(self) -> Iterator[tuple[_Entry, float]]:
        """Yield each entry with the tokens granted since then, newest first."""
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

    def _reserved(self, begins: bool) -> float:
        """Return the tokens reserved for requests of running programs."""
        if not begins:
            return 0.0
        return min(RESERVED_FRACTION * self.bounds.at_once, self.bounds.at_once - 1)
