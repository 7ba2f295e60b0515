"""Test the decisions of an owner of engines."""

from __future__ import annotations

import math
import time
import unittest

import logbook

from ...fleet.engine_owner import Engine, EngineOwner
from ...fleet.placement_book import WARM_UP
from ...ids import (
    DataCentre,
    HostName,
    InstanceId,
    ProgramId,
    ServiceName,
    WriterId,
)
from ...policies.pace import PaceSample
from ...policies.program_placement import ProgramDemand
from ...wire.messages import (
    LoadReportRequest,
    PlaceProgramRequest,
    ProgramPlaced,
    ProgramReport,
)

HERE = DataCentre("here")
THERE = DataCentre("there")
SERVICE = ServiceName("engines")
SLOTS = 2
START = 100.0


def engine(number: int, centre: DataCentre = HERE) -> Engine:
    """Return an engine."""
    return Engine(
        instance=InstanceId(f"i-{number}"),
        data_centre=centre,
        slots=SLOTS,
        cache_tokens=0,
    )


class EngineOwnerTests(unittest.TestCase):
    """Test an owner of two engines with a simulated time."""

    def setUp(self) -> None:
        """Create an owner."""
        self.engines = [engine(1), engine(2), engine(3, THERE)]
        self.owner = EngineOwner(data_centre=HERE, engines=lambda name: self.engines)
        self.now = START

    def report(
        self,
        programs: int,
        *,
        instance: str = "i-1",
        host: str = "h1",
        process: str | None = None,
    ) -> None:
        """Report a number of programs on an engine."""
        reports = [
            ProgramReport(
                program=ProgramId(f"{host}-{number}"),
                instance=InstanceId(instance),
                tokens=10,
            )
            for number in range(programs)
        ]
        request = LoadReportRequest(
            host=HostName(host),
            process=None if process is None else WriterId(process),
            programs=reports,
        )
        self.owner.report(request, self.now)

    def fill(self) -> None:
        """Report so many programs that no engine has room, once warm."""
        for _ in range(4):
            self.report(20, instance="i-1", host="h1")
            self.report(20, instance="i-2", host="h2")
            self.now += WARM_UP / 3

    def place(self, name: str = "p", **extra: object) -> ProgramPlaced:
        """Ask for a placement."""
        demand = ProgramDemand(service=SERVICE, max_wait=0.05)
        fields = {"program": ProgramId(name), "demand": demand, **extra}
        request = PlaceProgramRequest(**fields)  # type: ignore[arg-type]
        return self.owner.place(request, self.now)

    def hear_of(self, free: int) -> None:
        """Report the free placements of another data centre."""
        request = LoadReportRequest(
            host=HostName("far"), programs=[], centre=THERE, free=free
        )
        self.owner.report(request, self.now)

    def test_grants_spread(self) -> None:
        """Count each grant at once, so that engines fill up evenly."""
        for number in range(4):
            self.assertIsNotNone(self.place(f"p{number}").instance)
        loads = {load.instance: load.programs for load in self.owner.loads(self.now)}
        self.assertEqual(loads, {"i-1": 2, "i-2": 2})

    def test_refusal_says_why(self) -> None:
        """Refuse with a time and a reason if no engine has room."""
        self.fill()
        placed = self.place()
        self.assertIsNone(placed.instance)
        assert placed.retry_after is not None
        self.assertGreater(placed.retry_after, 0.0)
        self.assertIn("40 programs on 2 engines", placed.reason)
        self.assertEqual(self.owner.refused, 1)

    def test_program_sent_from_another_centre(self) -> None:
        """Keep no place among the retries for a program that another owner sent.

        That owner tells it when to retry, so nobody would use the place here.
        """
        self.fill()
        placed = self.place(redirected=True, sent_from=THERE)
        self.assertEqual(placed, ProgramPlaced())
        self.assertEqual(len(self.owner.book.returns), 0)
        self.assertEqual(self.owner.refused, 0)

    def test_redirect(self) -> None:
        """Name another data centre while that has free placements, once for each."""
        self.fill()
        self.hear_of(1)
        self.assertEqual(self.place("a").centre, THERE)
        self.assertIsNotNone(self.place("b").retry_after)
        self.hear_of(1)
        self.assertIsNotNone(self.place("c", redirected=True).retry_after)
        self.now += 1.0
        self.assertIsNone(self.place("d").centre)

    def test_program_in_progress_on_full_engines(self) -> None:
        """Place a program in progress although no engine has room."""
        self.fill()
        demand = ProgramDemand(service=SERVICE, max_wait=0.0, in_progress=True)
        self.assertIsNotNone(self.place(demand=demand).instance)
        self.assertIsNotNone(self.place("h1-3").instance)

    def test_known_program_counts_again(self) -> None:
        """Count a program that goes on after its delegate was lost.

        Its place would be given away until the new delegate reports it.
        """
        self.report(1)
        self.report(0)
        self.assertEqual(self.owner.book.programs(InstanceId("i-1")), 0)
        self.assertEqual(self.place("h1-0").instance, "i-1")
        self.assertEqual(self.owner.book.programs(InstanceId("i-1")), 1)

    def test_two_processes_of_one_host(self) -> None:
        """Count the programs of a host's old and new process while both run.

        Otherwise each report would end the programs of the other process.
        """
        self.report(1, process="old")
        self.report(0, process="new")
        self.assertEqual(self.owner.book.programs(InstanceId("i-1")), 1)
        self.now += 1.1
        self.report(0, process="new")
        self.owner.expire(self.now)
        self.assertEqual(self.owner.book.programs(InstanceId("i-1")), 0)

    def test_implausible_demand(self) -> None:
        """Treat implausible values of a demand as missing, and log them."""
        demand = ProgramDemand(
            service=SERVICE,
            max_wait=math.nan,
            tokens=-1,
            left=math.inf,
            latency_target=-math.inf,
            rank=-5,
        )
        with logbook.TestHandler() as logs:
            placed = self.place(demand=demand)
        self.assertIsNotNone(placed.instance)
        assert placed.instance is not None
        self.assertEqual(self.owner.book.tokens(placed.instance), 0)
        self.assertTrue(logs.has_warnings)

    def test_no_engines_here(self) -> None:
        """Answer without a placement or a refusal if no engine is known.

        An owner that has just started has not read the targets yet.
        """
        self.engines = [engine(3, THERE)]
        self.assertEqual(self.place(), ProgramPlaced())
        self.assertFalse(self.owner._services)

    def test_engine_that_left(self) -> None:
        """Describe no engine that left, although programs are reported on it."""
        self.place()
        self.report(3, instance="i-2")
        self.engines = [engine(1)]
        loads = self.owner.loads(self.now)
        self.assertEqual([load.instance for load in loads], ["i-1"])

    def test_state_does_not_grow(self) -> None:
        """Keep nothing of programs that have ended, also when asked no more."""
        for number in range(200):
            self.place(f"p{number}")
            self.report(5)
            self.now += 0.2
            self.report(0)
        for _ in range(2):
            self.now += 5.0
            self.owner.expire(self.now)
        book = self.owner.book
        for kept in (book._entries, book._homes, book._grants, book._begun):
            self.assertFalse(kept)

    def test_cost_of_a_request(self) -> None:
        """Answer fast with many engines, as all gateways ask one host.

        The limit is far above the time on an idle host and below that of a cost which
        grows with the square of the number of engines.
        """
        self.engines = [engine(number) for number in range(200)]
        for number in range(200):
            sample = PaceSample(
                instance=InstanceId(f"i-{number}"), seconds=1.0, events=50
            )
            self.owner.paces.add(sample, self.now)
        self.place("first")
        started_at = time.process_time()
        for number in range(50):
            self.place(f"p{number}")
        self.assertLess((time.process_time() - started_at) / 50, 0.01)
