"""Prometheus metrics of the daemons."""

from __future__ import annotations

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

SECONDS = [0.005, 0.02, 0.05, 0.1, 0.2, 0.33, 0.5, 1, 2, 5, 10, 30, 60]


class Metrics:
    """Counters, gauges and histograms of one daemon."""

    def __init__(self) -> None:
        self._registry = Registry()
        self.calls = self._counter("calls_total", "Calls by kind and result.")
        self.refusals = self._counter("refusals_total", "Refusals by error kind.")
        self.records = self._counter("log_records_total", "Records by verdict.")
        self.appends = self._counter("log_appends_total", "Appends by result.")
        self.claims = self._counter("claims_total", "Claims by cause.")
        self.freed = self._counter("cache_freed_total", "Prefixes freed by cause.")
        self.peers_lost = self._counter("peers_lost_total", "Peers found silent.")
        self.cached_tokens = self._counter(
            "prompt_tokens_total", "Prompt tokens by whether they were cached."
        )
        self.queue = self._gauge("queue_length", "Calls that wait at the target.")
        self.running = self._gauge("running_calls", "Calls that run at the target.")
        self.programs = self._gauge("home_programs", "Programs at home here.")
        self.config = self._gauge("config_offset", "Newest publication in force.")
        self.uncommitted = self._gauge("uncommitted_bytes", "Turns not yet kept.")
        self.first_token = self._histogram(
            "first_token_seconds", "Time to the first piece of an answer."
        )
        self.wait = self._histogram("queue_wait_seconds", "Time in the queue.")
        self.commit = self._histogram("commit_seconds", "Time from answer to commit.")

    def _counter(self, name: str, text: str) -> Counter:
        return Counter(f"sequoiaarch_{name}", text, registry=self._registry)

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(f"sequoiaarch_{name}", text, registry=self._registry)

    def _histogram(self, name: str, text: str) -> Histogram:
        return Histogram(
            f"sequoiaarch_{name}", text, buckets=SECONDS, registry=self._registry
        )

    def render(self, accept: str) -> tuple[bytes, dict[str, str]]:
        """Return the metrics in an accepted format, with its response headers."""
        return render(self._registry, [accept or "text/plain"])
