"""Rank requests at the engines by what their programs are still worth."""

from __future__ import annotations

from typing import Protocol

import msgspec

# Engines admit lower numbers first, from 0 to 9, and interrupt running
# requests of higher ones for them.
FIRST = 2
LATE = 7
LAST = 9
# A program that has used this share of its budget will be refused before it
# can end: budgets are set for the most that all turns may generate, of which
# they use about a quarter.
SPENT_SHARE = 0.5


class ProgramProgress(msgspec.Struct, frozen=True, kw_only=True):
    """Say how a program stands; `left` is the time to its aim, in seconds.

    Rank 0 is the most urgent kind of program, `spent` the share of its budget
    that it has used.
    """

    rank: int
    left: float | None
    spent: float = 0.0


class Urgency(Protocol):
    """Give a request its urgency at an engine."""

    def of(self, progress: ProgramProgress) -> int:
        """Return the urgency, 0 first and 9 last."""


class RankUrgency:
    """Go by the rank of the route alone."""

    def of(self, progress: ProgramProgress) -> int:
        """Return the rank."""
        return min(progress.rank, LAST)


class DeadlineUrgency:
    """Put programs behind that can no longer end in time, or not at all.

    After an outage engines are full of programs that are late already. Served
    in the order of their arrival, they make all others late too. Programs
    that are in time are equal whatever their rank: ranks made full engines
    interrupt 770 to 1,300 running requests of 6,000, whose prompts they then
    read again, and equal ones 5 to 60.
    """

    def of(self, progress: ProgramProgress) -> int:
        """Return one of three places."""
        if progress.spent > SPENT_SHARE:
            return LAST
        if progress.left is not None and progress.left <= 0:
            return LATE
        return FIRST
