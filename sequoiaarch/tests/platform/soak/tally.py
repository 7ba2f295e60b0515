"""Compare what callers saw with what targets did."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from ....workspaces.directory import RateLimit
from ....workspaces.sliding_window import QuotaBounds


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
    WORKSPACE = "a target is told the workspace of the key, and never the key"
    REVOKED = "a key that was taken away runs nothing after the bound"
    QUOTA = "no window holds more of a workspace than its limit allows"
    BACK = "all is served again when the faults are over"


# Statuses that say that the request has not run and never will.
NOT_RUN_STATUSES = frozenset({402, 404, 408, 421, 429, 503})


OPEN_KEY = "key-of-open"
OPEN_WORKSPACE = "open"
# Seconds after its removal at which a key must be refused everywhere.
REVOKE_SECONDS = 5.0


@dataclass(kw_only=True)
class Run:
    """Note that a target began to work on an attempt, and what it was told."""

    instance: str
    body: bytes
    at: float = 0.0
    workspace: str | None = None
    key: str | None = None


@dataclass(kw_only=True)
class Sent:
    """Note the key of an attempt and when it was sent."""

    key: str
    at: float


@dataclass(kw_only=True)
class Tally:
    """Hold what targets and callers saw, and which promises were broken."""

    runs: dict[str, list[Run]] = field(default_factory=dict)
    refused: dict[str, int] = field(default_factory=dict)
    repeatable: set[str] = field(default_factory=set)
    prompts: dict[str, bytes] = field(default_factory=dict)
    sent: dict[str, Sent] = field(default_factory=dict)
    keys: dict[str, str] = field(default_factory=dict)
    # When the store took the configuration without a key.
    revoked: dict[str, float] = field(default_factory=dict)
    limits: dict[str, tuple[RateLimit, QuotaBounds]] = field(default_factory=dict)
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
        sent = self.sent.get(attempt)
        if sent is not None:
            self._check_key(attempt, sent, run)

    def _check_key(self, attempt: str, sent: Sent, run: Run) -> None:
        wanted = self.keys.get(sent.key)
        if run.workspace != wanted or run.key is not None:
            text = f"{attempt} of {wanted} ran for {run.workspace}, key {run.key}"
            self.violate(Promise.WORKSPACE, text)
        gone = self.revoked.get(sent.key)
        if gone is not None and sent.at > gone + REVOKE_SECONDS:
            text = f"{attempt} ran {sent.at - gone:.2f} s after its key went"
            self.violate(Promise.REVOKED, text)

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
        for name, (limit, bounds) in self.limits.items():
            most = self._worst_window(name, bounds.window)
            self.counts[f"{name} in a window"] = most
            if most > bounds.allowed(limit):
                text = f"{most} of {name} in a window of {bounds.allowed(limit)}"
                self.violate(Promise.QUOTA, text)

    def _worst_window(self, workspace: str, seconds: float) -> int:
        """Return the most runs of a workspace in any window."""
        times = sorted(
            run.at
            for runs in self.runs.values()
            for run in runs
            if run.workspace == workspace
        )
        ends = (bisect_left(times, begin + seconds) for begin in times)
        return max((end - place for place, end in enumerate(ends)), default=0)
