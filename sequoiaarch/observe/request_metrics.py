"""Prometheus metrics of an ingress daemon."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from ..fleet.engine_owner import EngineLoad
from ..ids import DataCentre, HostName, Workspace

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
        self._engine_programs = self._gauge(
            "engine_programs", "Programs on each engine that this host owns."
        )
        self._engine_free = self._gauge(
            "engine_free_placements", "Programs that each owned engine can still take."
        )
        self._engine_pace = self._gauge(
            "engine_event_seconds", "Seconds for each event of each owned engine."
        )
        self._engine_owner = self._gauge(
            "engine_owner", "The owner of this data centre's engines as seen here."
        )
        self._placements = self._counter(
            "placements_total", "Placements decided here by result, since the start."
        )
        self._resumed = self._counter(
            "resumed_streams_total", "Requests to resume a stream by who knew it."
        )
        self._undelivered = self._counter(
            "undelivered_total",
            "Connections that ended before their response was delivered, by who ended.",
        )
        self._ends = self._counter(
            "target_ends_total",
            "Ends of targets put to requests that they had not answered, by evidence.",
        )
        self._admissions = self._counter(
            "exposed_sends_total",
            "Decisions on further sends of requests that a target did not answer.",
        )
        self._duration = self._histogram("request_seconds", "Time to the last byte.")
        self._first_event = self._histogram(
            "first_event_seconds", "Time to the first event."
        )
        self._commit = self._histogram("commit_seconds", "Time of a turn's commit.")
        self._leaving_known = self._histogram(
            "leaving_known_seconds", "Time until it is known that a target leaves."
        )

    def count_response(self, route: str, status: int, seconds: float) -> None:
        """Count a response and observe its duration."""
        self._answers.inc({"route": route, "status": str(status)})
        self._duration.observe({"route": route}, seconds)

    def count_failure(self, kind: str) -> None:
        """Count a failure that the daemon itself answered."""
        self._failures.inc({"kind": kind})

    def count_resumed(self, known: str) -> None:
        """Count a request to resume a stream by who knew where it began."""
        self._resumed.inc({"known": known})

    def count_undelivered(self, ended_by: str) -> None:
        """Count a connection that ended before its response was delivered."""
        self._undelivered.inc({"ended_by": ended_by})

    def count_end(self, evidence: str) -> None:
        """Count the end of a target that is put to a request."""
        self._ends.inc({"evidence": evidence})

    def count_admission(self, *, allowed: bool, known_by_all: bool) -> None:
        """Count a decision on a further send of a suspected request."""
        self._admissions.inc(
            {
                "sent": str(allowed).lower(),
                "all_answered": str(known_by_all).lower(),
            }
        )

    def observe_first_event(self, route: str, seconds: float) -> None:
        """Observe the time to the first event of a stream."""
        self._first_event.observe({"route": route}, seconds)

    def observe_commit(self, seconds: float) -> None:
        """Observe the duration of a turn's commit."""
        self._commit.observe({}, seconds)

    def observe_leaving_known(self, seconds: float) -> None:
        """Observe within which time it was learned that a target leaves."""
        self._leaving_known.observe({}, seconds)

    def set_state(self, name: str, value: float) -> None:
        """Set a named value of the daemon's state."""
        self._state.set({"name": name}, value)

    def set_shares(self, free: Mapping[tuple[Workspace, int], float]) -> None:
        """Set the free tokens of the shares owned here, and 0 for those lost since."""
        removed = dict.fromkeys(self._reported_shares - free.keys(), 0.0)
        for (workspace, share), tokens in {**removed, **free}.items():
            self._shares.set({"workspace": workspace, "share": str(share)}, tokens)
        self._reported_shares = set(free)

    def set_engines(self, loads: Iterable[EngineLoad]) -> None:
        """Set the load of the engines owned here, and drop those that are not any more.

        Engines get a new name with each start.
        """
        gauges = self._engine_programs, self._engine_free, self._engine_pace
        for gauge in gauges:
            gauge.values.clear()
        for load in loads:
            labels = {"engine": str(load.instance)}
            self._engine_programs.set(labels, load.programs)
            self._engine_free.set(labels, load.free)
            if load.pace is not None:
                self._engine_pace.set(labels, load.pace)

    def set_engine_owner(self, centre: DataCentre, owner: HostName | None) -> None:
        """Set the owner of a data centre's engines, in place of the previous one."""
        self._engine_owner.values.clear()
        if owner is not None:
            labels = {"data_centre": str(centre), "owner": str(owner)}
            self._engine_owner.set(labels, 1)

    def set_placements(self, counts: Mapping[str, int]) -> None:
        """Set how many placements this host decided, by result."""
        for result, count in counts.items():
            self._placements.set({"result": result}, count)

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return render(self._registry, ["text/plain"])[0]

    def _counter(self, name: str, text: str) -> Counter:
        return Counter(f"sequoiaarch_{name}", text, registry=self._registry)

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(f"sequoiaarch_{name}", text, registry=self._registry)

    def _histogram(self, name: str, text: str) -> Histogram:
        return Histogram(
            f"sequoiaarch_{name}", text, buckets=SECONDS, registry=self._registry
        )
