"""Test placement, order, admission and retention."""

from __future__ import annotations

import random
import unittest

from ...config.documents import PlacementName
from ...ids import ProgramId, TargetName
from ...policies.admission import Occupancy, OpenAdmission, WorkingSetAdmission
from ...policies.order import FirstComeOrder, LeastAttainedOrder, Ticket
from ...policies.placement import Candidate, PlacementRequest, make_placement
from ...policies.retention import PauseEstimator, PredictedRetention, Prefix
from ...wire.messages import Load

P = ProgramId("alpha:p")


def candidate(
    name: str, running: int = 0, queued: int = 0, programs: int = 0
) -> Candidate:
    """Return a candidate target with a load."""
    target = TargetName(name)
    load = Load(
        target=target, slots=4, running=running, queued=queued, programs=programs
    )
    return Candidate(
        target=target,
        slots=4,
        load=load,
        sent=0,
        distance=0.0,
    )


class PlacementTests(unittest.TestCase):
    """Test the choice of targets."""

    def choose(
        self,
        name: PlacementName,
        home: str | None,
        *candidates: Candidate,
        weight: float = 1,
    ) -> str:
        """Return the chosen target."""
        request = PlacementRequest(
            home=TargetName(home) if home else None,
            context_tokens=2_000,
            latency_weight=weight,
        )
        placement = make_placement(name, random.Random(3))
        return placement.choose(request, list(candidates)).target

    def test_affinity_keeps_home(self) -> None:
        """Keep the home while a move gains too little."""
        busy = candidate("a", running=4, queued=1)
        chosen = self.choose(PlacementName.AFFINITY, "a", busy, candidate("b"))
        self.assertEqual(chosen, "a")

    def test_affinity_leaves_long_queue(self) -> None:
        """Move when waiting costs more than rebuilding the prefix."""
        full = candidate("a", running=4, queued=40)
        free = candidate("b")
        self.assertEqual(self.choose(PlacementName.AFFINITY, "a", full, free), "b")
        stays = self.choose(PlacementName.AFFINITY, "a", full, free, weight=0)
        self.assertEqual(stays, "a")

    def test_affinity_starts_at_less_loaded_target(self) -> None:
        """Start at the target with fewer programs."""
        crowded = candidate("a", programs=30)
        chosen = self.choose(PlacementName.AFFINITY, None, crowded, candidate("b"))
        self.assertEqual(chosen, "b")

    def test_other_placements(self) -> None:
        """Choose by least load, first target or chance."""
        busy = candidate("a", running=4, queued=9)
        free = candidate("b")
        least = self.choose(PlacementName.LEAST_LOADED, "a", busy, free)
        self.assertEqual(least, "b")
        self.assertEqual(self.choose(PlacementName.STICKY, "a", busy, free), "a")
        self.assertIn(self.choose(PlacementName.RANDOM, "a", busy, free), ("a", "b"))


class OrderTests(unittest.TestCase):
    """Test the order of waiting calls."""

    def test_least_attained_goes_first(self) -> None:
        """Prefer the program with less attained service."""
        order = LeastAttainedOrder()
        new = Ticket(program=P, arrived=5.0, attained=0.1)
        old = Ticket(program=P, arrived=4.0, attained=9.0)
        self.assertLess(order.rank(new, 6.0), order.rank(old, 6.0))

    def test_ageing_prevents_starvation(self) -> None:
        """Run a program with much attained service after a long wait."""
        order = LeastAttainedOrder()
        old = Ticket(program=P, arrived=0.0, attained=9.0)
        new = Ticket(program=P, arrived=60.0, attained=0.0)
        self.assertLess(order.rank(old, 60.0), order.rank(new, 60.0))

    def test_priority_weight(self) -> None:
        """Prefer the program with the higher weight."""
        order = LeastAttainedOrder()
        high = Ticket(program=P, arrived=0.0, attained=2.0, weight=4.0)
        low = Ticket(program=P, arrived=0.0, attained=2.0)
        self.assertLess(order.rank(high, 0.0), order.rank(low, 0.0))

    def test_first_come(self) -> None:
        """Keep the order of arrival."""
        order = FirstComeOrder()
        first = Ticket(program=P, arrived=1.0, attained=99.0)
        second = Ticket(program=P, arrived=2.0)
        self.assertLess(order.rank(first, 9.0), order.rank(second, 9.0))


class AdmissionTests(unittest.TestCase):
    """Test which programs may start."""

    def occupancy(self, **changed: int) -> Occupancy:
        """Return the load of a nearly full target, with changes."""
        values = {
            "running": 6,
            "slots": 8,
            "running_tokens": 500,
            "kept_tokens": 900,
            "cache_tokens": 1_000,
            "export_tokens": 0,
            "growth": 0,
        }
        return Occupancy(**{**values, **changed})

    def test_working_set(self) -> None:
        """Admit programs that fit in memory, and any at an underused engine."""
        admission = WorkingSetAdmission()
        new = Ticket(program=P, arrived=0, tokens=200)
        cases = [
            ({}, False),
            ({"kept_tokens": 700}, True),
            ({"export_tokens": 500}, True),
            ({"running": 2}, True),
            ({"running_tokens": 900, "kept_tokens": 0}, False),
        ]
        for changed, admitted in cases:
            with self.subTest(changed=changed):
                result = admission.admits(new, self.occupancy(**changed))
                self.assertEqual(result, admitted)

    def test_started_programs(self) -> None:
        """Admit a running program unless it does not fit beside the others."""
        admission = WorkingSetAdmission()
        ticket = Ticket(program=P, arrived=0, tokens=200, started=True)
        self.assertTrue(admission.admits(ticket, self.occupancy()))
        full = self.occupancy(running_tokens=900)
        self.assertFalse(admission.admits(ticket, full))
        self.assertTrue(OpenAdmission().admits(ticket, full))


class RetentionTests(unittest.TestCase):
    """Test which prefixes are evicted."""

    def prefix(self, name: str, last_used: float, **changed: bool) -> Prefix:
        """Return a prefix of 100 tokens."""
        return Prefix(
            program=ProgramId(name),
            name=name[0],
            tokens=100,
            last_used=last_used,
            **changed,
        )

    def test_latest_expected_call_is_evicted_first(self) -> None:
        """Evict the idle prefix whose program is expected to call last."""
        pauses = PauseEstimator()
        pauses.record("s", 0.5)
        pauses.record("l", 60.0)
        retention = PredictedRetention(pauses=pauses)
        prefixes = [
            self.prefix("short", 10.0),
            self.prefix("long", 10.0),
            self.prefix("l-running", 10.0, running=True),
            self.prefix("l-gone", 10.0, exported=True),
        ]
        victims = retention.victims(prefixes, 50, 10.1)
        self.assertEqual([victim.program for victim in victims], ["long"])
        both = retention.victims(prefixes, 150, 10.1)
        self.assertEqual([victim.program for victim in both], ["long", "short"])
        self.assertEqual(retention.victims(prefixes, 0, 10.1), [])
