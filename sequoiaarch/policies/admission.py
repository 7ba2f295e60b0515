"""Decide whether a new program may start at a target."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from ..config.documents import AdmissionName
from .order import Ticket

IDLE_SHARE = 0.5


@dataclass(frozen=True, kw_only=True)
class Occupancy:
    """Describe how full a target is, in calls and in tokens of memory.

    `running_tokens` is held by calls under way, `kept_tokens` by all programs
    that have a prefix here, exported ones included; `export_tokens` is the
    memory outside the engine that prefixes can be exported to.
    """

    running: int
    slots: int
    running_tokens: int
    kept_tokens: int
    cache_tokens: int
    export_tokens: int
    growth: int


class Admission(Protocol):
    """Decide about the first call of a program at a target."""

    def admits(self, ticket: Ticket, occupancy: Occupancy) -> bool:
        """Return whether the program may start now."""


class OpenAdmission:
    """Let every program start."""

    def admits(self, ticket: Ticket, occupancy: Occupancy) -> bool:
        """Return True."""
        return True


class WorkingSetAdmission:
    """Let a program start while the prefixes of all that run fit in memory.

    More programs than that evict each other's prefixes in a circle, and each
    call then rebuilds its whole prompt. An engine that would stand half idle
    takes a program all the same. No call starts that does not fit beside
    those that run: the engine could not run it either, and would evict the
    next prefix that falls idle as soon as it can.
    """

    def admits(self, ticket: Ticket, occupancy: Occupancy) -> bool:
        """Return whether the working set still fits."""
        together = occupancy.running_tokens + ticket.tokens
        if occupancy.running and together > occupancy.cache_tokens:
            return False
        if ticket.started:
            return True
        need = occupancy.kept_tokens + ticket.tokens + occupancy.growth
        if need <= occupancy.cache_tokens + occupancy.export_tokens:
            return True
        return occupancy.running < occupancy.slots * IDLE_SHARE


def make_admission(name: AdmissionName) -> Admission:
    """Return the admission of a name."""
    if name is AdmissionName.WORKING_SET:
        return WorkingSetAdmission()
    return OpenAdmission()
