"""Decide which prefixes leave engine memory, and how."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from ..config.documents import RetentionName
from ..ids import ProgramId

FIRST_PAUSE = 2.0
LEARNING = 0.2
LONG_PAUSE_FACTOR = 4.0


@dataclass(kw_only=True)
class Prefix:
    """Describe the prefix of one program in the memory of an engine."""

    program: ProgramId
    name: str
    tokens: int
    last_used: float
    running: bool = False
    exported: bool = False


class Removal(Enum):
    """Say how a prefix leaves engine memory."""

    EXPORT = "export"
    DROP = "drop"


@dataclass(frozen=True, kw_only=True)
class Victim:
    """Name a prefix that has to leave."""

    program: ProgramId
    removal: Removal
    reason: str


class PauseEstimator:
    """Learn how long programs of each name pause between calls."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def record(self, name: str, pause: float) -> None:
        """Take in one pause, in seconds."""
        mean = self._means.get(name, pause)
        self._means[name] = mean + LEARNING * (pause - mean)

    def expected(self, name: str) -> float:
        """Return the expected pause in seconds."""
        return self._means.get(name, FIRST_PAUSE)


class Retention(Protocol):
    """Choose what leaves memory before a call needs room."""

    def victims(self, prefixes: list[Prefix], needed: int, now: float) -> list[Victim]:
        """Return what must leave to free the needed tokens."""


class EngineRetention:
    """Leave it to the engine."""

    def victims(self, prefixes: list[Prefix], needed: int, now: float) -> list[Victim]:
        """Return nothing."""
        return []


class PredictedRetention:
    """Export the prefix whose program is expected back last."""

    def __init__(self, *, pauses: PauseEstimator) -> None:
        self._pauses = pauses

    def victims(self, prefixes: list[Prefix], needed: int, now: float) -> list[Victim]:
        """Return prefixes by expected return, the latest first."""
        idle = [one for one in prefixes if not one.running and not one.exported]
        idle.sort(key=lambda one: self._returns_in(one, now), reverse=True)
        chosen: list[Victim] = []
        for prefix in idle:
            if needed <= 0:
                break
            needed -= prefix.tokens
            due = self._returns_in(prefix, now)
            reason = f"expected back in {due:.1f} s, later than the others"
            chosen.append(
                Victim(program=prefix.program, removal=Removal.EXPORT, reason=reason)
            )
        return chosen

    def _returns_in(self, prefix: Prefix, now: float) -> float:
        """Return the seconds until the program is expected to call again.

        One that is overdue becomes ever less likely to return soon.
        """
        expected = self._pauses.expected(prefix.name)
        paused = now - prefix.last_used
        if paused <= expected:
            return expected - paused
        return paused * LONG_PAUSE_FACTOR


def make_retention(name: RetentionName, pauses: PauseEstimator) -> Retention:
    """Return the retention of a name."""
    if name is RetentionName.PREDICTED:
        return PredictedRetention(pauses=pauses)
    return EngineRetention()


class PrefixTable:
    """Know what prefixes an engine is believed to hold."""

    def __init__(self) -> None:
        self._prefixes: dict[ProgramId, Prefix] = {}

    def get(self, program: ProgramId) -> Prefix | None:
        """Return the prefix of a program."""
        return self._prefixes.get(program)

    def put(self, prefix: Prefix) -> None:
        """Keep or replace a prefix."""
        self._prefixes[prefix.program] = prefix

    def remove(self, program: ProgramId) -> None:
        """Forget a prefix."""
        self._prefixes.pop(program, None)

    @property
    def prefixes(self) -> list[Prefix]:
        """Return all prefixes."""
        return list(self._prefixes.values())

    @property
    def total_tokens(self) -> int:
        """Return the tokens of all prefixes, exported ones included."""
        return sum(one.tokens for one in self._prefixes.values())

    @property
    def running_tokens(self) -> int:
        """Return the tokens of prefixes whose calls are under way."""
        return sum(one.tokens for one in self._prefixes.values() if one.running)

    @property
    def resident_tokens(self) -> int:
        """Return the tokens in engine memory."""
        return sum(one.tokens for one in self._prefixes.values() if not one.exported)
