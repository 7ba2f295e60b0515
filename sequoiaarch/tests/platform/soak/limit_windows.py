"""Check limits of workspaces by what callers sent and targets ran."""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from ....workspaces.directory import RateLimit
from ....workspaces.sliding_window import QuotaBounds


@dataclass(kw_only=True)
class LimitWindows:
    """Record when requests were sent and ran, and find the fullest windows.

    A request counts in a window that holds both its time of sending and that of its
    run. Each run counts.
    """

    bounds: QuotaBounds
    limits: dict[str, RateLimit]
    counts: Counter[str] = field(default_factory=Counter)
    sent_at: dict[str, float] = field(default_factory=dict)
    _runs: dict[str, list[tuple[float, float]]] = field(
        default_factory=lambda: defaultdict(list)
    )

    def record_run(self, attempt: str, workspace: str | None, at: float) -> None:
        """Record that a target began to run an attempt."""
        if workspace is not None:
            self._runs[workspace].append((self.sent_at[attempt], at))

    def fullest_window(self, workspace: str) -> tuple[int, float]:
        """Return the most requests in a window, and the time at which it begins."""
        runs = sorted(self._runs[workspace])
        fullest = (0, 0.0)
        times: list[float] = []
        for sent, ran in reversed(runs):
            times.insert(bisect_right(times, ran), ran)
            count = bisect_right(times, sent + self.bounds.window)
            fullest = max(fullest, (count, sent))
        return fullest

    def violations(self) -> list[str]:
        """Return a text for each workspace that got more than its limit."""
        texts = []
        for workspace, limit in self.limits.items():
            count, begin = self.fullest_window(workspace)
            allowed = self.bounds.allowed(limit)
            if count > allowed:
                texts.append(
                    f"{count} requests of {workspace} in the window from {begin:.2f},"
                    f" {allowed:.1f} allowed"
                )
        return texts

    def fullest_share(self) -> float:
        """Return the largest part of what a window allows that any workspace used."""
        return max(
            self.fullest_window(workspace)[0] / self.bounds.allowed(limit)
            for workspace, limit in self.limits.items()
        )
