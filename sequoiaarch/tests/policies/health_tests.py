"""Replay targets that fail all they are sent, seen by many hosts at once."""

from __future__ import annotations

import heapq
import itertools
import random
import unittest
from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import partial

from ...fleet.ranking import place_of
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
# Requests to a service of one data centre, a second; the time until a report
# reaches the other hosts, and until a request is answered. Seconds.
RATE = 40.0
REPORT_SECONDS = 0.003
ANSWER_SECONDS = 0.03
FAILING_SECONDS = 6.4
DAY_SECONDS = 15.0


# When, a running number, the host, whether it was served, whether it is a report.
_Event = tuple[float, int, int, bool, bool]


def _choices(health: TargetHealth, now: float) -> list[EngineCandidate]:
    """Return both targets, idle, as a host knows them."""
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
    """Hold hosts that share a near target, and tell each other what they see."""

    hosts: int
    shares: bool = True
    blind: frozenset[int] = frozenset()
    healths: list[TargetHealth] = field(default_factory=list)
    failed: int = 0
    messages: int = 0
    near: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Make the hosts; each knows all of them, so that their places agree."""
        names = [HostName(f"h{number}") for number in range(self.hosts)]
        self.healths = [
            TargetHealth(own=name, rank=partial(place_of, name, hosts=names))
            for name in names
        ]

    def play(self, seed: int) -> None:
        """Send requests through all hosts for a while; the near target fails first."""
        rng = random.Random(seed)
        policy = NearestFree(rng=rng)
        events: list[_Event] = []
        order = itertools.count()
        now = 0.0
        while now < DAY_SECONDS:
            now += rng.expovariate(RATE)
            while events and events[0][0] <= now:
                self._happens(events, order)
            number = rng.randrange(self.hosts)
            health = self.healths[number]
            chosen, _ = policy.choose(PromptShape(parts=()), _choices(health, now))
            health.request_sent(chosen, now)
            if chosen is not NEAR:
                continue
            self.near.append(now)
            ok = now > FAILING_SECONDS and number not in self.blind
            self.failed += not ok
            answered = now + (ANSWER_SECONDS if ok else 0.001)
            heapq.heappush(events, (answered, next(order), number, ok, False))

    def _happens(self, events: list[_Event], order: Iterator[int]) -> None:
        at, _, number, ok, report = heapq.heappop(events)
        if report:
            for other in range(self.hosts):
                if other != number:
                    self.messages += 1
                    host = HostName(f"h{number}")
                    self.healths[other].report_received(NEAR, host, ok=ok, now=at)
            return
        health = self.healths[number]
        tell = (
            health.request_succeeded(NEAR, at)
            if ok
            else health.request_failed(NEAR, at)
        )
        if tell and self.shares:
            told = at + REPORT_SECONDS
            heapq.heappush(events, (told, next(order), number, ok, True))


class TargetHealthTests(unittest.TestCase):
    """Play a target that is well by its own word and fails every request."""

    def test_fleet_of_any_size_loses_a_few_requests(self) -> None:
        """Lose two requests until all hosts know, and one for each new try.

        A target resets all requests for 6.4 s. Each host sends it less than one
        request a second. What two of them lost is told to all, so the number of
        lost requests doesn't grow with the hosts: two at first, a few that are
        under way then, and one for each time that the target is tried again.
        """
        for hosts, seed in itertools.product((10, 30, 100), range(5)):
            fleet = _Fleet(hosts=hosts)
            fleet.play(seed)
            with self.subTest(hosts=hosts, seed=seed):
                tries = 3
                under_way = 3
                self.assertLessEqual(fleet.failed, MIN_REPORTERS + tries + under_way)

    def test_naive_fleet_loses_more_the_larger_it_is(self) -> None:
        """Show what each host loses that learns from its own requests alone."""
        lost = []
        for hosts in (10, 30, 100):
            fleet = _Fleet(hosts=hosts, shares=False)
            fleet.play(1)
            lost.append(fleet.failed)
        self.assertGreater(lost[0], 20)
        self.assertGreater(lost[1], lost[0])
        self.assertGreater(lost[2], lost[1])

    def test_target_that_is_well_again_is_used_by_all(self) -> None:
        """Come back to a target soon after it serves again, all hosts at once."""
        for seed in range(5):
            fleet = _Fleet(hosts=100)
            fleet.play(seed)
            back = FAILING_SECONDS + MAX_EJECTION_SECONDS / 2
            after = [at for at in fleet.near if at > back]
            with self.subTest(seed=seed):
                expected = RATE * (DAY_SECONDS - back)
                self.assertGreater(len(after), expected / 2)

    def test_messages_follow_failures_and_not_pairs_of_hosts(self) -> None:
        """Send a message to each host for a failure, a few times in all."""
        fleet = _Fleet(hosts=100)
        fleet.play(1)
        self.assertLess(fleet.messages, 12 * fleet.hosts)

    def test_host_with_a_bad_link_convinces_nobody(self) -> None:
        """Go on with a target that only one host sees fail.

        One host's link to the target is cut; it accuses the target for as long
        as it lasts. The others have it answer, and stay.
        """
        health = TargetHealth(own=HostName("well"))
        for step in range(100):
            now = step * 0.2
            health.report_received(NEAR, HostName("bad"), ok=False, now=now)
            self.assertEqual(health.failure_rate(NEAR, now), 0.0)

    def test_failures_that_lie_apart_are_no_outage(self) -> None:
        """Stay with a target that loses an answer now and then, to any host."""
        health = TargetHealth(own=HostName("own"))
        for step in range(20):
            now = step * (REPORT_WINDOW + 0.1)
            health.report_received(NEAR, HostName(f"h{step}"), ok=False, now=now)
            self.assertEqual(health.failure_rate(NEAR, now), 0.0)

    def test_no_service_is_emptied(self) -> None:
        """Use a target although all of a service are accused."""
        health = TargetHealth(own=HostName("own"))
        for name, host in itertools.product((NEAR, FAR), ("a", "b", "c")):
            health.report_received(name, HostName(host), ok=False, now=0.0)
        policy = NearestFree(rng=random.Random(1))
        chosen, _ = policy.choose(PromptShape(parts=()), _choices(health, 0.1))
        self.assertEqual(chosen, NEAR)

    def test_idle_connections_go_with_the_target(self) -> None:
        """Say once that a target is passed over, for what is kept open to it."""
        closed: list[InstanceId] = []
        health = TargetHealth(own=HostName("own"))
        health.on_ejected = closed.append
        for host in ("a", "b", "c"):
            health.report_received(NEAR, HostName(host), ok=False, now=0.0)
        self.assertEqual(closed, [NEAR])

    def test_memory_is_bounded(self) -> None:
        """Forget old targets where reports of ever new ones arrive."""
        health = TargetHealth(own=HostName("own"))
        for number in range(MAX_RECORDS + 10):
            health.response_received(InstanceId(f"i-{number}"), float(number))
        self.assertEqual(len(health._records), MAX_RECORDS)

    def test_pauses_grow_while_a_target_fails_and_end_with_an_answer(self) -> None:
        """Try again after 1, 2, 4 and 8 seconds at most, and forget at an answer."""
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
