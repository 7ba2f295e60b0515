"""Decide whether a new program may start at a target."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from ..config.documents import AdmissionName
from .order import Ticket

# An engine with a smaller fraction of its slots in use admits programs that do not
# fit in memory.
UNDERUSED_FRACTION = 0.5


@dataclass(frozen=True, kw_only=True)
class Occupancy:
    """Describe the load of a target in calls and in tokens of cache memory.

    `running_tokens` belong to running calls, `kept_tokens` to all programs with a
    prefix here, exported ones included. `export_tokens` is the capacity outside the
    engine for exported prefixes, `growth` the expected growth of a prefix.
    """

    running: int
    slots: int
    running_tokens: int
    kept_tokens: int
    cache_tokens: int
    export_tokens: int
    growth: int


class Admission(Protocol):
    """Decide whether a program may start at a target."""

    def admits(self, ticket: Ticket, occupancy: Occupancy) -> bool:
        """Return whether the program may start now."""


class OpenAdmission:
    """Let every program start."""

    def admits(self, ticket: Ticket, occupancy: Occupancy) -> bool:
        """Return True."""
        return True


class WorkingSetAdmission:
    """Let a program start while the prefixes of all programs fit in memory.

    More programs would evict each other's prefixes, so that each call has to rebuild
    its whole prompt. An underused engine takes a program all the same. No call starts
    that does not fit beside the running ones, as the engine would evict other
    prefixes for it.
    """

    def admits(self, ticket: Ticket, occupancy: Occupancy) -> bool:
        """Return whether the working set fits with this program."""
        running_tokens = occupancy.running_tokens + ticket.tokens
        if occupancy.running and running_tokens > occupancy.cache_tokens:
            return False
        if ticket.started:
            return True
        working_set = occupancy.kept_tokens + ticket.tokens + occupancy.growth
        if working_set <= occupancy.cache_tokens + occupancy.export_tokens:
            return True
        return occupancy.running < occupancy.slots * UNDERUSED_FRACTION


def make_admission(name: AdmissionName) -> Admission:
    """Return the admission policy with the given name."""
    if name is AdmissionName.WORKING_SET:
        return WorkingSetAdmission()
    return OpenAdmission()
