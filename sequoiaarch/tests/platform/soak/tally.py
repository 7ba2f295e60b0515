"""Compare what callers saw with what targets did."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum


class Promise(Enum):
    """Name what must hold whatever happens."""

    WHOLE = "an answer is the target's own and whole, or visibly not"
    ONCE = "what can't be repeated runs once at most"
    NOT_RUN = "what was refused as not run has not run"
    HISTORY = "a kept turn is found, and its prompt is exact"
    BUDGET = "no more tokens than the budget and one turn"
    ROOM = "a turn that the budget has room for is not refused for it for long"
    STOP = "a planned stop cuts nothing"
    CONFIGURATION = "a process never goes back to an older configuration"
    LEAVING = "a target that drains gets nothing new"
    BACK = "all is served again when the faults are over"


# Statuses that say that the request has not run and never will.
NOT_RUN_STATUSES = frozenset({402, 404, 408, 421, 429, 503})


@dataclass(kw_only=True)
class Run:
    """Note that a target began to work on an attempt."""

    instance: str
    body: bytes


@dataclass(kw_only=True)
class Tally:
    """Hold what targets and callers saw, and which promises were broken."""

    runs: dict[str, list[Run]] = field(default_factory=dict)
    refused: dict[str, int] = field(default_factory=dict)
    repeatable: set[str] = field(default_factory=set)
    prompts: dict[str, bytes] = field(default_factory=dict)
    counts: Counter[str] = field(default_factory=Counter)
    broken: list[str] = field(default_factory=list)

    def violate(self, promise: Promise, text: str) -> None:
        """Note a broken promise."""
        self.broken.append(f"{promise.name}: {text}")

    def ran(self, attempt: str, run: Run) -> None:
        """Note a run, and check its prompt and how often it came."""
        runs = self.runs.setdefault(attempt, [])
        runs.append(run)
        self.counts["runs"] += 1
        if len(runs) > 1 and attempt not in self.repeatable:
            self.violate(Promise.ONCE, f"{attempt} ran {len(runs)} times")
        wanted = self.prompts.get(attempt)
        if wanted is not None and run.body != wanted:
            self.violate(Promise.HISTORY, f"{attempt} ran with {run.body[:200]!r}")

    def answered(self, attempt: str, status: int) -> None:
        """Note the status that a caller got."""
        self.counts[f"status {status}"] += 1
        if status in NOT_RUN_STATUSES:
            self.refused[attempt] = status

    def close(self) -> None:
        """Check what can only be told at the end."""
        for attempt, status in self.refused.items():
            if attempt in self.runs:
                self.violate(Promise.NOT_RUN, f"{attempt} got {status} and ran")
