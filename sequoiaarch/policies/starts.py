"""Decide whether a new program may start while engines are full."""

from __future__ import annotations

import random
from typing import Protocol

import msgspec

# Range of the random delay after which refused callers should retry, so that they do
# not all return at once. Seconds.
MIN_RETRY_DELAY = 0.3
MAX_RETRY_DELAY = 0.9
# A longer wait on each turn would make programs miss their deadlines: they may take 1.2
# to 1.6 times as long as on idle engines. Seconds.
MAX_WAIT = 0.12
# Time of a turn on an idle engine, and of the program until the next one. Seconds.
TURN_SECONDS = 0.2
# Fraction by which a tight deadline exceeds the time on idle engines.
SLACK_FRACTION = 0.25


class Start(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a program's first request and the engine it would go to.

    `wait` is the expected wait there, `left` the time to the program's deadline, if
    it has one, and `latency_target` that of the request. Seconds.
    """

    wait: float
    left: float | None = None
    latency_target: float = 0.0


class StartPolicy(Protocol):
    """Decide whether a program may start."""

    def refuse(self, start: Start) -> float | None:
        """Return the seconds after which to retry, or None to let it start."""


class UnlimitedStarts:
    """Let every program start."""

    def refuse(self, start: Start) -> float | None:
        """Return None."""
        return None


class BoundedWait:
    """Refuse new programs while the wait at every engine exceeds a limit.

    An overloaded service that takes every program makes all of them late. Programs
    that have not started yet lose least by a later retry.
    """

    def __init__(self, *, rng: random.Random, limit: float = MAX_WAIT) -> None:
        self._rng = rng
        self._limit = limit

    def refuse(self, start: Start) -> float | None:
        """Return a retry delay if the wait exceeds the limit."""
        if start.wait <= self._limit:
            return None
        return self._rng.uniform(MIN_RETRY_DELAY, MAX_RETRY_DELAY)


class DeadlineBoundedWait:
    """Refuse new programs whose turns would wait too long for their deadline.

    During a burst programs with many turns wait at each of them. The number of turns
    is estimated from the time to the deadline.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng

    def refuse(self, start: Start) -> float | None:
        """Return a retry delay if the wait exceeds what the deadline allows."""
        if start.wait <= max_turn_wait(start):
            return None
        return self._rng.uniform(MIN_RETRY_DELAY, MAX_RETRY_DELAY)


def max_turn_wait(start: Start) -> float:
    """Return the seconds that each turn may wait if the program is to end in time."""
    if not start.left:
        return MAX_WAIT
    turns = max(1.0, start.left / TURN_SECONDS)
    allowed = SLACK_FRACTION * TURN_SECONDS + start.latency_target / turns
    return min(MAX_WAIT, allowed)
