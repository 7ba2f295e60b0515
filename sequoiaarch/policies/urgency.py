"""Rank requests at the engines by what their programs are still worth."""

from __future__ import annotations

from typing import Protocol

import msgspec

# Engines admit lower numbers first, from 0 to 9.
FIRST = 2
LATE = 7
LAST = 9


class ProgramStanding(msgspec.Struct, frozen=True, kw_only=True):
    """Say how a program stands; `left` is the time to its aim, in seconds.

    Rank 0 is the most urgent kind of program.
    """

    rank: int
    left: float | None


class Urgency(Protocol):
    """Give a request its urgency at an engine."""

    def of(self, standing: ProgramStanding) -> int:
        """Return the urgency, 0 first and 9 last."""


class RankUrgency:
    """Go by the rank of the route alone."""

    def of(self, standing: ProgramStanding) -> int:
        """Return the rank."""
        return min(standing.rank, LAST)


class WorthUrgency:
    """Put programs behind that can no longer end in time.

    After an outage engines are full of programs that are late already. Served
    in the order of their arrival, they make all others late too.
    """

    def of(self, standing: ProgramStanding) -> int:
        """Return the rank, and a late place for a program that is late."""
        if standing.left is not None and standing.left <= 0:
            return min(LATE + standing.rank, LAST)
        return min(FIRST + standing.rank, LATE - 1)
