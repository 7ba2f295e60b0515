"""Decide whether a new program may start while engines are full."""

from __future__ import annotations

import random
from typing import Protocol

import msgspec

# Callers that are refused come back in a spread of times, or they would all
# meet the same full engines again. Seconds.
RETURN_SOONEST = 0.3
RETURN_LATEST = 0.9
# A turn of an idle engine takes about 0.25 s, and programs may take 1.2 to 1.6
# times as long as on idle engines: waiting longer than this on each turn makes
# them late. Seconds.
WAIT_LIMIT = 0.12


class Start(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a program's first request and the engine it would go to.

    `wait` is the time in seconds that it is expected to wait there.
    """

    wait: float


class StartPolicy(Protocol):
    """Decide about the first request of a program."""

    def refuse(self, start: Start) -> float | None:
        """Return the seconds after which to come back; None to let it start."""


class OpenStarts:
    """Let every program start."""

    def refuse(self, start: Start) -> float | None:
        """Return None."""
        return None


class BoundedWait:
    """Refuse new programs while requests wait for long at every engine.

    Above its capacity a service that takes every program makes all of them
    late, those that are nearly done included. A program that has not begun
    loses least by coming back, and may still end in time. Where two engines of
    five were left, callers got 63 to 69 % of what their programs were worth with
    the limit and 40 to 48 % without it, in three and two runs of the same load.
    """

    def __init__(self, *, rng: random.Random, limit: float = WAIT_LIMIT) -> None:
        self._rng = rng
        self._limit = limit

    def refuse(self, start: Start) -> float | None:
        """Return a time to come back where the wait is over the limit."""
        if start.wait <= self._limit:
            return None
        return self._rng.uniform(RETURN_SOONEST, RETURN_LATEST)
