"""Test the ejection of targets that fail, by single hosts and a simulated fleet."""

from __future__ import annotations

import heapq
import itertools
import random
import unittest
from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import partial

from ...fleet.ranking import rank_of
from ...ids import HostName, InstanceId
from ...policies.engines import EngineCandidate, NearestFree, PromptShape
from ...policies.health import (
    EJECTION_SECONDS,
    MAX_EJECTION_SECONDS,
    MAX_RECORDS,
    MIN_REPORTERS,
    REPORT_WINDOW,
    TargetHealth,
)

NEAR = InstanceId("near")
FAR = InstanceId("far")
SLOTS = 6
# Requests per second to a service of one data centre; the delay of a report to other
# hosts and of an answer, in seconds.
RATE = 40.0
REPORT_SECONDS = 0.003
ANSWER_SECONDS = 0.03
FAILING_SECONDS = 6.4
RUN_SECONDS = 15.0


# Time, sequence number, host, whether the request succeeded, whether it is a report.
_Event = tuple[float, int, int, bool, bool]


def _candidates(health: TargetHealth, now: float) -> list[EngineCandidate]:
    """Return both targets, idle, with the failure rates that a host knows."""
    return [
        EngineCandidate(
            instance=name,
            slots=SLOTS,
            running=0,
            near=name == NEAR,
            failing=health.failure_rate(name, now),
        )
        for name in (NEAR, FAR)
    ]


@dataclass
class _Fleet:
    """Simulate hosts that use the same near target and send each other reports."""

    hosts: int
    sends_reports: bool = True
    partitioned: frozenset[int] = frozenset()
    healths: list[TargetHealth] = field(default_factory=list)
    failed: int = 0
    messages: int = 0
    near_requests: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Create the hosts; each knows all others, so that their ranks agree."""
        names = [HostName(f"h{number}") for number in range(self.hosts)]
        self.healths = [
            TargetHealth(own=name, rank=partial(rank_of, name, hosts=names))
            for name in names
        ]

    def run(self, seed: int) -> None:
        """Send requests through all hosts; at first the near target fails them."""
        rng = random.Random(seed)
        policy = NearestFree(rng=rng)
        events: list[_Event] = []
        order = itertools.count()
        now = 0.0
        while now < RUN_SECONDS:
            now += rng.expovariate(RATE)
            while events and events[0][0] <= now:
                self._handle_event(events, order)
            number = rng.randrange(self.hosts)
            health = self.healths[number]
            chosen, _ = policy.choose(PromptShape(parts=()), _candidates(health, now))
            health.request_started(chosen, now)
            if chosen is not NEAR:
                continue
            self.near_requests.append(now)
            ok = now > FAILING_SECONDS and number not in self.partitioned
            self.failed += not ok
            answered = now + (ANSWER_SECONDS if ok else 0.001)
            heapq.heappush(events, (answered, next(order), number, ok, False))

    def _handle_event(self, events: list[_Event], order: Iterator[int]) -> None:
        time, _, number, ok, report = heapq.heappop(events)
        if report:
            for other in range(self.hosts):
                if other != number:
                    self.messages += 1
                    host = HostName(f"h{number}")
                    self.healths[other].report_received(NEAR, host, ok=ok, now=time)
            return
        health = self.healths[number]
        should_report = (
            health.request_succeeded(NEAR, time)
            if ok
            else health.request_failed(NEAR, time)
        )
        if should_report and self.sends_reports:
            delivered = time + REPORT_SECONDS
            heapq.heappush(events, (delivered, next(order), number, ok, True))


class TargetHealthTests(unittest.TestCase):
    """Test a target that passes its health check and fails every request."""

    def test_lost_requests_do_not_grow_with_hosts(self) -> None:
        """Lose two requests, those in flight and one per probe, at any fleet size."""
        for hosts, seed in itertools.product((10, 30, 100), range(5)):
            fleet = _Fleet(hosts=hosts)
            fleet.run(seed)
            with self.subTest(hosts=hosts, seed=seed):
                probes = 3
                in_flight = 3
                self.assertLessEqual(fleet.failed, MIN_REPORTERS + probes + in_flight)

    def test_lost_requests_grow_without_reports(self) -> None:
        """Lose more requests in larger fleets if hosts send no reports."""
        failed_by_size = []
        for hosts in (10, 30, 100):
            fleet = _Fleet(hosts=hosts, sends_reports=False)
            fleet.run(1)
            failed_by_size.append(fleet.failed)
        self.assertGreater(failed_by_size[0], 20)
        self.assertGreater(failed_by_size[1], failed_by_size[0])
        self.assertGreater(failed_by_size[2], failed_by_size[1])

    def test_recovered_target_is_used_again(self) -> None:
        """Use a target from all hosts again soon after it recovers."""
        for seed in range(5):
            fleet = _Fleet(hosts=100)
            fleet.run(seed)
            recovered = FAILING_SECONDS + MAX_EJECTION_SECONDS / 2
            after = [time for time in fleet.near_requests if time > recovered]
            with self.subTest(seed=seed):
                expected = RATE * (RUN_SECONDS - recovered)
                self.assertGreater(len(after), expected / 2)

    def test_report_count_is_bounded(self) -> None:
        """Send each host a few reports in all."""
        fleet = _Fleet(hosts=100)
        fleet.run(1)
        self.assertLess(fleet.messages, 12 * fleet.hosts)

    def test_single_reporter_ejects_no_target(self) -> None:
        """Keep a target that only one host, with a broken link, reports."""
        health = TargetHealth(own=HostName("well"))
        for step in range(100):
            now = step * 0.2
            health.report_received(NEAR, HostName("bad"), ok=False, now=now)
            self.assertEqual(health.failure_rate(NEAR, now), 0.0)

    def test_sporadic_failures_eject_no_target(self) -> None:
        """Keep a target that fails sporadically for different hosts."""
        health = TargetHealth(own=HostName("own"))
        for step in range(20):
            now = step * (REPORT_WINDOW + 0.1)
            health.report_received(NEAR, HostName(f"h{step}"), ok=False, now=now)
            self.assertEqual(health.failure_rate(NEAR, now), 0.0)

    def test_all_targets_ejected(self) -> None:
        """Use a target although all targets of the service are ejected."""
        health = TargetHealth(own=HostName("own"))
        for name, host in itertools.product((NEAR, FAR), ("a", "b", "c")):
            health.report_received(name, HostName(host), ok=False, now=0.0)
        policy = NearestFree(rng=random.Random(1))
        chosen, _ = policy.choose(PromptShape(parts=()), _candidates(health, 0.1))
        self.assertEqual(chosen, NEAR)

    def test_ejection_callback(self) -> None:
        """Call back once per ejection, so that idle connections can be closed."""
        closed: list[InstanceId] = []
        health = TargetHealth(own=HostName("own"))
        health.on_ejected = closed.append
        for host in ("a", "b", "c"):
            health.report_received(NEAR, HostName(host), ok=False, now=0.0)
        self.assertEqual(closed, [NEAR])

    def test_record_count_is_bounded(self) -> None:
        """Drop old records when there are too many."""
        health = TargetHealth(own=HostName("own"))
        for number in range(MAX_RECORDS + 10):
            health.response_received(InstanceId(f"i-{number}"), float(number))
        self.assertEqual(len(health._records), MAX_RECORDS)

    def test_ejections_grow_until_a_success(self) -> None:
        """Double the ejection up to 8 seconds, and end it after a success."""
        health = TargetHealth(own=HostName("own"))
        now = 0.0
        for host in ("a", "b"):
            health.report_received(NEAR, HostName(host), ok=False, now=now)
        for pause in (
            EJECTION_SECONDS,
            2 * EJECTION_SECONDS,
            4 * EJECTION_SECONDS,
            MAX_EJECTION_SECONDS,
        ):
            self.assertEqual(health.failure_rate(NEAR, now + pause - 0.01), 1.0)
            now += pause
            self.assertLess(health.failure_rate(NEAR, now), 1.0)
            health.request_failed(NEAR, now)
        now += MAX_EJECTION_SECONDS
        self.assertTrue(health.request_succeeded(NEAR, now))
        self.assertLess(health.failure_rate(NEAR, now), 1.0)
