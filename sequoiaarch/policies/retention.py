"""Decide which prefixes leave engine memory, and how."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from ..config.documents import RetentionName
from ..ids import ProgramId

# Expected pause of programs without observations. Seconds.
DEFAULT_PAUSE = 2.0
# Weight of a new observation in the exponential moving average.
SMOOTHING = 0.2
# A program that exceeds its expected pause is expected to be idle for this many times
# as long as it has been.
OVERDUE_FACTOR = 4.0


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
    """Name the ways in which a prefix leaves engine memory."""

    EXPORT = "export"
    DROP = "drop"


@dataclass(frozen=True, kw_only=True)
class Victim:
    """Name a prefix to evict, the way of its removal and the reason."""

    program: ProgramId
    removal: Removal
    reason: str


class PauseEstimator:
    """Estimate how long programs of each name pause between calls."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def record(self, name: str, pause: float) -> None:
        """Add an observed pause, in seconds."""
        mean = self._means.get(name, pause)
        self._means[name] = mean + SMOOTHING * (pause - mean)

    def expected(self, name: str) -> float:
        """Return the expected pause in seconds."""
        return self._means.get(name, DEFAULT_PAUSE)


class Retention(Protocol):
    """Choose prefixes to evict before a call needs memory."""

    def victims(self, prefixes: list[Prefix], needed: int, now: float) -> list[Victim]:
        """Return the prefixes to evict to free the needed tokens."""


class EngineRetention:
    """Leave eviction to the engine."""

    def victims(self, prefixes: list[Prefix], needed: int, now: float) -> list[Victim]:
        """Return no prefixes."""
        return []


class PredictedRetention:
    """Export the prefixes whose programs are expected to call last."""

    def __init__(self, *, pauses: PauseEstimator) -> None:
        self._pauses = pauses

    def victims(self, prefixes: list[Prefix], needed: int, now: float) -> list[Victim]:
        """Return idle prefixes, the latest expected call first."""
        idle = [
            candidate
            for candidate in prefixes
            if not candidate.running and not candidate.exported
        ]
        idle.sort(
            key=lambda candidate: self._expected_return(candidate, now), reverse=True
        )
        chosen: list[Victim] = []
        for prefix in idle:
            if needed <= 0:
                break
            needed -= prefix.tokens
            expected_return = self._expected_return(prefix, now)
            reason = f"expected back in {expected_return:.1f} s, later than the others"
            chosen.append(
                Victim(program=prefix.program, removal=Removal.EXPORT, reason=reason)
            )
        return chosen

    def _expected_return(self, prefix: Prefix, now: float) -> float:
        """Return the seconds until the program is expected to call again.

        The longer a program is overdue, the later it is expected.
        """
        expected = self._pauses.expected(prefix.name)
        paused = now - prefix.last_used
        if paused <= expected:
            return expected - paused
        return paused * OVERDUE_FACTOR


def make_retention(name: RetentionName, pauses: PauseEstimator) -> Retention:
    """Return the retention policy with the given name."""
    if name is RetentionName.PREDICTED:
        return PredictedRetention(pauses=pauses)
    return EngineRetention()


class PrefixTable:
    """Track the prefixes that an engine is assumed to hold."""

    def __init__(self) -> None:
        self._prefixes: dict[ProgramId, Prefix] = {}

    def get(self, program: ProgramId) -> Prefix | None:
        """Return the prefix of a program, if any."""
        return self._prefixes.get(program)

    def put(self, prefix: Prefix) -> None:
        """Add or replace a prefix."""
        self._prefixes[prefix.program] = prefix

    def remove(self, program: ProgramId) -> None:
        """Remove the prefix of a program, if any."""
        self._prefixes.pop(program, None)

    @property
    def prefixes(self) -> list[Prefix]:
        """Return all prefixes."""
        return list(self._prefixes.values())

    @property
    def total_tokens(self) -> int:
        """Return the tokens of all prefixes, exported ones included."""
        return sum(prefix.tokens for prefix in self._prefixes.values())

    @property
    def running_tokens(self) -> int:
        """Return the tokens of prefixes with running calls."""
        return sum(
            prefix.tokens for prefix in self._prefixes.values() if prefix.running
        )

    @property
    def resident_tokens(self) -> int:
        """Return the tokens in engine memory."""
        return sum(
            prefix.tokens for prefix in self._prefixes.values() if not prefix.exported
        )
