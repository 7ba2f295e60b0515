"""Limit retries."""

from __future__ import annotations

from typing import Protocol

# Retries allowed for each request, and in a burst: they cover a few lost answers and
# do not double the load of a slow service.
RETRY_RATIO = 0.1
RETRY_BURST = 10.0
# An idempotent request without an answer after this many times the route's latency
# target is sent to another target, as the first one has likely lost it.
ATTEMPT_TIMEOUT_FACTOR = 2.5


class RetryPolicy(Protocol):
    """Decide whether a request may be retried."""

    def request_started(self) -> None:
        """Count a first attempt."""

    def take(self) -> bool:
        """Return whether a retry is allowed, and count it if so."""


class RetryBudget:
    """Limit retries to a fraction of the requests by a token bucket."""

    def __init__(self) -> None:
        self._tokens = RETRY_BURST

    def request_started(self) -> None:
        """Refill the bucket for a first attempt."""
        self._tokens = min(RETRY_BURST, self._tokens + RETRY_RATIO)

    def take(self) -> bool:
        """Take a token if there is one; return whether there was."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def attempt_timeout(latency_target: float) -> float:
    """Return the seconds to wait for an answer before another target is tried."""
    return ATTEMPT_TIMEOUT_FACTOR * latency_target
