"""Eject targets that fail requests of this host or, by their reports, of others."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import logbook

from ..ids import HostName, InstanceId

log = logbook.Logger("health")

# Weight of a new result in the moving average of the failure rate, and the half-life
# of that average in seconds. A target that fails part of its requests is noticed after
# a few of them, and tried again when half of that average has faded.
FAILURE_SMOOTHING = 0.15
FAILURE_HALF_LIFE = 3.0
# Number of hosts that must have seen a target fail: to a host with a broken network
# every target seems to fail.
MIN_REPORTERS = 2
# Failures further apart than this count as sporadic. Seconds.
REPORT_WINDOW = 1.5
# Duration of an ejection, doubled up to the maximum each time that the target fails
# again when it is probed: most failures end within seconds, and the capacity of an
# ejected target is missing. Seconds.
EJECTION_SECONDS = 1.0
MAX_EJECTION_SECONDS = 8.0
# Delay between the hosts that may probe an ejected target, in an order that changes:
# a target that still fails costs one request, not one of each host. Short, as a host
# with little traffic must not keep the others waiting. Seconds.
PROBE_STAGGER = 0.2
# No other request follows a probe within this time, in which it is answered or broken
# off. Seconds.
PROBE_INTERVAL = 0.5
# Minimum interval between reports of the same target. Seconds.
REPORT_INTERVAL = 0.2
# Failure reports of other hosts are ignored for this time after a response to this
# host: they may be cut off from the target. Seconds.
OWN_RESPONSE_WINDOW = 0.2
# Failure rate of an ejected target.
EJECTED_FAILURE_RATE = 1.0
# Limit on remembered targets, as reports may arrive after a target has left; the
# oldest record is dropped first.
MAX_RECORDS = 4096
# A target counts as silent without a first event after this many times the route's
# latency target, plus this many times the longest recent wait, so that busy targets
# are not ejected one after the other. Callers wait twice as long.
FIRST_EVENT_FACTOR = 4.0
LONGEST_WAIT_FACTOR = 4.0
# The same for each further event, as a multiple of the pause that the route allows:
# engines that admit other requests in between may exceed one pause.
NEXT_EVENT_FACTOR = 2.0


@dataclass(kw_only=True)
class _Record:
    """Hold the health of one target; times are on the caller's clock.

    `ejected` holds until the first answer after an ejection. This host may probe the
    target from `probe_from` on, and again from `next_probe` on. `ejection` is the
    duration of the latest ejection in seconds, halved when the target is used again.
    """

    failure_rate: float = 0.0
    updated: float = 0.0
    reports: dict[HostName, float] = field(default_factory=dict)
    report_sent: float = float("-inf")
    ejected_until: float = float("-inf")
    probe_from: float = float("-inf")
    ejection: float = EJECTION_SECONDS
    ejected: bool = False
    next_probe: float = float("-inf")
    ejections: int = 0
    last_response: float = float("-inf")


class TargetHealth:
    """Track failures of targets and eject targets that several hosts saw fail.

    A target may pass its health check and fail all requests. If each host had to find
    out alone, every host would lose requests, some of which can't be retried. So
    hosts that use the same targets report failures and recoveries to each other.
    """

    def __init__(
        self, *, own: HostName, rank: Callable[[str], int] = lambda name: 0
    ) -> None:
        """Start without records; `rank` returns this host's rank for a name."""
        self._own = own
        self._rank = rank
        # Called when a target is ejected.
        self.on_ejected: Callable[[InstanceId], None] = lambda instance: None
        self._records: dict[InstanceId, _Record] = {}

    def request_failed(self, instance: InstanceId, now: float) -> bool:
        """Record a failed request; return whether to report it."""
        record = self._record(instance)
        record.updated, record.failure_rate = now, self._smoothed_rate(record, now, 1.0)
        self._add_report(instance, record, self._own, now)
        if now - record.report_sent < REPORT_INTERVAL:
            return False
        record.report_sent = now
        return True

    def request_succeeded(self, instance: InstanceId, now: float) -> bool:
        """Record an answered request; return whether to report it."""
        record = self._records.get(instance)
        if record is None:
            return False
        record.updated, record.failure_rate = now, self._smoothed_rate(record, now, 0.0)
        if not record.ejected or now < record.ejected_until:
            return False
        self._readmit(instance, record)
        return True

    def report_received(
        self, instance: InstanceId, host: HostName, *, ok: bool, now: float
    ) -> None:
        """Apply a report of another host."""
        record = self._record(instance)
        if not ok:
            if now - record.last_response > OWN_RESPONSE_WINDOW:
                self._add_report(instance, record, host, now)
        elif record.ejected:
            self._readmit(instance, record)

    def response_received(self, instance: InstanceId, now: float) -> None:
        """Record that a target sent a valid response to this host."""
        self._record(instance).last_response = now

    def request_started(self, instance: InstanceId, now: float) -> None:
        """Record that a request is sent to a target."""
        record = self._records.get(instance)
        if record is not None and record.ejected:
            record.next_probe = now + PROBE_INTERVAL

    def failure_rate(self, instance: InstanceId, now: float) -> float:
        """Return the expected fraction of requests that fail at a target."""
        record = self._records.get(instance)
        if record is None:
            return 0.0
        if record.ejected and now < max(record.probe_from, record.next_probe):
            return EJECTED_FAILURE_RATE
        return _decayed_rate(record, now)

    def forget(self, instance: InstanceId) -> None:
        """Drop the record of a target that has left."""
        self._records.pop(instance, None)

    def _record(self, instance: InstanceId) -> _Record:
        record = self._records.get(instance)
        if record is None:
            record = self._records[instance] = _Record()
            if len(self._records) > MAX_RECORDS:
                del self._records[next(iter(self._records))]
        return record

    def _smoothed_rate(self, record: _Record, now: float, result: float) -> float:
        rate = _decayed_rate(record, now)
        return rate + FAILURE_SMOOTHING * (result - rate)

    def _add_report(
        self, instance: InstanceId, record: _Record, host: HostName, now: float
    ) -> None:
        """Count a failure that a host saw; eject the target if there are enough.

        Requests that fail during an ejection were sent before it.
        """
        if now < record.ejected_until:
            return
        record.reports[host] = now
        recent = [
            reported_at
            for reported_at in record.reports.values()
            if reported_at > now - REPORT_WINDOW
        ]
        if not record.ejected and len(recent) < MIN_REPORTERS:
            return
        if record.ejected:
            record.ejection = min(2 * record.ejection, MAX_EJECTION_SECONDS)
        record.ejected = True
        record.ejected_until = now + record.ejection
        record.ejections += 1
        record.probe_from = record.ejected_until + PROBE_STAGGER * self._rank(
            f"{instance}/{record.ejections}"
        )
        record.reports.clear()
        self.on_ejected(instance)
        log.info(
            "target {} is ejected for {:.1f} s: {} hosts saw it fail within {} s",
            instance,
            record.ejection,
            len(recent),
            REPORT_WINDOW,
        )

    def _readmit(self, instance: InstanceId, record: _Record) -> None:
        record.ejected = False
        record.ejected_until = record.next_probe = float("-inf")
        record.ejection = max(record.ejection / 2, EJECTION_SECONDS)
        record.reports.clear()
        log.info("target {} is used again", instance)


def first_event_due(latency_target: float, longest_wait: float) -> float:
    """Return the seconds without a first event after which a target is silent."""
    return FIRST_EVENT_FACTOR * latency_target + LONGEST_WAIT_FACTOR * longest_wait


def next_event_due(pause: float) -> float:
    """Return the seconds without a further event after which a target is silent."""
    return NEXT_EVENT_FACTOR * pause


def _decayed_rate(record: _Record, now: float) -> float:
    return record.failure_rate * 0.5 ** ((now - record.updated) / FAILURE_HALF_LIFE)
