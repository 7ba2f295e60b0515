"""Test that impossible figures of peers change nothing and are logged once."""

from __future__ import annotations

import math
import unittest
from typing import Any

import logbook

from ...fleet.engine_owner import MAX_FREE, Engine, EngineOwner
from ...fleet.impossible_figures import MAX_LOGGED, ImpossibleFigures
from ...fleet.placement_book import WARM_UP
from ...ids import DataCentre, HostName, InstanceId, ProgramId, ServiceName
from ...policies.pace import PaceSample
from ...policies.program_placement import LEAST_URGENT, MAX_TOKENS, ProgramDemand
from ...wire.messages import (
    LoadReportRequest,
    PlaceProgramRequest,
    ProgramPlaced,
    ProgramReport,
)

CENTRE, SERVICE = DataCentre("east"), ServiceName("model")
HOST, ENGINE = HostName("gateway"), InstanceId("engine")
PROGRAM = ProgramId("program")
SLOTS = 2


class ImpossibleFiguresTests(unittest.TestCase):
    """Test an owner of one engine."""

    def setUp(self) -> None:
        """Start an owner that has heard of all hosts."""
        self.log = logbook.TestHandler()
        self.enterContext(self.log)
        self.engines = [self.engine(ENGINE, SLOTS)]
        self.owner = EngineOwner(data_centre=CENTRE, engines=lambda _: self.engines)
        self.report(0.0)
        self.now = WARM_UP

    def engine(self, name: str, slots: int) -> Engine:
        """Return an engine."""
        return Engine(
            instance=InstanceId(name),
            data_centre=CENTRE,
            slots=slots,
            cache_tokens=10_000,
        )

    def report(self, now: float, **fields: Any) -> None:
        """Apply a report."""
        request = LoadReportRequest(**{"host": HOST, "programs": [], **fields})
        self.owner.report(request, now)

    def place(self, name: str, **fields: Any) -> ProgramPlaced:
        """Ask for a placement of a program."""
        demand = ProgramDemand(**{"service": SERVICE, "max_wait": 0.01, **fields})
        request = PlaceProgramRequest(program=ProgramId(name), demand=demand)
        return self.owner.place(request, self.now)

    def assert_warnings(self, count: int) -> None:
        """Fail if the number of warnings differs."""
        warnings = [
            record.message
            for record in self.log.records
            if record.level == logbook.WARNING
        ]
        self.assertEqual(len(warnings), count, warnings)

    def test_slots(self) -> None:
        """Fails if an engine without slots gets a program or is logged each time."""
        self.engines = [self.engine("none", 0), self.engine("less", -3), *self.engines]
        for number in range(SLOTS):
            self.assertEqual(self.place(f"p{number}").instance, ENGINE)
        self.assertIsNone(self.place("p9").instance)
        self.assert_warnings(2)

    def test_tokens_of_program(self) -> None:
        """Fails if an impossible number of tokens replaces the one that is known."""
        for tokens in (3_000, -1, MAX_TOKENS + 1, 10**400):
            program = ProgramReport(program=PROGRAM, instance=ENGINE, tokens=tokens)
            self.report(self.now, programs=[program])
            self.assertEqual(self.owner.book.tokens(ENGINE), 3_000)
        self.assert_warnings(1)

    def test_pause(self) -> None:
        """Fails if an impossible pause changes the mean pause."""
        for pause in (0.3, math.nan, math.inf, -1.0, 1e9):
            self.report(self.now, pause=pause)
            self.assertEqual(self.owner.book.pause, 0.3)
            self.assertEqual(self.owner.book.idle_pause, 0.3)
        self.assert_warnings(1)

    def test_pace(self) -> None:
        """Fails if an impossible pace changes the pace of an engine."""
        self.report(self.now, paces=[PaceSample(instance=ENGINE, seconds=1, events=20)])
        known = self.owner.paces.paces(self.now)
        for seconds in (math.nan, -1.0, 1e9):
            wrong = PaceSample(instance=ENGINE, seconds=seconds, events=20)
            self.report(self.now, paces=[wrong])
            self.assertEqual(self.owner.paces.paces(self.now), known)
        self.assert_warnings(1)

    def test_free_placements(self) -> None:
        """Fails if programs are sent where an impossible number is free."""
        for free in (-1, MAX_FREE + 1):
            self.report(self.now, centre=DataCentre("west"), free=free)
        for number in range(SLOTS):
            self.place(f"p{number}")
        self.assertIsNone(self.place("p9").centre)
        self.assert_warnings(1)

    def test_demand(self) -> None:
        """Fails if an impossible figure of a demand is used, or an error."""
        wrong: dict[str, list[float]] = {
            "max_wait": [math.nan, math.inf, -1.0],
            "tokens": [-1, 10**400],
            "left": [math.nan, math.inf, -math.inf, 1e300],
            "latency_target": [math.nan, -1.0, math.inf],
            "rank": [-1, -(10**400)],
        }
        number = 0
        for figure, values in wrong.items():
            for value in values:
                with self.subTest(figure=figure, value=str(value)[:20]):
                    self.setUp()
                    for _ in range(20):
                        number += 1
                        placed = self.place(f"p{number}", **{figure: value})
                    self.assertIsNone(placed.instance)
                    self.assertIsNotNone(placed.retry_after)
                    self.assertTrue(math.isfinite(placed.retry_after or 0.0))
                    self.assertEqual(self.owner.book.programs(ENGINE), self.granted())
                    self.assert_warnings(1)

    def granted(self) -> int:
        """Return how many programs were granted, at least one for each slot."""
        self.assertGreaterEqual(self.owner.granted, SLOTS)
        return self.owner.granted

    def test_negative_rank_is_not_urgent(self) -> None:
        """Fails if a negative rank goes before urgent programs."""
        number = 0
        while self.place(f"p{number}", left=20.0).instance is not None:
            number += 1
        wrong = self.place("wrong", rank=-1, left=20.0)
        self.assertIsNone(wrong.instance)
        reserved = self.owner.book.returns.reserved(
            ProgramId("wrong"), rank=LEAST_URGENT, now=self.now
        )
        self.assertEqual(reserved, 1)


class LogTests(unittest.TestCase):
    """Test the log of impossible figures."""

    def test_bounded(self) -> None:
        """Fails if a peer can fill the memory or the log with names."""
        with logbook.TestHandler() as log:
            figures = ImpossibleFigures()
            for number in range(2 * MAX_LOGGED):
                figures.ignore(f"host-{number}", "pause", "x" * 10_000)
            self.assertEqual(len(log.records), MAX_LOGGED)
            self.assertLess(len(log.records[0].message), 400)
