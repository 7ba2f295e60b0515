"""Bound how many requests are sent a second time."""

from __future__ import annotations

from typing import Protocol

# One request in ten may be repeated, and some more in a row: a service that
# loses a few answers is helped, and one that is slow for all is not doubled.
RETRY_SHARE = 0.1
RETRY_BURST = 10.0
# An idempotent request whose answer takes this many times the route's target
# is sent to another target; its first one has likely lost it.
ATTEMPT_TIMEOUT_FACTOR = 2.5


class RetryPolicy(Protocol):
    """Decide whether a request may be sent once more."""

    def request_started(self) -> None:
        """Note a request that is sent for the first time."""

    def take(self) -> bool:
        """Return whether one may be sent again, and count it."""


class RetryBudget:
    """Allow repeats as a share of the requests."""

    def __init__(self) -> None:
        self._tokens = RETRY_BURST

    def request_started(self) -> None:
        """Note a request that is sent for the first time."""
        self._tokens = min(RETRY_BURST, self._tokens + RETRY_SHARE)

    def take(self) -> bool:
        """Return whether one may be sent again, and count it."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def attempt_timeout(latency_target: float) -> float:
    """Return the seconds to wait for an answer before another target is asked."""
    return ATTEMPT_TIMEOUT_FACTOR * latency_target
