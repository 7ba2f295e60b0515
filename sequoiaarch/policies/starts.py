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
# What a turn takes on an idle engine, with what the program does between two turns.
# Seconds.
TURN_SECONDS = 0.2
# Programs may take this much longer than on idle engines, where aims are tight.
SLACK_PART = 0.25


class Start(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a program's first request and the engine it would go to.

    `wait` is the time that it is expected to wait there, `left` that to the aim of
    the program, if it names one, `latency_target` that of the request. Seconds.
    """

    wait: float
    left: float | None = None
    latency_target: float = 0.0


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


class DeadlineBoundedWait:
    """Refuse new programs whose turns would wait for longer than their aim bears.

    Answers a burst on engines that are full for seconds: programs of many turns
    wait at each of them, and begun ones are late together with those that were
    begun before them. The time to its aim says about how many turns a program has.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng

    def refuse(self, start: Start) -> float | None:
        """Return a time to come back where the wait is over what the aim bears."""
        if start.wait <= bearable_wait(start):
            return None
        return self._rng.uniform(RETURN_SOONEST, RETURN_LATEST)


def bearable_wait(start: Start) -> float:
    """Return how long each turn may wait for the program to end in time, in seconds."""
    if not start.left:
        return WAIT_LIMIT
    turns = max(1.0, start.left / TURN_SECONDS)
    bearable = SLACK_PART * TURN_SECONDS + start.latency_target / turns
    return min(WAIT_LIMIT, bearable)
