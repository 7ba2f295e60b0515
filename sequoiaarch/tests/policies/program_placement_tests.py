"""Test the choice of engines for programs."""

from __future__ import annotations

import math
import unittest

from ...ids import InstanceId, ServiceName
from ...policies.program_placement import (
    CACHE_FRACTION,
    EngineState,
    FewestPrograms,
    LeastExpectedTurn,
    ProgramDemand,
    free_placements,
)


def engine(
    name: str = "engine",
    *,
    slots: int = 6,
    cache_tokens: int = 0,
    programs: int = 0,
    tokens: int = 0,
    turn: float = 0.2,
    slowdown: float = 0.0,
) -> EngineState:
    """Return an engine."""
    return EngineState(
        instance=InstanceId(name),
        slots=slots,
        cache_tokens=cache_tokens,
        programs=programs,
        tokens=tokens,
        turn=turn,
        pause=0.2,
        slowdown=slowdown,
    )


def demand(
    *,
    max_wait: float = 0.1,
    tokens: int = 1_000,
    in_progress: bool = False,
    home: str | None = None,
) -> ProgramDemand:
    """Return what a program needs."""
    return ProgramDemand(
        service=ServiceName("model"),
        max_wait=max_wait,
        tokens=tokens,
        in_progress=in_progress,
        home=None if home is None else InstanceId(home),
    )


class LeastExpectedTurnTests(unittest.TestCase):
    """Test the choice by the expected duration of turns."""

    def choose(self, *engines: EngineState, wanted: ProgramDemand) -> str | None:
        """Return the name of the chosen engine."""
        chosen = LeastExpectedTurn().choose(engines, wanted)
        return None if chosen is None else chosen.instance

    def test_fast_engine(self) -> None:
        """Fails if a slow engine is chosen although the fast one has room."""
        engines = (engine("slow", turn=0.5), engine("fast", programs=5))
        self.assertEqual(self.choose(*engines, wanted=demand()), "fast")

    def test_equal_engines(self) -> None:
        """Fails if programs are not spread over equal engines."""
        engines = (engine("a", programs=2), engine("b", programs=1))
        self.assertEqual(self.choose(*engines, wanted=demand()), "b")

    def test_wait(self) -> None:
        """Fails if an engine whose turns would wait too long is chosen."""
        full = engine(programs=40)
        self.assertIsNone(self.choose(full, wanted=demand()))
        self.assertIsNone(self.choose(engine(slowdown=0.2), wanted=demand()))

    def test_cache(self) -> None:
        """Fails if an engine is chosen whose cache does not hold the prompt."""
        full = engine(programs=3, tokens=8_500, cache_tokens=10_000)
        self.assertIsNone(self.choose(full, wanted=demand()))
        self.assertEqual(self.choose(full, wanted=demand(tokens=400)), "engine")

    def test_large_program(self) -> None:
        """Fails if a program larger than each cache can run nowhere."""
        small = engine(cache_tokens=500)
        self.assertEqual(self.choose(small, wanted=demand()), "engine")

    def test_in_progress(self) -> None:
        """Fails if a program in progress is refused or moved from its prompt."""
        engines = (engine("home", programs=9), engine("other", programs=9))
        wanted = demand(max_wait=0.0, tokens=90_000, in_progress=True, home="home")
        self.assertEqual(self.choose(*engines, wanted=wanted), "home")

    def test_no_slots(self) -> None:
        """Fails if an engine without slots is chosen, or is an error."""
        for wanted in (demand(max_wait=math.inf), demand(in_progress=True)):
            self.assertIsNone(self.choose(engine(slots=0), wanted=wanted))
            chosen = self.choose(engine("a", slots=-1), engine("b"), wanted=wanted)
            self.assertEqual(chosen, "b")
        self.assertIsNone(FewestPrograms().choose([engine(slots=0)], demand()))

    def test_no_engines(self) -> None:
        """Fails if a service without engines is an error."""
        self.assertIsNone(self.choose(wanted=demand()))
        self.assertIsNone(FewestPrograms().choose([], demand()))


class FreePlacementsTests(unittest.TestCase):
    """Test the number of further programs that an engine takes."""

    def test_bisection(self) -> None:
        """Fails if the number differs from that of programs that fit one by one."""
        for programs in range(14):
            for max_wait in (0.0, 0.01, 0.1, 1.0):
                busy = engine(programs=programs)
                allowed = [
                    busy.wait_with(programs + count) <= max_wait
                    for count in range(1, busy.slots + 1)
                ]
                free = free_placements(busy, demand(max_wait=max_wait))
                self.assertEqual(free, sum(allowed))

    def test_cache_of_idle_engine(self) -> None:
        """Fails if an idle engine seems to take more than its cache holds."""
        idle = engine(cache_tokens=10_000)
        fitting = int(CACHE_FRACTION * 10_000 / 4_000)
        self.assertEqual(free_placements(idle, demand(tokens=4_000)), fitting)
        self.assertEqual(free_placements(idle, demand(tokens=50_000)), 1)

    def test_no_slots(self) -> None:
        """Fails if an engine without slots has free placements."""
        for slots in (0, -1):
            free = free_placements(engine(slots=slots), demand(max_wait=math.inf))
            self.assertEqual(free, 0)

    def test_unknown_cache(self) -> None:
        """Fails if an unknown cache, or one of impossible size, limits programs."""
        for cache_tokens in (0, -5):
            busy = engine(cache_tokens=cache_tokens, programs=1, tokens=10**9)
            self.assertEqual(free_placements(busy, demand()), 6)

    def test_impossible_demand(self) -> None:
        """Fails if impossible figures of a demand are an error or free a placement."""
        for max_wait in (math.nan, -1.0):
            self.assertEqual(free_placements(engine(), demand(max_wait=max_wait)), 0)
        full = engine(cache_tokens=1_000, programs=1, tokens=1_000)
        self.assertEqual(free_placements(full, demand(tokens=-50)), 0)

    def test_many_slots(self) -> None:
        """Fails if the time to count grows with the slots of an engine."""
        large = engine(slots=10**9)
        self.assertEqual(free_placements(large, demand()), 10**9)
