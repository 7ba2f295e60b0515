"""Choose the priority of requests at engines."""

from __future__ import annotations

from typing import Protocol

import msgspec

# Engine priorities from 0 to 9: engines admit lower numbers first and interrupt
# running requests with higher ones for them.
ON_TIME = 2
LATE = 7
LOWEST = 9
# A program that has spent more than this fraction of its budget is likely to exhaust
# it: budgets allow for answers of maximum length, which most answers do not reach.
MAX_SPENT_FRACTION = 0.5


class ProgramProgress(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the progress of a program.

    `left` is the time to its deadline in seconds, if it has one, and `spent` the used
    fraction of its budget. Rank 0 is the most urgent.
    """

    rank: int
    left: float | None
    spent: float = 0.0


class Urgency(Protocol):
    """Choose the engine priority of a request."""

    def of(self, progress: ProgramProgress) -> int:
        """Return the priority from 0, the first, to 9."""


class RankUrgency:
    """Use the rank of the route as priority."""

    def of(self, progress: ProgramProgress) -> int:
        """Return the rank."""
        return min(progress.rank, LOWEST)


class DeadlineUrgency:
    """Serve programs last that will miss their deadline or exhaust their budget.

    Otherwise late programs, such as those after an outage, make all others late too.
    Ranks are ignored: with different priorities full engines interrupt many running
    requests and have to process their prompts again.
    """

    def of(self, progress: ProgramProgress) -> int:
        """Return one of three priorities."""
        if progress.spent > MAX_SPENT_FRACTION:
            return LOWEST
        if progress.left is not None and progress.left <= 0:
            return LATE
        return ON_TIME
