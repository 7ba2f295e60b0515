"""Decide which targets are passed over after failures, own ones and reported ones."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import logbook

from ..ids import HostName, InstanceId

log = logbook.Logger("health")

# A target that fails part of its requests is seen after a few; it is tried
# again when half of what was seen has faded. The second figure is in seconds.
FAILURE_SMOOTHING = 0.15
FAILURE_HALF_LIFE = 3.0
# So many hosts must have seen a target fail: one whose own network is bad sees
# every target fail.
REPORTERS = 2
# Failures that lie further apart are taken for the few that every target has.
# Seconds.
REPORT_WINDOW = 1.5
# A target is passed over for this time, twice as long each time that it fails
# when it is tried again, up to the limit: most failures end within seconds, and
# what is passed over for long is missing. Seconds.
PASS_OVER = 1.0
PASS_OVER_LIMIT = 8.0
# One host after the other may try a target again, in an order that changes: a
# target that still fails costs one request then, not one for each host. A host
# with little traffic must not keep the others waiting. Seconds.
RETRY_GAP = 0.2
# A request that tries a target again is answered or broken off within this time;
# until then no other one follows it. Seconds.
TRIAL_SECONDS = 0.5
# A host repeats a report of the same target no sooner. Seconds.
REPORT_GAP = 0.2
# What a host heard of a target itself so lately counts more than what others
# report: they may be cut off from a target that others reach. Seconds.
OWN_WORD = 0.2
EJECTED = 1.0
# Targets come and go for as long as a process runs, and reports of one may arrive
# after it has left. What was learned first goes first.
MOST_RECORDS = 4096
# A target that owes the first event of a stream for this many times the route's
# latency target is taken for silent, where queues are short: callers bear twice as
# long. Where waits are longer, so much of the longest one of late is added, or full
# targets would be passed over one after the other.
FIRST_EVENT_FACTOR = 4.0
LONGEST_WAIT_FACTOR = 4.0
# The same for the next event, in pauses that the route allows: engines that
# admit others in between exceed one pause now and then.
NEXT_EVENT_FACTOR = 2.0


@dataclass(kw_only=True)
class _Record:
    """Hold what is known of one target; times are on the caller's clock."""

    failing: float = 0.0
    judged: float = 0.0
    reports: dict[HostName, float] = field(default_factory=dict)
    reported: float = float("-inf")
    until: float = float("-inf")
    turn: float = float("-inf")
    pause: float = PASS_OVER
    on_trial: bool = False
    trial_until: float = float("-inf")
    times: int = 0
    heard: float = float("-inf")


class TargetHealth:
    """Judge targets by what this host and its neighbours saw of them.

    A target may say that it is well and fail all that it is sent. With many
    hosts each of them sends it a few requests before it knows: 16 hosts of a
    data centre lost 38 calls to one target, which can't be repeated. What one
    host has seen is therefore told to the others that use the same targets.
    """

    def __init__(
        self, *, own: HostName, rank: Callable[[str], int] = lambda name: 0
    ) -> None:
        """Know nothing; `place` is this host's place among all for a name."""
        self._own = own
        self._rank = rank
        # Called when a target is passed over.
        self.on_ejected: Callable[[InstanceId], None] = lambda instance: None
        self._records: dict[InstanceId, _Record] = {}

    def request_failed(self, instance: InstanceId, now: float) -> bool:
        """Note that an own request failed; return whether to report it."""
        record = self._record(instance)
        record.judged, record.failing = now, self._judge(record, now, 1.0)
        self._accused(instance, record, self._own, now)
        if now - record.reported < REPORT_GAP:
            return False
        record.reported = now
        return True

    def request_succeeded(self, instance: InstanceId, now: float) -> bool:
        """Note that an own request was answered; return whether to report it."""
        record = self._records.get(instance)
        if record is None:
            return False
        record.judged, record.failing = now, self._judge(record, now, 0.0)
        if not record.on_trial or now < record.until:
            return False
        self._recovered(instance, record)
        return True

    def report_received(
        self, instance: InstanceId, host: HostName, *, ok: bool, now: float
    ) -> None:
        """Take over what another host saw."""
        record = self._record(instance)
        if not ok:
            if now - record.heard > OWN_WORD:
                self._accused(instance, record, host, now)
        elif record.on_trial:
            self._recovered(instance, record)

    def response_received(self, instance: InstanceId, now: float) -> None:
        """Note that a target sent something sound to this host."""
        self._record(instance).heard = now

    def request_sent(self, instance: InstanceId, now: float) -> None:
        """Note that a request goes to a target."""
        record = self._records.get(instance)
        if record is not None and record.on_trial:
            record.trial_until = now + TRIAL_SECONDS

    def failure_rate(self, instance: InstanceId, now: float) -> float:
        """Return the share of requests that may fail at a target."""
        record = self._records.get(instance)
        if record is None:
            return 0.0
        if record.on_trial and now < max(record.turn, record.trial_until):
            return EJECTED
        return _faded(record, now)

    def forget(self, instance: InstanceId) -> None:
        """Forget a target that has left."""
        self._records.pop(instance, None)

    def _record(self, instance: InstanceId) -> _Record:
        found = self._records.get(instance)
        if found is None:
            found = self._records[instance] = _Record()
            if len(self._records) > MOST_RECORDS:
                del self._records[next(iter(self._records))]
        return found

    def _judge(self, record: _Record, now: float, seen: float) -> float:
        before = _faded(record, now)
        return before + FAILURE_SMOOTHING * (seen - before)

    def _accused(
        self, instance: InstanceId, record: _Record, host: HostName, now: float
    ) -> None:
        """Count a failure that a host saw; pass the target over if it is enough.

        What fails while the target is passed over was sent before.
        """
        if now < record.until:
            return
        record.reports[host] = now
        lately = [
            seen for seen in record.reports.values() if seen > now - REPORT_WINDOW
        ]
        if not record.on_trial and len(lately) < REPORTERS:
            return
        if record.on_trial:
            record.pause = min(2 * record.pause, PASS_OVER_LIMIT)
        record.on_trial = True
        record.until = now + record.pause
        record.times += 1
        record.turn = record.until + RETRY_GAP * self._rank(
            f"{instance}/{record.times}"
        )
        record.reports.clear()
        self.on_ejected(instance)
        log.info(
            "target {} is passed over for {:.1f} s: {} hosts saw it fail in {} s",
            instance,
            record.pause,
            len(lately),
            REPORT_WINDOW,
        )

    def _recovered(self, instance: InstanceId, record: _Record) -> None:
        record.on_trial = False
        record.until = record.trial_until = float("-inf")
        record.pause = max(record.pause / 2, PASS_OVER)
        record.reports.clear()
        log.info("target {} is used again", instance)


def first_event_due(latency_target: float, longest_wait: float) -> float:
    """Return the seconds after which a target without a first event is silent."""
    return FIRST_EVENT_FACTOR * latency_target + LONGEST_WAIT_FACTOR * longest_wait


def next_event_due(pause: float) -> float:
    """Return the same for the next event, from the pause that a route allows."""
    return NEXT_EVENT_FACTOR * pause


def _faded(record: _Record, now: float) -> float:
    return record.failing * 0.5 ** ((now - record.judged) / FAILURE_HALF_LIFE)
