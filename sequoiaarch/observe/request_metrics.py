"""Prometheus metrics of an ingress daemon."""

from __future__ import annotations

from collections.abc import Mapping

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from ..ids import Workspace

SECONDS = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10]


class RequestMetrics:
    """Counters, gauges and histograms of one ingress daemon."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._answers = self._counter("answers_total", "Answers by route and status.")
        self._failures = self._counter("failures_total", "Own failures by kind.")
        self._state = Gauge(
            "sequoiaarch_state", "State by name.", registry=self._registry
        )
        self._reported_shares: set[tuple[Workspace, int]] = set()
        self._shares = Gauge(
            "sequoiaarch_share_free",
            "Tokens left of the shares of limits that are kept here.",
            registry=self._registry,
        )
        self._duration = self._histogram("request_seconds", "Time to the last byte.")
        self._first_event = self._histogram(
            "first_event_seconds", "Time to the first event."
        )
        self._commit = self._histogram("commit_seconds", "Time of a turn's commit.")

    def count_response(self, route: str, status: int, seconds: float) -> None:
        """Count a response and observe its duration."""
        self._answers.inc({"route": route, "status": str(status)})
        self._duration.observe({"route": route}, seconds)

    def count_failure(self, kind: str) -> None:
        """Count a failure that the daemon itself answered."""
        self._failures.inc({"kind": kind})

    def observe_first_event(self, route: str, seconds: float) -> None:
        """Observe the time to the first event of a stream."""
        self._first_event.observe({"route": route}, seconds)

    def observe_commit(self, seconds: float) -> None:
        """Observe the duration of a turn's commit."""
        self._commit.observe({}, seconds)

    def set_state(self, name: str, value: float) -> None:
        """Set a named value of the daemon's state."""
        self._state.set({"name": name}, value)

    def set_shares(self, free: Mapping[tuple[Workspace, int], float]) -> None:
        """Set the free tokens of the shares owned here, and 0 for those lost since."""
        removed = dict.fromkeys(self._reported_shares - free.keys(), 0.0)
        for (workspace, share), tokens in {**removed, **free}.items():
            self._shares.set({"workspace": workspace, "share": str(share)}, tokens)
        self._reported_shares = set(free)

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return render(self._registry, ["text/plain"])[0]

    def _counter(self, name: str, text: str) -> Counter:
        return Counter(f"sequoiaarch_{name}", text, registry=self._registry)

    def _histogram(self, name: str, text: str) -> Histogram:
        return Histogram(
            f"sequoiaarch_{name}", text, buckets=SECONDS, registry=self._registry
        )
